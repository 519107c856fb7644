"""Messages from and to workers: heartbeats and orders.

The structures use the protocol's field names; the functions map them to the core's types.
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


class TaskStatusEntry(msgspec.Struct, rename={"attempt": "try"}):
    """The status of one attempt of a task in a heartbeat."""

    pick: str
    attempt: int
    status: str
    cause: str | None = None
    saved: Any = None


class HeartbeatBody(msgspec.Struct):
    """The request body of POST /checkin, and the worker's response body to POST /do."""

    box: str
    addr: str
    rig: str
    yard: str
    loaners: bool
    shift: int
    tally: int
    baton: int
    picks: list[TaskStatusEntry]
    recall_s: float | None = None


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The HTTP response to a heartbeat, made here or by the peer that it was relayed to."""

    status: int
    body: bytes


MALFORMED = HeartbeatReply(400, b"")
UNAVAILABLE = HeartbeatReply(503, b"")
"""Neither this controller nor a peer that it can reach leads; the worker tries another one."""

_decoder = msgspec.msgpack.Decoder(HeartbeatBody)
_encoder = msgspec.msgpack.Encoder()


def parse_heartbeat(body: bytes) -> Heartbeat | None:
    """Decode a heartbeat; None if the body is malformed.

    Entries whose task id cannot be parsed are left out.
    """
    try:
        raw = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    tasks = []
    for entry in raw.picks:
        task = TaskId.parse(entry.pick)
        if task is not None:
            state = STATES.get(entry.status, entry.status)
            attempt = Attempt(entry.attempt)
            tasks.append(TaskStatus(task, attempt, state, entry.cause, entry.saved is True))
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


def _order_fields(order: Order) -> dict[str, Any]:
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
    """Encode the response body of POST /checkin."""
    return _encoder.encode({"baton": token, "orders": [_order_fields(order) for order in orders]})


def encode_direct_command(
    token: Token, agent_epoch: AgentEpoch, orders: tuple[Order, ...]
) -> bytes:
    """Encode the request body of POST /do, which sends orders directly to a worker."""
    return _encoder.encode(
        {"baton": token, "shift": agent_epoch, "orders": [_order_fields(order) for order in orders]}
    )
