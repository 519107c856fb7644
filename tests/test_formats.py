"""Messages at the system's boundaries: well-formed, with unknown fields, and malformed.

Guards against a message that ends its handler with an unexpected exception, or is accepted
although a field is missing or invalid. Such messages come from faulty senders; unknown fields and
states come from later versions and must not make a message unreadable. Also guards against field
names that are not encoded as the protocols require.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.core.model import heartbeats
from crosscleat.core.model.ids import AgentEpoch, JobRef, LeaseId, TaskId, Token, Version, WallTime
from crosscleat.core.model.job_spec import JobSpec, Shape
from crosscleat.core.model.shards import ShardProposal
from crosscleat.core.model.store_calls import Commit, Put, Remove
from crosscleat.core.model.worker_calls import ClearOrder, Order, StartOrder, StopOrder
from crosscleat.core.state.job_records import live_record, spec_of
from crosscleat.wire import cloud, peers, state, users, workers

amounts = st.floats(0.0, 1e6, allow_nan=False)
names = st.text(st.characters(codec="ascii", categories=("L", "N")), min_size=1, max_size=12)
refs = names.map(lambda name: f"job-{name}")
plain_data = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2**63) | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
submissions = st.fixed_dictionaries(
    {
        "ref": refs,
        "jobline": names,
        "crew": names,
        "shape": st.just("array"),
        "urgency": st.sampled_from(("prod", "urgent", "standard", "low")),
        "picks": st.integers(1, 100_000),
        "cores": amounts,
        "gpus": amounts,
        "memory_gb": amounts,
        "kit": names,
        "image_gb": amounts,
        "together": st.booleans(),
        "apart": st.booleans(),
        "loaners": st.booleans(),
        "expect_s": amounts,
        "stash_every_s": amounts,
        "stash_s": amounts,
    },
    optional={
        "rigs": st.none() | st.lists(names, max_size=3),
        "yard": st.none() | names,
        "due_s": st.none() | amounts,
    },
)


def pack(value: Any) -> bytes:
    return msgspec.msgpack.encode(value)


@given(submissions, st.dictionaries(names.map(lambda n: f"x-{n}"), plain_data, max_size=2))
def test_unknown_fields_of_a_submission_are_ignored(
    submission: dict[str, Any], unknown: Any
) -> None:
    spec = users.parse_submission(pack({**unknown, **submission}))
    assert isinstance(spec, JobSpec)
    assert (spec.ref, spec.tasks, spec.cpus) == (
        submission["ref"],
        submission["picks"],
        submission["cores"],
    )
    assert spec.deadline_s == submission.get("due_s")


@given(submissions)
def test_a_job_is_read_from_its_record_as_it_was_written(submission: dict[str, Any]) -> None:
    spec = users.parse_submission(pack(submission))
    assert isinstance(spec, JobSpec)
    record = live_record(spec, WallTime(12.5), cancelled=False)
    assert spec_of(msgspec.msgpack.decode(pack(record))) == spec


@given(submissions, st.data())
def test_a_body_with_a_missing_or_invalid_field_is_malformed(
    submission: dict[str, Any], data: st.DataObject
) -> None:
    required = sorted(set(submission) - {"rigs", "yard", "due_s"})
    name = data.draw(st.sampled_from(required))
    malformed = dict(submission)
    if data.draw(st.booleans()):
        del malformed[name]
    elif isinstance(submission[name], bool):
        malformed[name] = data.draw(st.sampled_from((None, 1, "yes")))
    elif isinstance(submission[name], str):
        malformed[name] = data.draw(st.sampled_from((None, 7, ["array"])))
    else:
        malformed[name] = data.draw(st.sampled_from((None, "4", -1, math.inf, math.nan, -0.5)))
    parsed = users.parse_submission(pack(malformed))
    ref = None if name == "ref" else JobRef(submission["ref"])

    assert parsed == users.MalformedSubmission(ref)


@given(st.binary(max_size=200) | plain_data.map(pack))
def test_arbitrary_bodies_cause_only_decode_errors(body: bytes) -> None:
    assert not isinstance(users.parse_submission(body), JobSpec)
    assert workers.parse_heartbeat(body) is None
    decoders: tuple[Callable[[bytes], object], ...] = (
        state.decode_item,
        state.decode_page,
        state.decode_changes,
        cloud.decode_machine_page,
        cloud.decode_machine_types,
    )
    for decode in decoders:
        try:
            decode(body)
        except msgspec.DecodeError:
            continue


MALFORMED = users.MalformedSubmission(JobRef("job-1"))
MINIMAL_SUBMISSION = {
    "ref": "job-1", "jobline": "a", "crew": "t", "shape": "array", "urgency": "low",
    "picks": 1, "cores": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "i", "image_gb": 0.0,
    "together": False, "apart": False, "loaners": False, "expect_s": 1.0,
    "stash_every_s": 0.0, "stash_s": 0.0,
}  # fmt: skip


def test_the_size_limit_counts_json() -> None:
    submission = MINIMAL_SUBMISSION
    assert isinstance(users.parse_submission(pack(submission)), JobSpec)
    # 20,000 zeros take 20 kB packed and 40 kB as JSON; 40,000 take 80 kB.
    assert isinstance(users.parse_submission(pack({**submission, "x": [0] * 20_000})), JobSpec)
    assert users.parse_submission(pack({**submission, "x": [0] * 40_000})) == MALFORMED


@pytest.mark.parametrize("ref", ["", "job-", "task-1", "job-a/b", "job-ü", "job-a b"])
def test_invalid_job_ids_are_rejected(ref: str) -> None:
    assert TaskId.parse(f"{ref}/3") is None


@given(refs, st.integers(0, 99_999))
def test_a_task_id_is_parsed_from_its_text_form(ref: str, number: int) -> None:
    task = TaskId(JobRef(ref), number)
    assert TaskId.parse(str(task)) == task


@pytest.mark.parametrize("number", ["1" * 4301, "0" * 60_000, "1" * 21])
def test_a_heartbeat_is_read_without_a_task_whose_number_is_too_long(number: str) -> None:
    """`int` raises for thousands of digits.

    The worker's report got no answer, and its reply to a direct command was never handled: no
    further direct command was sent to it.
    """
    body = {
        "box": "m-1", "addr": "10.1.0.1:9000", "rig": "r", "yard": "a", "loaners": True,
        "shift": 2, "tally": 3, "baton": 7,
        "picks": [
            {"pick": f"job-1/{number}", "try": 1, "status": "running"},
            {"pick": f"job-1/{2**64 - 1}", "try": 1, "status": "running"},
        ],
    }  # fmt: skip

    heartbeat = workers.parse_heartbeat(pack(body))

    assert heartbeat is not None
    assert [task.task.number for task in heartbeat.tasks] == [2**64 - 1]


@given(
    st.lists(
        st.tuples(refs, st.integers(0, 99), st.integers(1, 9), st.sampled_from(("running", "new"))),
        max_size=4,
    ),
    st.integers(1, 2**60),
)
def test_a_heartbeat_with_unknown_states_is_read(tasks: Any, sequence: int) -> None:
    body = {
        "box": "m-1", "addr": "10.1.0.1:9000", "rig": "r", "yard": "a", "loaners": True,
        "shift": 2, "tally": sequence, "baton": 7, "weather": "fine",
        "picks": [{"pick": f"{r}/{n}", "try": t, "status": s} for r, n, t, s in tasks],
    }  # fmt: skip
    heartbeat = workers.parse_heartbeat(pack(body))

    assert heartbeat is not None
    assert heartbeat.heartbeat_id == (2, sequence)
    assert [str(t.task) for t in heartbeat.tasks] == [f"{r}/{n}" for r, n, _, _ in tasks]
    assert all(t.state in (heartbeats.RUNNING, "new") for t in heartbeat.tasks)


@pytest.mark.parametrize("shape", ["gang", "Service", "Ensemble", "", None, 1])
def test_an_unknown_shape_is_malformed(shape: Any) -> None:
    """Only known shapes are accepted.

    `service` is one of them: the platform's documentation does not mention it, but the benchmark's
    `real` submits such a job and expects it to run.
    """
    submission = {**MINIMAL_SUBMISSION, "shape": shape}
    assert users.parse_submission(pack(submission)) == MALFORMED
    ensemble = users.parse_submission(pack({**MINIMAL_SUBMISSION, "shape": "ensemble"}))
    assert isinstance(ensemble, JobSpec)
    assert ensemble.shape is Shape.GANG


def test_a_gangs_heartbeat_reports_waiting_and_saved_tasks() -> None:
    picks = [
        {"pick": "job-g/0", "try": 3, "status": "waiting"},
        {"pick": "job-g/1", "try": 3, "status": "exited", "cause": "stopped", "saved": True},
        {"pick": "job-g/2", "try": 3, "status": "exited", "cause": "mates_gone"},
        {"pick": "job-g/3", "try": 3, "status": "exited", "cause": "stopped", "saved": "yes"},
    ]
    body = {
        "box": "m-1", "addr": "10.1.0.1:9000", "rig": "r", "yard": "a", "loaners": False,
        "shift": 1, "tally": 4, "baton": 7, "picks": picks,
    }  # fmt: skip

    heartbeat = workers.parse_heartbeat(pack(body))

    assert heartbeat is not None
    assert [(t.state, t.cause, t.saved) for t in heartbeat.tasks] == [
        (heartbeats.WAITING, None, False),
        (heartbeats.EXITED, heartbeats.STOPPED, True),
        (heartbeats.EXITED, heartbeats.GANG_MEMBER_LOST, False),
        (heartbeats.EXITED, heartbeats.STOPPED, False),
    ]
    assert not heartbeats.unknown_states_and_causes(heartbeat)


def test_orders_are_encoded_with_the_names_of_the_protocol() -> None:
    orders: tuple[Order, ...] = (
        StartOrder("job-1/0", 2),
        StopOrder("job-1/1", 1, 10.0),
        ClearOrder("job-1/2", 1),
    )
    assert msgspec.msgpack.decode(
        workers.encode_direct_command(Token(41), AgentEpoch(1), orders)
    ) == {
        "baton": 41,
        "shift": 1,
        "orders": [
            {"verb": "start", "pick": "job-1/0", "try": 2},
            {"verb": "stop", "pick": "job-1/1", "try": 1, "wind_down_s": 10.0},
            {"verb": "clear", "pick": "job-1/2", "try": 1},
        ],
    }


def test_transactions_are_encoded_with_the_names_of_the_protocol() -> None:
    commit = Commit(
        (("a/b", Version(0)),),
        (Put("a/b", {"n": 1}, LeaseId(7)), Put("d", 2), Remove("c/d")),
        lambda _: None,
    )
    assert msgspec.msgpack.decode(state.encode_transaction([commit])) == {
        "if": [{"path": "a/b", "stamp": 0}],
        "writes": [
            {"set": "a/b", "data": {"n": 1}, "permit": 7},
            {"set": "d", "data": 2},
            {"delete": "c/d"},
        ],
    }


@given(
    st.one_of(
        st.builds(peers.Hello, st.text()),
        st.builds(peers.Ping, st.booleans()),
        st.builds(peers.IndirectProbe, st.text(), st.integers(0, 2**60), st.integers(0, 2**60)),
        st.builds(peers.ProbeReply, st.binary(max_size=50)),
        st.builds(peers.Relay, st.integers(0, 2**60), st.binary(max_size=50)),
        st.builds(peers.Relayed, st.integers(0, 2**60), st.integers(100, 599), st.binary()),
        st.builds(
            peers.Counts,
            st.dictionaries(refs, st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=3),
        ),
        st.builds(
            peers.ShardProposed,
            st.builds(
                ShardProposal,
                st.integers(0, 9),
                st.lists(st.tuples(refs, st.text()), max_size=3).map(tuple),
            ),
        ),
    )
)
def test_peer_messages_are_decoded_as_they_were_encoded(message: peers.Message) -> None:
    framed = peers.encode_frame(message)
    assert int.from_bytes(framed[:4], "big") == len(framed) - 4
    assert peers.decode_message(framed[4:]) == message


@given(st.binary(max_size=60) | plain_data.map(pack))
def test_arbitrary_peer_messages_cause_only_decode_errors(body: bytes) -> None:
    try:
        message = peers.decode_message(body)
    except msgspec.DecodeError:
        return
    assert isinstance(
        message,
        peers.Hello
        | peers.Ping
        | peers.Relay
        | peers.Relayed
        | peers.Counts
        | peers.ShardRequest
        | peers.ShardProposed
        | peers.IndirectProbe
        | peers.ProbeReply,
    )
