"""The part of a controller that answers users, by itself, for the tests."""

from __future__ import annotations

from crosscleat.core.control.user_requests import UserRequests
from crosscleat.core.model.effects import Outbox
from crosscleat.core.model.ids import Seconds

from .world import TYPES, deployment


def user_requests(types: bool = True) -> tuple[UserRequests, Outbox]:
    out = Outbox()
    known = {kind.name: kind for kind in TYPES} if types else {}
    return UserRequests(deployment("c0"), out, known, lambda: Seconds(100.0), lambda: True), out
