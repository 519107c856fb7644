"""Messages between controllers: tagged tuples in frames of a four-byte length.

Tags and positions are read by other versions too; they never change.
"""

from __future__ import annotations

import msgspec

from ..core.model.errors import CrosscleatError
from ..core.model.shards import ShardProposal, ShardView

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 20


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """The first message of a link: who opened it."""

    member: str


class Ping(msgspec.Struct, array_like=True, tag="ping", frozen=True):
    """The sender is up; and whether the key-value store serves it."""

    served: bool


class Relay(msgspec.Struct, array_like=True, tag="relay", frozen=True):
    """A worker's heartbeat, as its body was received."""

    number: int
    body: bytes


class Relayed(msgspec.Struct, array_like=True, tag="relayed", frozen=True):
    """The leader's HTTP answer to the relayed heartbeat of that number."""

    number: int
    status: int
    body: bytes


class Counts(msgspec.Struct, array_like=True, tag="counts", frozen=True):
    """The leader's numbers of done and running tasks, by job."""

    jobs: dict[str, tuple[int, int]]


class ShardRequest(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """The leader's request to plan one shard of a full cycle."""

    view: ShardView


class ShardProposed(msgspec.Struct, array_like=True, tag="proposed", frozen=True):
    """The assignments that a shard owner proposes."""

    proposal: ShardProposal


class IndirectProbe(msgspec.Struct, array_like=True, tag="probe", frozen=True):
    """Asks for the status of a worker whose heartbeats do not reach the leader."""

    address: str
    token: int
    agent_epoch: int


class ProbeReply(msgspec.Struct, array_like=True, tag="probed", frozen=True):
    """The worker's status, as its body was received."""

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
"""Those that need no reply on the same link."""

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class FrameTooLongError(CrosscleatError, ValueError):
    """No receiver takes a message of this length."""


def encode_frame(message: Message) -> bytes:
    """The message with its length in front, as it is sent; raises FrameTooLongError."""
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLongError(f"a message of {len(body)} bytes: {type(message).__name__}")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_message(body: bytes) -> Message:
    """The message in a frame; raises msgspec.DecodeError for what no controller sends."""
    return _decoder.decode(body)
