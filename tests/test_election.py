"""The election of one controller on its own; the test plays the store."""

from __future__ import annotations

from random import Random

import pytest

from crosscleat.core.election.election import RENEW_RETRY_S, RENEW_S, Election
from crosscleat.core.model.effects import Delay, Effect, Outbox
from crosscleat.core.model.ids import LeaseId, Member, Seconds, Token, Version
from crosscleat.core.model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    GrantLease,
    LeaseRenewed,
    NoSuchLease,
    Read,
    ReadResult,
    RenewalOutcome,
    RenewLease,
    RevokeLease,
    Unanswered,
)

from .effects import only

LEASE = LeaseId(7)


class Leading:
    """An election that its controller has won with token 9."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.now = Seconds(50.0)
        self.terms: list[Token] = []
        self.losses: list[str] = []
        self.election = Election(
            Member("c0"), "boot", self.outbox, Random(1), lambda: self.now, self
        )
        self.election.begin()
        only(self.outbox, Read).continuation(ReadResult(None, Version(5)))
        only(self.outbox, GrantLease).continuation(LEASE)
        only(self.outbox, Commit).continuation(Committed(Version(9)))

    def elected(self, token: Token) -> None:
        self.terms.append(token)

    def term_lost(self, reason: str) -> None:
        self.losses.append(reason)

    def renew(self, outcome: RenewalOutcome) -> list[Effect]:
        """The next renewal is sent 10 s later, and this is its outcome."""
        self.now = Seconds(self.now + 10.0)
        only(self.outbox, Delay).continuation()
        only(self.outbox, RenewLease).continuation(outcome)
        return self.outbox.take()


def test_the_key_put_under_a_lease_makes_its_version_the_token() -> None:
    leading = Leading()

    assert leading.terms == [Token(9)]
    assert (leading.election.token, leading.election.leader) == (Token(9), Member("c0"))


@pytest.mark.parametrize(
    ("outcome", "contact", "delay_s"),
    [(LeaseRenewed(), 60.0, RENEW_S), (Unanswered(), 50.0, RENEW_RETRY_S)],
)
def test_a_renewal_without_an_answer_confirms_nothing_and_is_repeated_sooner(
    outcome: RenewalOutcome, contact: float, delay_s: float
) -> None:
    leading = Leading()

    (pause,) = leading.renew(outcome)

    assert isinstance(pause, Delay)
    assert pause.delay_s == delay_s
    assert leading.election.contact == contact
    assert leading.losses == []


def test_a_renewal_of_a_lease_that_has_expired_ends_the_term() -> None:
    leading = Leading()

    effects = leading.renew(NoSuchLease())

    assert [type(effect) for effect in effects] == [RevokeLease, Delay]
    assert leading.losses == ["its lease has expired"]
    assert not leading.election.leading


def test_a_rotation_raises_the_token_before_others_may_write_again() -> None:
    leading = Leading()
    tokens: list[Token | None] = []
    leading.outbox.take()

    assert leading.election.rotate(lambda: tokens.append(leading.election.token))
    commit = only(leading.outbox, Commit)
    commit.continuation(Committed(Version(12)))

    assert commit.conditions == (("leader", 9),)
    assert tokens == [Token(12)]
    assert leading.losses == []


@pytest.mark.parametrize("outcome", [Unanswered(), NoSuchLease(), Conflict(frozenset(), True)])
def test_a_rotation_that_may_have_failed_ends_the_term(outcome: CommitOutcome) -> None:
    leading = Leading()
    tokens: list[Token | None] = []
    leading.outbox.take()

    leading.election.rotate(lambda: tokens.append(leading.election.token))
    only(leading.outbox, Commit).continuation(outcome)

    assert tokens == [None]
    assert leading.losses == ["the token could not be rotated"]


def test_who_does_not_lead_rotates_nothing() -> None:
    leading = Leading()
    leading.election.resign("test")
    leading.outbox.take()

    assert not leading.election.rotate(lambda: None)
    assert leading.outbox.take() == []
