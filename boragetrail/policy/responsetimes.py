"""Comparison of the response times of a service's servers.

The module handles servers that report no speed and get few requests, so that
each router measures less than one response of each server per second. Times
are normalised by the route, and the sums of all routers are compared.
"""

import dataclasses
import math

__all__ = [
    "Comparison",
    "RouteBaselines",
    "Spread",
    "TimeWindow",
    "compare",
]

# Sums are kept in thousandths of natural logarithms, since sums of integers
# can be subtracted without an error that grows.
LOG_UNITS = 1000
# Fewer responses say nothing about a server.
MIN_SAMPLES = 3
# Standard errors from which a difference is clear. More would hide slow phases
# in which a server sends only a few responses.
CLEAR_ERRORS = 2.5
# Times of the last 0.4 to 0.8 s are compared, since servers are slow for half
# a second.
HALF_WINDOW_S = 0.4
# Smallest ratio of times that counts as a difference.
MIN_RATIO = 1.3


@dataclasses.dataclass(slots=True, frozen=True)
class Comparison:
    """Compare the times at a server with those at others of its service.

    :param log_ratio: natural logarithm of the ratio of the times
    :param error: standard error of that logarithm
    """

    log_ratio: float
    error: float

    def contradicts(self, slowness):
        """Return whether the times are clearly not those of a slowness."""
        difference = abs(self.log_ratio - math.log(slowness))
        margin = max(CLEAR_ERRORS * self.error, math.log(MIN_RATIO))
        return difference >= margin

    def slowness(self):
        """Return the ratio of the times."""
        return math.exp(self.log_ratio)

    def clear_slowness(self):
        """Return the ratio if the server is clearly slower, else 1.0.

        Faster responses than the usual are no reason to send more.
        """
        return max(1.0, self.slowness()) if self.contradicts(1.0) else 1.0


def compare(own, service, spread):
    """Compare a server's times with those of the other servers.

    :param own: (number, sum of the normalised times) at the server
    :param service: the same at all servers of the service
    :param spread: standard deviation of the logarithm of a single time
    :returns: :class:`Comparison`, or ``None`` if there are too few times

    >>> comparison = compare((9, 9 * 900), (36, 9 * 900), 0.3)
    >>> round(comparison.slowness(), 2), comparison.contradicts(1.0)
    (2.46, True)
    >>> compare((2, 1800), (36, 1800), 0.3)
    """
    count, total = own
    other_count, other_total = service[0] - count, service[1] - total
    if min(count, other_count) < MIN_SAMPLES:
        return None
    log_ratio = (total / count - other_total / other_count) / LOG_UNITS
    error = spread * math.sqrt(1.0 / count + 1.0 / other_count)
    return Comparison(log_ratio, error)


class RouteBaselines:
    """Moving means of the times of each route, over all its servers."""

    __slots__ = ("means_by_route", "counts_by_route")

    # A route's first times have no mean to be compared with.
    MIN_SAMPLES = 4
    MEAN_SAMPLES = 64
    # A single time counts as at most so many times the mean, or its inverse.
    MAX_RATIO = 8.0
    MAX_ROUTES = 512

    def __init__(self):
        self.means_by_route = {}
        self.counts_by_route = {}

    def normalise(self, route, took_s):
        """Add a time to the mean of its route.

        :param route: name of the route
        :param took_s: seconds
        :returns: logarithm of its ratio to the mean before, in thousandths,
            or ``None`` if the mean is not known yet
        """
        log_s = math.log(max(took_s, 1e-4))
        count = self.counts_by_route.get(route, 0)
        if count == 0 and len(self.counts_by_route) >= self.MAX_ROUTES:
            return None
        mean = self.means_by_route.get(route, log_s)
        weight = 1.0 / min(count + 1, self.MEAN_SAMPLES)
        self.counts_by_route[route] = count + 1
        limit = math.log(self.MAX_RATIO)
        ratio = max(-limit, min(limit, log_s - mean))
        self.means_by_route[route] = mean + weight * ratio
        if count < self.MIN_SAMPLES:
            return None
        return round(LOG_UNITS * ratio)


class Spread:
    """Standard deviation of the logarithm of a single normalised time.

    >>> spread = Spread()
    >>> spread.value
    0.5
    >>> for _ in range(200):
    ...     spread.record_pair(0, 600)
    >>> round(spread.value, 2)
    0.43
    """

    __slots__ = ("variance", "pairs")

    MEAN_SAMPLES = 64
    # The deviation that is assumed first, and the least that is believed.
    INITIAL = 0.5
    PRIOR_PAIRS = 8
    MINIMUM = 0.25

    def __init__(self):
        self.variance = self.INITIAL**2
        self.pairs = 0

    @property
    def value(self):
        return max(self.MINIMUM, math.sqrt(self.variance))

    def record_pair(self, previous, current):
        """Record two consecutive times at one server.

        Their difference shows the spread of single times, whatever the
        differences between servers are.

        :param previous: normalised time
        :param current: normalised time after it
        """
        difference = (current - previous) / LOG_UNITS
        # The variance of a difference is twice that of a single time.
        sample = difference**2 / 2
        self.pairs += 1
        weight = 1.0 / min(self.PRIOR_PAIRS + self.pairs, self.MEAN_SAMPLES)
        self.variance += weight * (sample - self.variance)


class TimeWindow:
    """Sum of a server's recent normalised times.

    The window has two halves; the older is dropped as a whole.

    :param half_s: length of each half in seconds

    :ivar added: number of times that were ever added
    :ivar last: the last of them, or ``None``

    >>> window = TimeWindow()
    >>> window.add(900, 10.0)
    >>> window.sums(10.4), window.sums(11.1)
    ((1, 900), (0, 0))
    """

    __slots__ = ("half", "current", "previous", "added", "last", "half_s")

    def __init__(self, half_s=HALF_WINDOW_S):
        self.half_s = half_s
        self.half = 0
        self.current = (0, 0)
        self.previous = (0, 0)
        self.added = 0
        self.last = None

    def add(self, log_ratio, now_s):
        """Add a normalised time.

        :param log_ratio: result of :meth:`RouteBaselines.normalise`
        :param now_s: current monotonic time
        """
        self._advance(now_s)
        count, total = self.current
        self.current = (count + 1, total + log_ratio)
        self.added += 1
        self.last = log_ratio

    def sums(self, now_s):
        """Return (number, sum) of the recent times."""
        self._advance(now_s)
        return (
            self.current[0] + self.previous[0],
            self.current[1] + self.previous[1],
        )

    def _advance(self, now_s):
        half = int(now_s / self.half_s)
        if half == self.half:
            return
        is_next = half == self.half + 1
        self.previous = self.current if is_next else (0, 0)
        self.current = (0, 0)
        self.half = half
