"""Tests of per-router quotas of fleet-wide limits."""

import random

from boragetrail.policy.quota import RateQuota, RetryQuota
from standins.clock import ManualClock


def max_in_window(times, window_s):
    """Return the largest number of events in any window of this length.

    :param times: times of the events in seconds
    """
    times = sorted(times)
    max_count = first = 0
    for last, end_s in enumerate(times):
        while end_s - times[first] >= window_s:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


class TestRateQuota:
    """All routers send as many requests as they may to a cold server."""

    def send_burst(self, routers, limit):
        """Send requests for 10 s and return the time of each in seconds."""
        clock = ManualClock()
        chance = random.Random(1)
        quotas = [RateQuota(clock) for _ in range(routers)]
        times = []
        for step in range(2000):
            clock.now_s = step * 0.005
            for rank, quota in enumerate(quotas):
                wants_to_send = chance.random() < 0.5
                if wants_to_send and quota.try_acquire(limit, routers, rank):
                    times.append(clock.now_s)
        return times

    def test_sum_stays_below_the_limit(self):
        for routers in (1, 4, 28, 100, 330):
            times = self.send_burst(routers, 24.5)
            assert max_in_window(times, 1.0) <= 24.5, routers

    def test_at_least_half_of_the_limit_is_used(self):
        for routers in (4, 28):
            assert len(self.send_burst(routers, 24.5)) > 24.5 * 10 * 0.5

    def test_limit_of_zero_admits_no_request(self):
        assert not RateQuota(ManualClock()).try_acquire(0.0, 4, 0)


class TestRetryQuota:
    """All routers send as many retries as their quotas allow."""

    def test_sum_stays_below_the_budget(self):
        clock = ManualClock()
        routers = 28
        quotas = [RetryQuota(0.2, 10, 96, clock) for _ in range(routers)]
        requests, retries = [], []
        for step in range(4000):
            clock.now_s = step * 0.01
            quota = quotas[step % routers]
            quota.record_request()
            requests.append(clock.now_s)
            while quota.try_acquire(routers):
                retries.append(clock.now_s)
        allowed = 0.2 * max_in_window(requests, 10) + 96
        assert 0 < max_in_window(retries, 10) <= allowed


class TestWait:
    """A quota tells when it allows the next request."""

    def test_next_request(self):
        clock = ManualClock(5.0)
        quota = RateQuota(clock)
        assert quota.wait_s(24.5, 9, 0) == 0.0
        for _ in range(2):
            assert quota.try_acquire(24.5, 9, 0)
            clock.now_s += 0.3
        assert abs(quota.wait_s(24.5, 9, 0) - 0.4) < 1e-9
        clock.now_s += 0.41
        assert quota.try_acquire(24.5, 9, 0)

    def test_router_without_a_quota(self):
        quota = RateQuota(ManualClock(5.0))
        assert quota.wait_s(4.0, 9, 3) == RateQuota.WINDOW_S
        assert not quota.try_acquire(4.0, 9, 3)
