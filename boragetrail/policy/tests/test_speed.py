"""Tests of the estimates of servers' speed."""

import random
import statistics

import pytest

from boragetrail.policy.prefix import (
    EngineView,
    PrefixCacheIndex,
    PrefixPlacement,
)
from boragetrail.policy.leastloaded import LeastLoadedOrder, ServerView
from boragetrail.policy.responsetimes import (
    RouteBaselines,
    Spread,
    TimeWindow,
    compare,
)
from boragetrail.policy.speed import (
    SpeedEstimate,
    effective_slowness,
)

SLOW_S = 0.5
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5


class SpeedHistory:
    """Draw when a server is slow, and look it up."""

    def __init__(self, rng, duration_s):
        self.step_s = 0.01
        self.factors = []
        usual_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        is_slow = False
        while len(self.factors) * self.step_s < duration_s:
            mean_s = SLOW_S if is_slow else usual_s
            steps = round(rng.expovariate(1 / mean_s) / self.step_s)
            self.factors += [SLOW_FACTOR if is_slow else 1.0] * steps
            is_slow = not is_slow

    def factor(self, time_s):
        """Return the time that work takes; 1.0 is the usual."""
        return self.factors[int(time_s / self.step_s)]


class TestSpeedEstimate:
    """Guard against figures that are trusted too long or too short."""

    def _errors(self, age_s, duration_s=900.0):
        """Return mean squared errors of estimate, figure and mean."""
        history = SpeedHistory(random.Random(5), duration_s)
        mean = 1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0)
        estimate, errors, time_s = SpeedEstimate(), [], 0.0
        while time_s < duration_s - 2.0:
            figure = history.factor(time_s)
            estimate.record(int(100 * figure), time_s)
            later_s = time_s + age_s
            truth = history.factor(later_s)
            guesses = (estimate.slowness(later_s), figure, mean)
            errors.append([(guess - truth) ** 2 for guess in guesses])
            time_s += 0.5
        return [statistics.fmean(column) for column in zip(*errors)]

    @pytest.mark.parametrize("age_s", [0.05, 0.2, 0.4, 1.0])
    def test_error_by_age(self, age_s):
        """Fails if figures decay too soon, too late, or to a wrong mean."""
        error, figure_error, mean_error = self._errors(age_s)
        assert error <= 1.1 * min(figure_error, mean_error)

    def test_figure_of_the_middle_age_still_helps(self):
        error, figure_error, mean_error = self._errors(0.25)
        assert error < 0.9 * min(figure_error, mean_error)

    def test_constantly_slow_server_is_not_forgotten(self):
        estimate = SpeedEstimate()
        for number in range(100):
            estimate.record(130, 0.5 * number)
        assert estimate.slowness(60.0) > 1.2

    def test_single_figure_leaves_no_lasting_mark(self):
        """Fails if the first figure of a server becomes its mean."""
        estimate = SpeedEstimate()
        estimate.record(400, 10.0)
        assert estimate.slowness(15.0) < 1.1


class TestMeasuredTimes:
    """Guard against servers that are called slow because of noise."""

    def _comparison(self, factor, per_server, seed):
        rng = random.Random(seed)
        baselines, spread = RouteBaselines(), Spread()
        windows = {key: TimeWindow() for key in range(3)}
        for number in range(600 + 3 * per_server):
            key = number % 3
            now_s = 10.0 if number < 600 else 20.0
            slow = factor if key == 0 and now_s == 20.0 else 1.0
            took_s = 0.06 * slow * rng.lognormvariate(0.0, 0.35)
            log_ratio = baselines.normalise("look-up", took_s)
            if log_ratio is not None:
                if windows[key].last is not None:
                    spread.record_pair(windows[key].last, log_ratio)
                windows[key].add(log_ratio, now_s)
        sums = [window.sums(20.0) for window in windows.values()]
        service = tuple(map(sum, zip(*sums)))
        return compare(sums[0], service, spread.value)

    def _slow_count(self, factor, per_server):
        comparisons = [
            self._comparison(factor, per_server, seed) for seed in range(60)
        ]
        return sum(each.clear_slowness() > 1.0 for each in comparisons)

    def test_equal_servers(self):
        """Fails if a few long responses make a server slow."""
        assert self._slow_count(1.0, 6) <= 2

    def test_slow_server(self):
        """Fails if clear evidence is ignored."""
        assert self._slow_count(SLOW_FACTOR, 6) >= 45

    def test_few_samples(self):
        assert compare((2, 2000), (30, 2000), 0.3) is None

    def test_measured_times_outweigh_a_false_figure(self):
        slower = compare((8, 8 * 1100), (200, 8 * 1100), 0.4)
        faster = compare((8, -8 * 1386), (200, -8 * 1386), 0.4)
        as_expected = compare((8, 800), (200, 800), 0.4)
        assert effective_slowness(0.8, slower) > 2.0
        assert effective_slowness(4.0, faster) == 1.0
        assert effective_slowness(2.5, as_expected) == 2.5

    def test_limits(self):
        assert effective_slowness(1000.0) == 4.0
        assert effective_slowness(0.01) == 0.8
        assert effective_slowness(1.09) == 1.0


class TestPlacement:
    """Guard against orders that ignore or overrate how long work takes."""

    def _first(self, slowness, cached=0):
        index = PrefixCacheIndex(lambda: 0.0)
        if cached:
            index.add_holder("deck", "slow")
        engines = [
            EngineView("slow", 4, 2000, 0, slowness=slowness),
            EngineView("usual", 6, 3000, 0),
        ]
        prompt = [("deck", cached), ("own", 500)]
        placement = PrefixPlacement(index, random.Random(1))
        return placement.order(prompt, engines)[0].id

    def test_less_work_at_a_slow_engine_takes_longer(self):
        assert self._first(1.0, 300) == "slow"
        assert self._first(2.5, 300) == "usual"

    def test_cached_prompt_outweighs_slowness(self):
        assert self._first(2.5, 6000) == "slow"

    def test_application_servers(self):
        views = [ServerView("slow", 1, True, 0, slowness=2.5)]
        order = LeastLoadedOrder(random.Random(1)).order
        busy = ServerView("usual", 5, True, 0)
        assert order([*views, busy])[0].id == "slow"
        idle = ServerView("usual", 3, True, 0)
        assert order([*views, idle])[0].id == "usual"
