"""The settings of the faults that the simulated world injects."""

from __future__ import annotations


class Faults:
    """The faults that are active; probabilities are between 0 and 1.

    Cuts are settings of `Network`, outages of `Store`, and hangs and deaths of each `Worker`.
    """

    def __init__(self) -> None:
        self.flaky_call_chance = 0.0
        """Probability that a commit, direct command, rental or machine deletion is executed late.

        The caller gets no reply, except that a commit may be executed twice and then answered.
        """
        self.duplicates = 0.0
        """Probability that a heartbeat or a direct command is delivered a second time later."""
        self.direct_commands_blocked: set[str] = set()
        """Addresses of the workers that direct commands do not reach."""
        self.heartbeats_blocked: set[str] = set()
        """Workers whose heartbeats reach no controller; direct commands still reach them."""
        self.boot_failure_chance = 0.05
        """Probability that a rented machine never boots."""
        self.late_writes = 0.0
        """Probability that the store does not reply, and executes the write 2 to 12 s later."""
        self.slow_store_s = 0.0
        """Maximum seconds that a store call and its reply take together; 0.0: not slowed."""
        self.slow_scans: dict[str, float] = {}
        """Additional delay in seconds of the reply to a scan, by the prefix scanned."""
        self.slow_watches: set[str] = set()
        """Controllers whose watches get no reply."""
        self.cancel_at_end = 0.0
        """Probability that a user cancels a job just after its last task has ended."""
        self.cloud_down = False
        """Whether the cloud leaves all calls unanswered."""

    def end_faults(self) -> None:
        """Reset all faults of this class except `boot_failure_chance`."""
        self.flaky_call_chance = self.duplicates = self.late_writes = 0.0
        self.slow_store_s = self.cancel_at_end = 0.0
        self.slow_scans.clear()
        self.slow_watches.clear()
        self.direct_commands_blocked.clear()
        self.heartbeats_blocked.clear()
        self.cloud_down = False
