"""Messages of workers.

The structures have the protocol's field names; the functions map them to the core's types.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..core.model import heartbeats
from ..core.model.heartbeats import Heartbeat, TaskStatus
from ..core.model.ids import (
    AgentEpoch,
    Attempt,
    HeartbeatId,
    MachineId,
    TaskId,
    Token,
    TypeName,
    Zone,
)
from ..core.model.worker_calls import ClearOrder, Order, StartOrder

STATES = {
    "pulling": heartbeats.FETCHING,
    "running": heartbeats.RUNNING,
    "waiting": heartbeats.WAITING,
    "flushing": heartbeats.SAVING,
    "exited": heartbeats.EXITED,
}


class Pick(msgspec.Struct, rename={"attempt": "try"}):
    """The status of one attempt in a heartbeat."""

    pick: str
    attempt: int
    status: str
    cause: str | None = None
    saved: Any = None


class HeartbeatBody(msgspec.Struct):
    """The body of POST /checkin, and of a worker's answer to POST /do."""

    box: str
    addr: str
    rig: str
    yard: str
    loaners: bool
    shift: int
    tally: int
    baton: int
    picks: list[Pick]
    recall_s: float | None = None


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The HTTP answer to a heartbeat, made here or by the peer to which it was relayed."""

    status: int
    body: bytes


MALFORMED = HeartbeatReply(400, b"")
UNAVAILABLE = HeartbeatReply(503, b"")
"""Neither this controller nor a peer that it reaches leads: the worker tries another one."""

_decoder = msgspec.msgpack.Decoder(HeartbeatBody)
_encoder = msgspec.msgpack.Encoder()


def parse_heartbeat(body: bytes) -> Heartbeat | None:
    """The heartbeat in a body; None if it is malformed.

    A task whose name is no task's is left out.
    """
    try:
        raw = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    tasks = []
    for pick in raw.picks:
        task = TaskId.parse(pick.pick)
        if task is not None:
            state = STATES.get(pick.status, pick.status)
            attempt = Attempt(pick.attempt)
            tasks.append(TaskStatus(task, attempt, state, pick.cause, pick.saved is True))
    return Heartbeat(
        machine=MachineId(raw.box),
        address=raw.addr,
        type=TypeName(raw.rig),
        zone=Zone(raw.yard),
        spot=raw.loaners,
        heartbeat_id=HeartbeatId(AgentEpoch(raw.shift), raw.tally),
        token=raw.baton,
        notice_s=raw.recall_s,
        tasks=tuple(tasks),
    )


def _order(order: Order) -> dict[str, Any]:
    if isinstance(order, StartOrder):
        return {"verb": "start", "pick": order.task, "try": order.attempt}
    if isinstance(order, ClearOrder):
        return {"verb": "clear", "pick": order.task, "try": order.attempt}
    return {
        "verb": "stop",
        "pick": order.task,
        "try": order.attempt,
        "wind_down_s": order.grace_s,
    }


def encode_heartbeat_response(token: Token, orders: tuple[Order, ...]) -> bytes:
    """The body of the answer to POST /checkin."""
    return _encoder.encode({"baton": token, "orders": [_order(order) for order in orders]})


def encode_direct_command(
    token: Token, agent_epoch: AgentEpoch, orders: tuple[Order, ...]
) -> bytes:
    """The body of POST /do."""
    return _encoder.encode(
        {"baton": token, "shift": agent_epoch, "orders": [_order(order) for order in orders]}
    )
