"""The election of a single controller; the test answers in place of the store.

A leader that counts an unconfirmed renewal as contact, or keeps its token after a rotation that may
have failed, would act although another leader may have been elected.
"""

from __future__ import annotations

from random import Random

import pytest

from crosscleat.core.election.election import RENEWAL_INTERVAL_S, RENEWAL_RETRY_S, Election
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


class WonElection:
    """An election that the controller has won with fencing token 9."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.now = Seconds(50.0)
        self.terms: list[Token] = []
        self.losses: list[str] = []
        self.election = Election(
            Member("c0"), "boot", self.outbox, Random(1), lambda: self.now, self
        )
        self.election.start()
        only(self.outbox, Read).continuation(ReadResult(None, Version(5)))
        only(self.outbox, GrantLease).continuation(LEASE)
        only(self.outbox, Commit).continuation(Committed(Version(9)))

    def elected(self, token: Token) -> None:
        self.terms.append(token)

    def term_lost(self, reason: str) -> None:
        self.losses.append(reason)

    def renew(self, outcome: RenewalOutcome) -> list[Effect]:
        """Send the next renewal 10 s later and complete it with this outcome."""
        self.now = Seconds(self.now + 10.0)
        only(self.outbox, Delay).continuation()
        only(self.outbox, RenewLease).continuation(outcome)
        return self.outbox.take()


def test_the_version_of_the_written_leader_key_is_the_fencing_token() -> None:
    leading = WonElection()

    assert leading.terms == [Token(9)]
    assert (leading.election.token, leading.election.leader) == (Token(9), Member("c0"))


@pytest.mark.parametrize(
    ("outcome", "contact", "delay_s"),
    [(LeaseRenewed(), 60.0, RENEWAL_INTERVAL_S), (Unanswered(), 50.0, RENEWAL_RETRY_S)],
)
def test_a_renewal_without_an_answer_confirms_nothing_and_is_repeated_sooner(
    outcome: RenewalOutcome, contact: float, delay_s: float
) -> None:
    leading = WonElection()

    (pause,) = leading.renew(outcome)

    assert isinstance(pause, Delay)
    assert pause.delay_s == delay_s
    assert leading.election.last_confirmed_at == contact
    assert leading.losses == []


def test_a_renewal_of_a_lease_that_has_expired_ends_the_term() -> None:
    leading = WonElection()

    effects = leading.renew(NoSuchLease())

    assert [type(effect) for effect in effects] == [RevokeLease, Delay]
    assert leading.losses == ["the leader lease has expired"]
    assert not leading.election.leading


def test_a_rotation_raises_the_token_before_others_may_write_again() -> None:
    leading = WonElection()
    tokens: list[Token | None] = []
    leading.outbox.take()

    assert leading.election.rotate_token(lambda: tokens.append(leading.election.token))
    commit = only(leading.outbox, Commit)
    commit.continuation(Committed(Version(12)))

    assert commit.conditions == (("leader", 9),)
    assert tokens == [Token(12)]
    assert leading.losses == []


@pytest.mark.parametrize("outcome", [Unanswered(), NoSuchLease(), Conflict(frozenset(), True)])
def test_a_rotation_that_may_have_failed_ends_the_term(outcome: CommitOutcome) -> None:
    leading = WonElection()
    tokens: list[Token | None] = []
    leading.outbox.take()

    leading.election.rotate_token(lambda: tokens.append(leading.election.token))
    only(leading.outbox, Commit).continuation(outcome)

    assert tokens == [None]
    assert leading.losses == ["the fencing token could not be rotated"]


def test_a_controller_that_does_not_lead_cannot_rotate_the_token() -> None:
    leading = WonElection()
    leading.election.resign("test")
    leading.outbox.take()

    assert not leading.election.rotate_token(lambda: None)
    assert leading.outbox.take() == []
