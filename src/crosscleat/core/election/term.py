"""One term of leadership: since when, with which token, and what it may still do."""

from __future__ import annotations

from ..model.deployment import Deployment
from ..model.effects import Outbox
from ..model.ids import Seconds
from .election import Election

MARGIN_S = 1.5
"""Kept free of cancel_s for messages and timers."""

DRIFT = 1.001
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
        self.began = now
        self.began_token = election.token or 0
        self.watched = now
        """When the watch that last answered was opened, or the live jobs were asked for: no
        cancellation before it is unknown."""
        self.retired = False
        """Another term has begun or none: late answers must not act for this one."""

    def advance(self, now: Seconds) -> None:
        """A step of the controller begins."""
        self.now = now

    def retire(self) -> None:
        """The term is over."""
        self.retired = True

    def jobs_read(self, asked: Seconds) -> None:
        """The live jobs that the term starts from were asked for at that time."""
        self.watched = asked

    def watch_answered(self, opened: Seconds) -> None:
        """A watch of the live jobs, opened at that time, has brought all changes until then."""
        self.watched = max(self.watched, opened)

    def renew_s(self) -> float:
        """For how long after its last contact with the store a leader renews leases."""
        d = self.deployment
        return max(0.0, d.cancel_s - d.lease_s - MARGIN_S)

    def _contact(self) -> Seconds:
        """When the store last confirmed that we lead and told us of all cancellations."""
        return min(self.election.contact, self.watched)

    def renew_until(self) -> Seconds:
        """No lease is renewed later: a cancellation accepted elsewhere must still hold."""
        return Seconds(self._contact() + self.renew_s() / DRIFT)

    def may_start(self, now: Seconds) -> bool:
        """Whether contact with the store is fresh enough to start tasks or rent machines."""
        return self.election.leading and now - self._contact() <= START_CONTACT_S
