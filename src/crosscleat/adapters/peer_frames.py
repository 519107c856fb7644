"""Reads messages between controllers from a stream; timeouts that both ends of a link share."""

from __future__ import annotations

import asyncio

import msgspec

from ..core.model.errors import CrosscleatError
from ..wire import peers as wire
from .deadline import Deadline

IDLE_TIMEOUT_S = 5.0
"""A link without a message for this long is closed; pings are sent more often than that."""
RELAY_TIMEOUT_S = 2.5
"""Time limit for the reply to a relayed heartbeat."""


class InvalidMessageError(CrosscleatError, ValueError):
    """A peer sent a message that violates the protocol."""


async def receive_message(reader: asyncio.StreamReader) -> wire.Message:
    """The next message from the stream.

    Raises InvalidMessageError, TimeoutError after `IDLE_TIMEOUT_S`, OSError, and EOFError at the
    end of the stream.
    """
    async with Deadline(IDLE_TIMEOUT_S):
        size = int.from_bytes(await reader.readexactly(wire.LENGTH_BYTES), "big")
        if size > wire.MAX_FRAME_BYTES:
            raise InvalidMessageError(f"oversized frame of {size} bytes")
        body = await reader.readexactly(size)
    try:
        return wire.decode_message(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from error
