"""Which controllers take users' requests when the store does not serve all of them."""

from __future__ import annotations

import pytest

from crosscleat.adapters import health as health_module
from crosscleat.adapters.health import Health
from crosscleat.wire.peers import Ping


class Time:
    now = 100.0


class Store:
    """The store as this controller sees it, unavailable since some time or available."""

    def __init__(self, clock: Time, failing_since: float | None = None) -> None:
        self._clock = clock
        self._failing_since = failing_since

    @property
    def is_available(self) -> bool:
        return self._failing_since is None

    def outage_s(self) -> float:
        return 0.0 if self._failing_since is None else self._clock.now - self._failing_since


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Time:
    time = Time()
    monkeypatch.setattr(health_module, "steady", lambda: time.now)
    return time


def test_who_is_is_cut_off_sends_users_to_the_others(clock: Time) -> None:
    since = clock.now
    health = Health(Store(clock, since))
    for _ in range(4):
        clock.now += 1.0
        health.receive_ping("c1", Ping(store_available=True))
        health.receive_ping("c2", Ping(store_available=False))
    assert health.is_cut_off()

    clock.now += 3.0
    assert not health.is_cut_off(), "no peer has reported for a while that the store serves it"


def test_a_store_outage_for_all_leaves_every_controller_ready(clock: Time) -> None:
    since = clock.now
    health = Health(Store(clock, since))
    # The peer finds out a second later than this controller.
    clock.now += 0.9
    health.receive_ping("c1", Ping(store_available=True))
    for _ in range(10):
        clock.now += 1.0
        health.receive_ping("c1", Ping(store_available=False))
        assert not health.is_cut_off()


def test_a_controller_with_store_is_ready_whatever_its_peers_report(clock: Time) -> None:
    health = Health(Store(clock))
    health.receive_ping("c1", Ping(store_available=True))

    assert not health.is_cut_off()


def test_a_controller_without_store_and_peers_sends_users_away(clock: Time) -> None:
    since = clock.now
    health = Health(Store(clock, since))
    for _ in range(8):
        health.receive_ping("c1", Ping(store_available=False))
        clock.now += 1.0
    assert not health.is_cut_off(), "one peer is enough"

    clock.now += 8.0
    assert health.is_cut_off()

    health.receive_ping("c1", Ping(store_available=False))
    assert not health.is_cut_off()

    alone = Health(Store(clock, since), has_peers=False)
    clock.now += 100.0
    assert not alone.is_cut_off(), "there is no peer to send users to"


def test_a_controller_with_store_but_without_peers_takes_requests(clock: Time) -> None:
    health = Health(Store(clock))
    clock.now += 100.0

    assert not health.is_cut_off()
