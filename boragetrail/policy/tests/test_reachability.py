"""Tests of the reachability of zones."""

import pytest

from boragetrail.policy.reachability import ZoneReachability
from standins.clock import ManualClock

TIMEOUT_S = 0.4


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def reachability(clock):
    return ZoneReachability(clock)


class TestZoneReachability:
    """Requests avoid a zone that does not answer, and no other zone."""

    def _time_out(self, reachability, clock, *servers):
        started_s = clock()
        clock.now_s += TIMEOUT_S
        for server in servers:
            reachability.record_timeout("east", server, started_s)

    # A crashed server would have taken its whole zone out of use.
    def test_one_server(self, reachability, clock):
        self._time_out(reachability, clock, "s1")
        self._time_out(reachability, clock, "s1")
        assert not reachability.is_unreachable("east")

    # Each request would have had to find out by itself.
    def test_several_servers(self, reachability, clock):
        self._time_out(reachability, clock, "s1", "s2")
        assert reachability.is_unreachable("east")
        assert not reachability.is_unreachable("west")

    # Crashed servers would have taken a zone out of use that answers.
    def test_life_between_timeouts(self, reachability, clock):
        self._time_out(reachability, clock, "s1")
        reachability.record_life("east")
        self._time_out(reachability, clock, "s2")
        assert not reachability.is_unreachable("east")

    # A slow attempt would have outweighed a later sign of life.
    def test_attempt_from_before_a_sign_of_life(self, reachability, clock):
        started_s = clock()
        clock.now_s += 0.1
        reachability.record_life("east")
        clock.now_s += 0.3
        for server in ("s1", "s2"):
            reachability.record_timeout("east", server, started_s)
        assert not reachability.is_unreachable("east")

    # A zone would have been avoided for ever.
    def test_old_timeouts(self, reachability, clock):
        self._time_out(reachability, clock, "s1", "s2")
        clock.now_s += ZoneReachability.MAX_AGE_S + 0.1
        assert not reachability.is_unreachable("east")
