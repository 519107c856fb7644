"""The switches of the faults that the world itself carries out."""

from __future__ import annotations


class Faults:
    """What fails at present; chances are between 0 and 1. Cuts and outages are elsewhere."""

    def __init__(self) -> None:
        self.flaky = 0.0
        """Chance that a commit, a direct command or a rental gets no reply, and late effect."""
        self.duplicates = 0.0
        """Chance that a copy of a heartbeat arrives late, or that a direct command is repeated."""
        self.no_direct: set[str] = set()
        """Workers that direct commands do not reach."""
        self.silenced: set[str] = set()
        """Workers whose heartbeats reach no controller, while direct commands reach them."""
        self.boot_fails = 0.05
        """Chance that a machine never boots."""
        self.late_writes = 0.0
        """Chance that the store does not reply, and carries out the write 2 to 12 s later."""
        self.slow_store_s = 0.0
        """Seconds that a reply of the store takes at most."""
        self.slow_scans: dict[str, float] = {}
        """Seconds by which the reply to a scan of a prefix is delayed."""
        self.slow_watches: set[str] = set()
        """Controllers whose watches get no reply."""
        self.cancel_at_end = 0.0
        """Chance that users cancel a job as its last task ends."""
        self.cloud_down = False
        """Whether the cloud answers no call."""

    def end_faults(self) -> None:
        """No message or call fails any more; `boot_fails` stays."""
        self.flaky = self.duplicates = self.late_writes = 0.0
        self.slow_store_s = self.cancel_at_end = 0.0
        self.slow_scans.clear()
        self.slow_watches.clear()
        self.no_direct.clear()
        self.silenced.clear()
        self.cloud_down = False
