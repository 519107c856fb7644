"""Which controllers accept user requests while the key-value store does not serve all of them.

Guards against a controller that accepts users although only the others reach the store, and against
a store outage in which no controller accepts users any more.
"""

from __future__ import annotations

import pytest

from crosscleat.adapters import health as health_module
from crosscleat.adapters.health import Health
from crosscleat.wire.peers import Ping


class FakeClock:
    now = 100.0


class FakeStoreStatus:
    """The store's availability: unavailable since `failing_since`, or available if it is None."""

    def __init__(self, clock: FakeClock, failing_since: float | None = None) -> None:
        self._clock = clock
        self._failing_since = failing_since

    @property
    def is_available(self) -> bool:
        return self._failing_since is None

    def outage_s(self) -> float:
        return 0.0 if self._failing_since is None else self._clock.now - self._failing_since


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    fake_clock = FakeClock()
    monkeypatch.setattr(health_module, "monotonic_time", lambda: fake_clock.now)
    return fake_clock


def test_an_isolated_controller_sends_users_to_its_peers(clock: FakeClock) -> None:
    outage_start = clock.now
    health = Health(FakeStoreStatus(clock, outage_start))
    for _ in range(4):
        clock.now += 1.0
        health.receive_ping("c1", Ping(store_available=True))
        health.receive_ping("c2", Ping(store_available=False))
    assert health.is_isolated()

    clock.now += 3.0
    assert not health.is_isolated(), "no peer has reported for a while that the store serves it"


def test_a_store_outage_for_all_leaves_every_controller_ready(clock: FakeClock) -> None:
    outage_start = clock.now
    health = Health(FakeStoreStatus(clock, outage_start))
    # The peer detects the outage a second later than this controller.
    clock.now += 0.9
    health.receive_ping("c1", Ping(store_available=True))
    for _ in range(10):
        clock.now += 1.0
        health.receive_ping("c1", Ping(store_available=False))
        assert not health.is_isolated()


def test_a_controller_that_the_store_serves_is_ready_whatever_its_peers_report(
    clock: FakeClock,
) -> None:
    health = Health(FakeStoreStatus(clock))
    health.receive_ping("c1", Ping(store_available=True))

    assert not health.is_isolated()


def test_a_controller_that_reaches_neither_store_nor_peers_sends_users_away(
    clock: FakeClock,
) -> None:
    outage_start = clock.now
    health = Health(FakeStoreStatus(clock, outage_start))
    for _ in range(8):
        health.receive_ping("c1", Ping(store_available=False))
        clock.now += 1.0
    assert not health.is_isolated(), "pings from one peer are enough"

    clock.now += 8.0
    assert health.is_isolated()

    health.receive_ping("c1", Ping(store_available=False))
    assert not health.is_isolated()

    without_peers = Health(FakeStoreStatus(clock, outage_start), has_peers=False)
    clock.now += 100.0
    assert not without_peers.is_isolated(), "there is no peer to send users to"


def test_a_controller_that_reaches_the_store_but_no_peers_accepts_requests(
    clock: FakeClock,
) -> None:
    health = Health(FakeStoreStatus(clock))
    clock.now += 100.0

    assert not health.is_isolated()
