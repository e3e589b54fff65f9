"""Tests of limits that the fleet keeps by parts."""

import random

from boragetrail.policy.quota import RateQuota, RetryQuota
from standins.clock import ManualClock


def most_in_window(times, window_s):
    """Return the largest number of times in any window."""
    times = sorted(times)
    most = first = 0
    for last, end_s in enumerate(times):
        while end_s - times[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class TestRatePart:
    """Burst onto a cold server from all routers at once."""

    def burst(self, routers, limit):
        """Return the times at which the fleet sends in 10 s."""
        clock = ManualClock()
        chance = random.Random(1)
        parts = [RateQuota(clock) for _ in range(routers)]
        times = []
        for step in range(2000):
            clock.now_s = step * 0.005
            for rank, part in enumerate(parts):
                wants = chance.random() < 0.5
                if wants and part.try_acquire(limit, routers, rank):
                    times.append(clock.now_s)
        return times

    def test_sum_stays_below_the_limit(self):
        for routers in (1, 4, 28, 100, 330):
            times = self.burst(routers, 24.5)
            assert most_in_window(times, 1.0) <= 24.5, routers

    def test_limit_is_used(self):
        for routers in (4, 28):
            assert len(self.burst(routers, 24.5)) > 24.5 * 10 * 0.5

    def test_no_rate_at_all(self):
        assert not RateQuota(ManualClock()).try_acquire(0.0, 4, 0)


class TestRepeatPart:
    """Storm of repeats at all routers."""

    def test_sum_stays_below_the_budget(self):
        clock = ManualClock()
        routers = 28
        parts = [RetryQuota(0.2, 10, 96, clock) for _ in range(routers)]
        requests, repeats = [], []
        for step in range(4000):
            clock.now_s = step * 0.01
            part = parts[step % routers]
            part.record_request()
            requests.append(clock.now_s)
            while part.try_acquire(routers):
                repeats.append(clock.now_s)
        allowed = 0.2 * most_in_window(requests, 10) + 96
        assert 0 < most_in_window(repeats, 10) <= allowed
