"""Tests of limits that servers name."""

import random

import pytest

from boragetrail.policy.serverlimits import (
    MAX_RATE_PER_S,
    MIN_RATE_PER_S,
    LimitQuota,
    LimitReport,
    LimitTable,
    parse_limit,
)
from boragetrail.policy.tests.test_quota import max_in_window
from standins.clock import ManualClock

# A server may get this many times its limit, and more, in each window.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5


class TestLimitQuota:
    """Routers send as much as they may to a server that names a limit."""

    def send(self, routers, rate_per_s, wanted=0.5, late_s=0.05):
        """Send for 20 s; returns the times of arrival.

        :param wanted: probability that a router wants to send in each 20 ms
        :param late_s: longest time on the way
        """
        clock = ManualClock()
        chance = random.Random(1)
        quotas = [LimitQuota(clock) for _ in range(routers)]
        report = LimitReport(7, rate_per_s, 0.0)
        times = []
        for step in range(1000):
            clock.now_s = step * 0.02
            for rank, quota in enumerate(quotas):
                if chance.random() > wanted:
                    continue
                if quota.try_acquire(report, routers, rank) is not None:
                    times.append(clock.now_s + chance.uniform(0, late_s))
        return times

    @pytest.mark.parametrize("routers", [1, 3, 5, 28, 68, 330])
    @pytest.mark.parametrize("rate_per_s", [0.1, 0.6, 2.2, 5.0, 11.0, 40.0])
    def test_sum_stays_within_the_limit(self, routers, rate_per_s):
        times = self.send(routers, rate_per_s)
        bound = FACTOR * rate_per_s * WINDOW_S + SLACK
        assert max_in_window(times, WINDOW_S) <= bound

    @pytest.mark.parametrize("routers", [1, 3, 5, 28, 68, 330])
    @pytest.mark.parametrize("rate_per_s", [0.6, 2.2, 5.0, 11.0, 40.0])
    def test_most_of_the_limit_is_used(self, routers, rate_per_s):
        times = self.send(routers, rate_per_s, wanted=1.0)
        assert len(times) >= 0.85 * 20 * rate_per_s

    def test_requests_before_the_limit_count(self):
        clock = ManualClock(100.0)
        quota = LimitQuota(clock)
        for _ in range(20):
            assert quota.try_acquire(None, 1, 0) is not None
        report = LimitReport(7, 5.0, 100.0)
        assert quota.try_acquire(report, 1, 0) is None
        clock.now_s += 1.2
        assert quota.try_acquire(report, 1, 0) is not None

    def test_one_router_after_another_breaks_the_silence(self):
        clock = ManualClock(100.0)
        report = LimitReport(7, 0.2, 100.0)
        quotas = [LimitQuota(clock) for _ in range(5)]
        # The router with the first rank is down.
        sent = []
        while clock.now_s < 160.0:
            clock.now_s += 0.1
            for rank, quota in list(enumerate(quotas))[1:]:
                if quota.try_acquire(report, 5, rank) is not None:
                    sent.append(clock.now_s)
                    report = LimitReport(7, 0.2, clock.now_s)
        assert len(sent) >= 2
        assert max_in_window(sent, LimitQuota.SILENCE_S) == 1


class TestTurns:
    """Routers that hear of a limit at the same time send in turn."""

    # Routers used their parts all at once, so an end was heard late (LIMIT).
    @pytest.mark.parametrize("rate_per_s", [0.6, 1.0, 2.2])
    def test_a_limited_server_is_heard_from_regularly(self, rate_per_s):
        clock = ManualClock(100.0)
        quotas = [LimitQuota(clock) for _ in range(4)]
        for quota in quotas:
            quota.try_acquire(None, 4, 0)
        report = LimitReport(7, rate_per_s, 100.0, clock.now_s)
        sent_s = []
        while clock.now_s < 140.0:
            clock.now_s += 0.02
            for rank, quota in enumerate(quotas):
                if quota.try_acquire(report, 4, rank) is not None:
                    sent_s.append(clock.now_s)
        regular_s = [each for each in sent_s if each > 110.0]
        gaps_s = [b - a for a, b in zip(regular_s, regular_s[1:])]
        assert max(gaps_s) <= 2 / rate_per_s


class TestLimitTable:
    """The newest statement of a server holds, in any order of arrival."""

    def test_statements_in_any_order(self):
        reports = [
            LimitReport(7, 2.0, 10.0),
            LimitReport(7, 3.0, 12.0),
            LimitReport(7, None, 14.0),
            LimitReport(7, None, 11.0),
        ]
        for seed in range(24):
            table = LimitTable(ManualClock(20.0))
            random.Random(seed).shuffle(reports)
            for report in [LimitReport(7, 9.0, 1.0), *reports]:
                table.add(report)
            assert table.rate_per_s(7) is None

    def test_number_of_runs_is_bounded(self):
        table = LimitTable(ManualClock(20.0))
        for server in range(2 * LimitTable.MAX_RUNS):
            table.add(LimitReport(server, 2.0, 10.0))
        assert len(table.reports_by_server) == LimitTable.MAX_RUNS

    def test_what_other_routers_are_told(self):
        clock = ManualClock(20.0)
        table = LimitTable(clock)
        table.add(LimitReport(1, 2.0, 20.0))
        table.add(LimitReport(2, 2.0, 19.0))
        table.add(LimitReport(2, None, 20.0))
        assert len(table.recent()) == 2
        clock.now_s += LimitTable.MAX_END_AGE_S
        assert [report.server for report in table.recent()] == [1]
        clock.now_s += LimitTable.MAX_LIMIT_AGE_S
        assert not table.recent()


class TestValues:
    """Values of the field are bounded."""

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("2", 2.0),
            ("2.50", 2.5),
            ("0", MIN_RATE_PER_S),
            ("-0", MIN_RATE_PER_S),
            ("1e300", MAX_RATE_PER_S),
            ("inf", MAX_RATE_PER_S),
            ("9" * 4000, MAX_RATE_PER_S),
            ("nan", None),
            ("-1", None),
            ("", None),
            ("1,5", None),
            ("\u00b2", None),
            ("many", None),
        ],
    )
    def test_value(self, text, expected):
        assert parse_limit(text) == expected
