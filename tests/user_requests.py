"""Builds a `UserRequests` without a controller, for the tests."""

from __future__ import annotations

from crosscleat.core.control.user_requests import UserRequests
from crosscleat.core.model.effects import Outbox
from crosscleat.core.model.ids import Seconds

from .world import TYPES, deployment


def user_requests(with_types: bool = True) -> tuple[UserRequests, Outbox]:
    outbox = Outbox()
    types = {machine_type.name: machine_type for machine_type in TYPES} if with_types else {}
    return UserRequests(
        deployment("c0"), outbox, types, lambda: Seconds(100.0), lambda: True
    ), outbox
