"""Tests of the suspicion against a server that failed."""

import pytest

from boragetrail.policy.suspicion import Standing, Suspicion
from standins.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock(10.0)


@pytest.fixture
def suspicion(clock):
    return Suspicion(clock)


class TestPause:
    """A server that failed is avoided for a time."""

    def test_pause_doubles_with_each_failure(self, clock, suspicion):
        for pause_s in (0.5, 1.0, 2.0, 4.0, 4.0):
            suspicion.record_failure(clock())
            clock.now_s += pause_s - 0.01
            assert suspicion.standing() is not Standing.TRUSTED
            clock.now_s += 0.01
            assert suspicion.standing() is Standing.TRUSTED

    # Twenty requests that were lost at once kept a server away for 4 s.
    def test_requests_that_are_lost_together_count_once(
        self, clock, suspicion
    ):
        for _ in range(20):
            suspicion.record_failure(started_s=9.0)
        clock.now_s += 0.5
        assert suspicion.standing() is Standing.TRUSTED

    def test_response_ends_it(self, suspicion):
        suspicion.record_failure(9.0)
        suspicion.record_response()
        assert suspicion.standing() is Standing.TRUSTED
        assert not suspicion.failures

    def test_begun_response_ends_the_pause_alone(self, clock, suspicion):
        suspicion.record_failure(clock())
        clock.now_s += 0.1
        suspicion.record_life()
        assert suspicion.standing() is Standing.TRUSTED
        clock.now_s += 0.1
        suspicion.record_failure(clock())
        clock.now_s += 0.9
        assert suspicion.standing() is not Standing.TRUSTED

    def test_response_to_a_peer_ends_the_pause(self, clock, suspicion):
        suspicion.record_failure(clock())
        suspicion.record_life_at_peer(9.9)
        assert suspicion.standing() is Standing.AVOIDED
        suspicion.record_life_at_peer(10.1)
        assert suspicion.standing() is Standing.TRUSTED


class TestTrial:
    """A suspect server gets one request at a time."""

    def test_trial_within_the_pause(self, clock, suspicion):
        suspicion.record_failure(clock())
        assert suspicion.standing() is Standing.AVOIDED
        clock.now_s += 0.2
        assert suspicion.standing() is Standing.ON_TRIAL
        assert suspicion.try_begin_trial()
        assert suspicion.standing() is Standing.AVOIDED
        assert not suspicion.try_begin_trial()
        suspicion.end_trial()
        assert suspicion.standing() is Standing.ON_TRIAL

    def test_one_trial_after_the_pause(self, clock, suspicion):
        suspicion.record_failure(clock())
        clock.now_s += 0.6
        assert suspicion.try_begin_trial()
        assert suspicion.standing() is Standing.AVOIDED

    def test_no_trial_of_a_trusted_server(self, suspicion):
        assert not suspicion.try_begin_trial()


class TestUnreachable:
    """No request waits for a connection that may not open."""

    def test_no_time_ends_it(self, clock, suspicion):
        suspicion.record_unreachable(clock())
        clock.now_s += 60.0
        suspicion.record_life_at_peer(clock())
        assert suspicion.standing() is Standing.AVOIDED

    def test_connection_ends_it(self, clock, suspicion):
        suspicion.record_unreachable(clock())
        clock.now_s += 0.3
        suspicion.record_connection()
        assert suspicion.standing() is Standing.TRUSTED
