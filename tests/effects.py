"""Takes effects out of an outbox, for the tests."""

from __future__ import annotations

from typing import TypeVar

from crosscleat.core.model.effects import Effect, Outbox, Response
from crosscleat.core.model.ids import Token

E = TypeVar("E", bound=Effect)


def only(outbox: Outbox, effect_type: type[E]) -> E:
    """The only effect in the outbox, which is of this type."""
    (effect,) = outbox.take()
    assert isinstance(effect, effect_type)
    return effect


def only_response(outbox: Outbox) -> Response:
    """The only effect in the outbox, which is a response with a body."""
    response = only(outbox, Response)
    assert response.body is not None
    return response


class NoTerm:
    """Listens to an election that the test does not hold."""

    def elected(self, token: Token) -> None:
        raise AssertionError("nobody was to be elected")

    def term_lost(self, reason: str) -> None:
        raise AssertionError("there was no term to lose")
