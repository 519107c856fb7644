"""The part of a controller that answers users, on its own, for the tests."""

from __future__ import annotations

from crosscleat.core.control.user_requests import UserRequests
from crosscleat.core.model.effects import Outbox
from crosscleat.core.model.ids import Seconds

from .world import TYPES, deployment


def user_requests(types: bool = True) -> tuple[UserRequests, Outbox]:
    outbox = Outbox()
    known = {machine_type.name: machine_type for machine_type in TYPES} if types else {}
    return UserRequests(
        deployment("c0"), outbox, known, lambda: Seconds(100.0), lambda: True
    ), outbox
