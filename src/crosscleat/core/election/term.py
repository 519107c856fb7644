"""One term of leadership: since when, with which fencing token, and what it may still do."""

from __future__ import annotations

from ..model.deployment import Deployment
from ..model.effects import Outbox
from ..model.ids import Seconds
from .election import Election

LEASE_MARGIN_S = 1.5
"""Kept free of `cancel_s` for messages and timers."""

CLOCK_DRIFT = 1.001
"""Twice the 0.05% by which two steady clocks may differ, with a little to spare."""

START_CONTACT_S = 3.0
"""With a last contact older than that nothing is started or rented."""


class LeadingTerm:
    """What all parts of a leader share of its term."""

    def __init__(
        self, deployment: Deployment, election: Election, outbox: Outbox, now: Seconds
    ) -> None:
        self.deployment = deployment
        self.election = election
        self.outbox = outbox
        self.now = now
        """When the present step of the controller began."""
        self.began = now
        self.began_token = election.token or 0
        """The fencing token that the term began with; rotations raise the present one."""
        self.jobs_known_at = now
        """Cancellations until then are known: when the watch that last answered was opened, or the
        live jobs were asked for."""
        self.retired = False
        """The term is over: late answers must not act for it."""

    def advance(self, now: Seconds) -> None:
        """A step of the controller begins."""
        self.now = now

    def retire(self) -> None:
        """End the term."""
        self.retired = True

    def jobs_read(self, asked: Seconds) -> None:
        """The live jobs that the term starts from were asked for at that time."""
        self.jobs_known_at = asked

    def watch_answered(self, opened: Seconds) -> None:
        """A watch of the live jobs, opened at that time, has brought all changes until then."""
        self.jobs_known_at = max(self.jobs_known_at, opened)

    def renewal_window_s(self) -> float:
        """For how long after its last contact with the store a leader renews workers' leases."""
        return max(0.0, self.deployment.cancel_s - self.deployment.lease_s - LEASE_MARGIN_S)

    def _contact(self) -> Seconds:
        """When the store last confirmed that we lead and had brought us all cancellations."""
        return min(self.election.contact, self.jobs_known_at)

    def renew_until(self) -> Seconds:
        """Until when workers' leases are renewed.

        A cancellation that another controller accepts must take effect within `cancel_s`, even if
        this leader never receives it.
        """
        return Seconds(self._contact() + self.renewal_window_s() / CLOCK_DRIFT)

    def may_start(self, now: Seconds) -> bool:
        """Whether contact with the store is fresh enough to start tasks or rent machines."""
        return self.election.leading and now - self._contact() <= START_CONTACT_S
