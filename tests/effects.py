"""What a part of the core wants done, as a test takes it."""

from __future__ import annotations

from typing import TypeVar

from crosscleat.core.model.effects import Effect, Outbox, Response

Kind = TypeVar("Kind", bound=Effect)


def only(out: Outbox, kind: type[Kind]) -> Kind:
    """The one effect that there is, of this kind."""
    (effect,) = out.take()
    assert isinstance(effect, kind)
    return effect


def answered(out: Outbox) -> Response:
    """The one answer that there is, with a body."""
    answer = only(out, Response)
    assert answer.body is not None
    return answer
