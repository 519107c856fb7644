"""Messages between controllers: tagged arrays, each in a frame with a four-byte length prefix.

Other versions read these messages too, so tags and positions never change.
"""

from __future__ import annotations

import msgspec

from ..core.model.errors import CrosscleatError
from ..core.model.shards import ShardProposal, ShardView

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1 << 20


class Hello(msgspec.Struct, array_like=True, tag="hello", frozen=True):
    """The first message on a connection; names the controller that opened it."""

    member: str


class Ping(msgspec.Struct, array_like=True, tag="ping", frozen=True):
    """The sender is running; `store_available`: whether the key-value store answers the sender."""

    store_available: bool


class Relay(msgspec.Struct, array_like=True, tag="relay", frozen=True):
    """Forwards a worker's heartbeat to the leader, with the body as it was received."""

    number: int
    body: bytes


class Relayed(msgspec.Struct, array_like=True, tag="relayed", frozen=True):
    """The HTTP response to the heartbeat in the Relay of the same number."""

    number: int
    status: int
    body: bytes


class Counts(msgspec.Struct, array_like=True, tag="counts", frozen=True):
    """The leader's numbers of completed and running tasks, in this order, by job."""

    jobs: dict[str, tuple[int, int]]


class ShardRequest(msgspec.Struct, array_like=True, tag="part", frozen=True):
    """Sent by the leader: asks a controller to plan one shard of a full scheduling cycle."""

    view: ShardView


class ShardProposed(msgspec.Struct, array_like=True, tag="proposed", frozen=True):
    """The assignments that a controller proposes for the shard of a ShardRequest."""

    proposal: ShardProposal


class IndirectProbe(msgspec.Struct, array_like=True, tag="probe", frozen=True):
    """The leader's request for the status of a worker whose heartbeats do not reach the leader."""

    address: str
    token: int
    agent_epoch: int


class ProbeReply(msgspec.Struct, array_like=True, tag="probed", frozen=True):
    """Sent after an IndirectProbe: the worker's status, with the body as it was received."""

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
"""Messages that the receiver does not answer on the same connection."""

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class FrameTooLongError(CrosscleatError, ValueError):
    """The message is longer than MAX_FRAME_BYTES; the receiver would close the connection."""


def encode_frame(message: Message) -> bytes:
    """Encode a message with its length prefix; raises FrameTooLongError."""
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLongError(
            f"message of {len(body)} bytes exceeds the limit: {type(message).__name__}"
        )
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_message(body: bytes) -> Message:
    """Decode the body of a frame; raises msgspec.DecodeError if it is not a valid message."""
    return _decoder.decode(body)
