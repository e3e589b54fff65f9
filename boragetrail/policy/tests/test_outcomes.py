"""Tests of failure rates and of placements that use them."""

import random

from boragetrail.policy.leastloaded import LeastLoadedOrder, ServerView
from boragetrail.policy.outcomes import OutcomeWindow, failure_rate
from boragetrail.policy.prefix import (
    EngineView,
    PrefixCacheIndex,
    PrefixPlacement,
)
from standins.clock import ManualClock


class TestOutcomeWindow:
    """Responses stop counting after the window."""

    def test_old_responses_leave_the_window(self):
        clock = ManualClock()
        window = OutcomeWindow(clock)
        for _ in range(4):
            window.add(True)
        clock.now_s = window.HALF_WINDOW_S
        window.add(False)
        assert window.counts() == (4, 5)
        clock.now_s = 2 * window.HALF_WINDOW_S
        assert window.counts() == (0, 1)
        clock.now_s = 10 * window.HALF_WINDOW_S
        assert window.counts() == (0, 0)


class TestPartiallyFailingServers:
    """Some servers fail a part of their requests; health checks succeed."""

    FAILURE_RATES_BY_ENGINE = {"e0": 0.35, "e1": 0.35, "e2": 0.35, "e3": 0.0}

    def test_chats_avoid_failing_engines(self):
        clock = ManualClock()
        chance = random.Random(3)
        placement = PrefixPlacement(PrefixCacheIndex(clock), chance)
        windows = {
            key: OutcomeWindow(clock) for key in self.FAILURE_RATES_BY_ENGINE
        }
        failed_count = 0
        for number in range(150):
            clock.now_s = number * 0.05
            engines = [
                EngineView(key, 1, 0, 0, failure_rate(*window.counts()))
                for key, window in windows.items()
            ]
            prompt = [(f"deck-{number % 12}", 6000), (f"own-{number}", 500)]
            best = placement.order(prompt, engines)[0].id
            placement.record_placement(prompt, best)
            fails = chance.random() < self.FAILURE_RATES_BY_ENGINE[best]
            windows[best].add(fails)
            failed_count += fails
        # With an even distribution of requests, 39 of the 150 would fail.
        assert failed_count <= 25

    def test_random_errors_do_not_concentrate_load(self):
        clock = ManualClock()
        chance = random.Random(3)
        placement = LeastLoadedOrder(chance)
        windows = {f"s{n}": OutcomeWindow(clock) for n in range(3)}
        requests_by_server = dict.fromkeys(windows, 0)
        for number in range(300):
            clock.now_s = number * 0.05
            views = [
                ServerView(
                    key,
                    chance.randint(0, 2),
                    True,
                    0,
                    failure_rate(*window.counts()),
                )
                for key, window in windows.items()
            ]
            best = placement.order(views)[0].id
            requests_by_server[best] += 1
            windows[best].add(chance.random() < 0.14)
        assert min(requests_by_server.values()) > 60
