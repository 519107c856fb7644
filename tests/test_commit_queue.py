"""Group commit: which transactions are combined into one request, and the outcome of each.

Guards against requests above the store's limits, against a conflict of one commit that fails the
others of its batch, and against a batch that is repeated forever.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from crosscleat.adapters.commit_queue import CommitQueue
from crosscleat.core.model.ids import Version
from crosscleat.core.model.store_calls import (
    Commit,
    CommitOutcome,
    Committed,
    Conflict,
    Put,
    Unanswered,
)

COMMITTED = Committed(Version(9))


def commit(key: str, for_user: bool = True) -> Commit:
    conditions = ((key, Version(0)),)
    return Commit(conditions, (Put(key, 1),), lambda _: None, for_user=for_user)


def send_all(
    calls: list[Commit], decide: Callable[[list[str]], CommitOutcome], max_operations: int = 16
) -> tuple[list[CommitOutcome], list[list[str]]]:
    """The outcome of each call, and the keys of each request; all calls are queued concurrently."""
    requests: list[list[str]] = []

    async def send(commits: list[Commit]) -> CommitOutcome:
        requests.append([call.conditions[0][0] for call in commits])
        return decide(requests[-1])

    async def run() -> list[CommitOutcome]:
        queue = CommitQueue(send, max_operations)
        commit_tasks = [asyncio.create_task(queue.commit(call)) for call in calls]
        queue_task = asyncio.create_task(queue.run())
        outcomes = await asyncio.gather(*commit_tasks)
        queue_task.cancel()
        return outcomes

    return asyncio.run(run()), requests


def test_users_transactions_share_a_request() -> None:
    outcomes, requests = send_all([commit("a"), commit("b"), commit("c")], lambda _: COMMITTED)

    assert outcomes == [COMMITTED, COMMITTED, COMMITTED]
    assert requests == [["a", "b", "c"]]


def test_the_leaders_transactions_go_out_one_by_one() -> None:
    calls = [commit("a", for_user=False), commit("b", for_user=False)]

    _, requests = send_all(calls, lambda _: COMMITTED)

    assert requests == [["a"], ["b"]]


@pytest.mark.parametrize(
    ("keys", "max_operations", "expected"),
    [
        (["a", "b", "c"], 2, [["a", "b"], ["c"]]),
        (["a", "b", "a"], 16, [["a", "b"], ["a"]]),
    ],
    ids=["too many writes", "the same key twice"],
)
def test_commits_that_do_not_fit_are_sent_in_the_next_request(
    keys: list[str], max_operations: int, expected: list[list[str]]
) -> None:
    _, requests = send_all([commit(key) for key in keys], lambda _: COMMITTED, max_operations)

    assert requests == expected


def test_after_a_conflict_the_others_are_sent_again() -> None:
    def decide(keys: list[str]) -> CommitOutcome:
        return Conflict(frozenset({"b"}), repeated=False) if "b" in keys else COMMITTED

    outcomes, requests = send_all([commit("a"), commit("b"), commit("c")], decide)

    assert outcomes == [COMMITTED, Conflict(frozenset({"b"}), repeated=False), COMMITTED]
    assert requests == [["a", "b", "c"], ["a", "c"]]


def test_a_conflict_that_names_no_key_of_a_batch_does_not_repeat_the_batch() -> None:
    def decide(keys: list[str]) -> CommitOutcome:
        return Conflict(frozenset({"z"}), repeated=False) if len(keys) > 1 else COMMITTED

    outcomes, requests = send_all([commit("a"), commit("b")], decide)

    assert outcomes == [Unanswered(), COMMITTED]
    assert requests == [["a", "b"], ["b"]]
