"""Messages between controllers: tagged tuples in frames of a four-byte length."""

from __future__ import annotations

import msgspec

from ..core.model.errors import CrosscleatError
from ..core.model.shards import ShardProposal, ShardView

MAX_FRAME = 1 << 20


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """The first frame of a link: who opened it."""

    member: str


class Ping(msgspec.Struct, array_like=True, tag="ping", frozen=True):
    """Still there; and whether the state service serves the sender."""

    served: bool


class Relay(msgspec.Struct, array_like=True, tag="relay", frozen=True):
    """A worker's check-in, as its body came in."""

    number: int
    body: bytes


class Relayed(msgspec.Struct, array_like=True, tag="relayed", frozen=True):
    """The leader's answer to a relayed check-in."""

    number: int
    status: int
    body: bytes


class Counts(msgspec.Struct, array_like=True, tag="counts", frozen=True):
    """Done and running tasks by job."""

    jobs: dict[str, tuple[int, int]]


class ShardRequest(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """The leader's request to plan a part of a round."""

    view: ShardView


class ShardProposed(msgspec.Struct, array_like=True, tag="proposed", frozen=True):
    """An owner's choices for its part."""

    proposal: ShardProposal


class IndirectProbe(msgspec.Struct, array_like=True, tag="probe", frozen=True):
    """Asks for the report of a worker that the sender does not hear."""

    address: str
    token: int
    agent_epoch: int


class ProbeReply(msgspec.Struct, array_like=True, tag="probed", frozen=True):
    """The worker's report, as its body came in."""

    body: bytes


Message = (
    Hello
    | Ping
    | Relay
    | Relayed
    | Counts
    | ShardRequest
    | ShardProposed
    | IndirectProbe
    | ProbeReply
)

OneWayMessage = Counts | ShardRequest | ShardProposed | IndirectProbe | ProbeReply
"""What needs no answer on the same link."""

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class FrameTooLongError(CrosscleatError, ValueError):
    """No receiver takes a message of this length."""


def frame(message: Message) -> bytes:
    """The message with its length in front, as it is sent."""
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME:
        raise FrameTooLongError(f"a message of {len(body)} bytes: {type(message).__name__}")
    return len(body).to_bytes(4, "big") + body


def parse(body: bytes) -> Message:
    """Raises msgspec.DecodeError or ValidationError for what no controller sends."""
    return _decoder.decode(body)
