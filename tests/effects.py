"""Test helpers that take effects out of an outbox."""

from __future__ import annotations

from typing import TypeVar

from crosscleat.core.model.effects import Effect, Outbox, Response
from crosscleat.core.model.ids import Token

E = TypeVar("E", bound=Effect)


def only(outbox: Outbox, effect_type: type[E]) -> E:
    """Take the only effect out of the outbox; it must be of this type."""
    (effect,) = outbox.take()
    assert isinstance(effect, effect_type)
    return effect


def only_response(outbox: Outbox) -> Response:
    """Take the only effect out of the outbox; it must be a response with a body."""
    response = only(outbox, Response)
    assert response.body is not None
    return response


class NoElectionExpected:
    """An election listener for tests in which no election may be won or term lost."""

    def elected(self, token: Token) -> None:
        raise AssertionError("no controller should be elected")

    def term_lost(self, reason: str) -> None:
        raise AssertionError("no term should be lost")
