"""One term of leadership: its start, its fencing token, and the limits on what it may do."""

from __future__ import annotations

from ..model.deployment import Deployment
from ..model.effects import Outbox
from ..model.ids import Seconds
from .election import Election

LEASE_MARGIN_S = 1.5
"""Part of `cancel_s` that is reserved for message delays and timers."""

CLOCK_DRIFT = 1.001
"""Factor to allow for clock drift: twice the 0.05% by which two monotonic clocks may differ, plus
a margin."""

MAX_START_CONTACT_AGE_S = 3.0
"""Maximum age of the last contact with the store at which tasks are started or machines rented."""


class LeadingTerm:
    """The state of a term that all parts of a leader share."""

    def __init__(
        self, deployment: Deployment, election: Election, outbox: Outbox, now: Seconds
    ) -> None:
        self.deployment = deployment
        self.election = election
        self.outbox = outbox
        self.now = now
        """When the current step of the controller began."""
        self.began_at = now
        self.initial_token = election.token or 0
        """The fencing token at the start of the term; rotations raise the current one."""
        self.cancellations_known_until = now
        """All cancellations up to this time are known.

        That is when the watch that last answered was opened, or when the live jobs were requested.
        """
        self.retired = False
        """Whether the term is over, so that late replies must be ignored."""

    def advance(self, now: Seconds) -> None:
        """Begin a step of the controller."""
        self.now = now

    def retire(self) -> None:
        """End the term."""
        self.retired = True

    def jobs_read(self, requested_at: Seconds) -> None:
        """Record when the live jobs that the term starts with were requested."""
        self.cancellations_known_until = requested_at

    def watch_answered(self, opened_at: Seconds) -> None:
        """Record that a watch of the live jobs has returned all changes up to its opening."""
        self.cancellations_known_until = max(self.cancellations_known_until, opened_at)

    def renewal_window_s(self) -> float:
        """How long after its last contact with the store a leader still renews workers' leases."""
        return max(0.0, self.deployment.cancel_s - self.deployment.lease_s - LEASE_MARGIN_S)

    def _last_contact(self) -> Seconds:
        """When the store last confirmed that we lead and had sent us all cancellations."""
        return min(self.election.last_confirmed_at, self.cancellations_known_until)

    def renewal_deadline(self) -> Seconds:
        """The time until which workers' leases may be renewed.

        A cancellation that another controller accepts must take effect within `cancel_s`, even if
        this leader never receives it.
        """
        return Seconds(self._last_contact() + self.renewal_window_s() / CLOCK_DRIFT)

    def may_start(self, now: Seconds) -> bool:
        """Whether the last store contact is recent enough to start tasks or rent machines."""
        return self.election.leading and now - self._last_contact() <= MAX_START_CONTACT_AGE_S
