"""Tests of the counts of requests of a whole fleet."""

from tools.sums import Arrival, Span
from tools.sums import (
    arrivals_while_withdrawn,
    max_in_window,
    max_retry_excess,
)

WINDOW_S = 10.0
START_TIMES = [0.1 * n for n in range(100)]


def _arrivals(retried):
    """Return arrivals of 100 requests, the given ones with a retry."""
    first = [Arrival(0.1 * n, str(n), "i-0") for n in range(100)]
    second = [Arrival(10.0 + 0.01 * n, str(n), "i-1") for n in retried]
    return first + second


class TestRetries:
    """Retries of all routers in a sliding window."""

    def test_fleet_within_its_limit(self):
        arrivals = _arrivals(range(20))
        assert max_retry_excess(arrivals, START_TIMES, WINDOW_S, 0.2, 3) <= 0

    def test_routers_that_each_use_the_whole_limit(self):
        arrivals = _arrivals(range(60))
        assert max_retry_excess(arrivals, START_TIMES, WINDOW_S, 0.2, 3) > 0

    def test_requests_before_the_window_allow_no_retries(self):
        arrivals = _arrivals(range(3))
        for arrival in arrivals[100:]:
            arrival.at_s += 2 * WINDOW_S
        assert max_retry_excess(arrivals, START_TIMES, WINDOW_S, 0.2, 0) == 3


class TestRate:
    """Rate of requests at a cold server."""

    def test_burst_across_a_second_boundary(self):
        times = [0.9 + 0.02 * n for n in range(12)]
        assert max_in_window(times, 1.0) == 12

    def test_no_requests(self):
        assert max_in_window([], 1.0) == 0


class TestWithdrawn:
    """Requests for a server or a key that is withdrawn."""

    def test_withdrawn_key_in_use(self):
        span = Span("key", 4.0, 8.0)
        used = [Arrival(t, str(t), "i-0", "key") for t in (3.0, 5.0, 9.0)]
        start_by_id = {arrival.request_id: arrival.at_s for arrival in used}
        late = arrivals_while_withdrawn(used, span, start_by_id)
        assert [arrival.at_s for arrival in late] == [5.0]
