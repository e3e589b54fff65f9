"""Keep limits of the whole fleet by a part for each router.

No router sees all work, and none leads. Each keeps to its part of a limit,
so that the sum holds whatever the others do, provided that no router takes
the fleet for smaller than it is.
"""

import collections
import math

__all__ = ["RateQuota", "RetryQuota", "SlidingWindowCounter"]


class SlidingWindowCounter:
    """Count events in a sliding window.

    :param window_s: length of the window in seconds
    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("window_s", "clock", "times")

    def __init__(self, window_s, clock):
        self.window_s = window_s
        self.clock = clock
        self.times = collections.deque()

    def add(self):
        """Count one event now."""
        self.times.append(self.clock())

    def count(self):
        """Return the number of events in the window that ends now."""
        start = self.clock() - self.window_s
        while self.times and self.times[0] <= start:
            self.times.popleft()
        return len(self.times)


class RateQuota:
    """Keep a router's part of a rate that the fleet must not exceed.

    :param clock: function that returns monotonic seconds

    >>> part = RateQuota(lambda: 0.0)
    >>> [part.try_acquire(24.5, 4, 0) for _ in range(6)]
    [True, True, True, True, False, False]
    """

    # Part of the limit that is used; datagrams in flight and connections
    # that are slow to open move requests into the next second.
    USED = 0.75
    WINDOW_S = 1.0

    def __init__(self, clock):
        self.clock = clock
        self.recent = collections.deque()

    def try_acquire(self, limit_per_s, routers, rank):
        """Return whether one more request may be sent, and count it.

        If the parts are smaller than one request a second, only the first
        routers in rank have one.

        :param limit_per_s: most requests in any second, of all routers
        :param routers: number of routers that may send
        :param rank: this router's rank among them; 0 is the first
        """
        total = math.floor(self.USED * limit_per_s)
        most = total // max(1, routers)
        if not most:
            most = 1 if rank < total else 0
        now = self.clock()
        while self.recent and now - self.recent[0] > self.WINDOW_S:
            self.recent.popleft()
        if len(self.recent) >= most:
            return False
        self.recent.append(now)
        return True


class RetryQuota:
    """Keep a router's part of the repeats that a service may get.

    The fleet may repeat a ratio of the requests of a window, and a fixed
    number more. A router counts the ratio on its own requests and takes
    its part of the fixed number.

    :param ratio: repeats for each request
    :param window_s: length of the window in seconds
    :param extra: fixed number of repeats in a window, of all routers
    :param clock: function that returns monotonic seconds
    """

    USED = 0.9

    def __init__(self, ratio, window_s, extra, clock):
        self.ratio = ratio
        self.extra = extra
        self.requests = SlidingWindowCounter(window_s, clock)
        self.repeats = SlidingWindowCounter(window_s, clock)

    def record_request(self):
        """Count a request of a caller."""
        self.requests.add()

    def try_acquire(self, routers):
        """Return whether one more repeat may be sent, and count it.

        :param routers: number of routers that may repeat
        """
        fixed = self.extra / max(1, routers)
        most = self.USED * (self.ratio * self.requests.count() + fixed)
        if self.repeats.count() + 1 > most:
            return False
        self.repeats.add()
        return True
