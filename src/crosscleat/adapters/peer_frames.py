"""Reading the messages between controllers from a stream, and the times that both ends keep to."""

from __future__ import annotations

import asyncio

import msgspec

from ..core.model.errors import CrosscleatError
from ..wire import peers as wire
from .deadline import Deadline

SILENCE_S = 5.0
"""A link without a message for so long is closed; pings go out more often than that."""
RELAY_TIMEOUT_S = 2.5
"""How long a relayed heartbeat waits for its reply."""


class InvalidMessageError(CrosscleatError, ValueError):
    """A peer sent what no controller sends."""


async def receive(reader: asyncio.StreamReader) -> wire.Message:
    """The next message.

    Raises InvalidMessageError, TimeoutError after `SILENCE_S`, OSError, and EOFError at the end
    of the stream.
    """
    async with Deadline(SILENCE_S):
        size = int.from_bytes(await reader.readexactly(wire.LENGTH_BYTES), "big")
        if size > wire.MAX_FRAME_BYTES:
            raise InvalidMessageError(f"frame of {size} bytes")
        body = await reader.readexactly(size)
    try:
        return wire.decode_message(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from error
