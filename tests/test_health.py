"""Who takes users' requests when the state service does not serve everybody."""

from __future__ import annotations

import pytest

from crosscleat.adapters import peer_link
from crosscleat.adapters.peer_link import Health
from crosscleat.wire.peers import Ping


class Time:
    now = 100.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Time:
    time = Time()
    monkeypatch.setattr(peer_link, "steady", lambda: time.now)
    return time


def test_who_is_refused_alone_sends_users_to_the_others(clock: Time) -> None:
    since = clock.now
    health = Health(lambda: False, lambda: clock.now - since)
    for _ in range(4):
        clock.now += 1.0
        health.heard("c1", Ping(served=True))
        health.heard("c2", Ping(served=False))
    assert health.refused_alone()
    clock.now += 3.0
    assert not health.refused_alone(), "nobody has said for a while that it is served"


def test_an_outage_of_all_leaves_everybody_ready(clock: Time) -> None:
    since = clock.now
    health = Health(lambda: False, lambda: clock.now - since)
    # The other finds out a second later than we do.
    clock.now += 0.9
    health.heard("c1", Ping(served=True))
    for _ in range(10):
        clock.now += 1.0
        health.heard("c1", Ping(served=False))
        assert not health.refused_alone()


def test_who_is_served_is_ready_whatever_others_say(clock: Time) -> None:
    health = Health(lambda: True, lambda: 0.0)
    health.heard("c1", Ping(served=True))
    assert not health.refused_alone()
