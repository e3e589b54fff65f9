"""Per-router quotas of fleet-wide limits.

Routers have no leader and none sees all traffic. Each router enforces its
own quota of a limit, without asking the others. The sum of the quotas stays
below the limit as long as no router underestimates the number of routers.
"""

import collections
import math

__all__ = ["RateQuota", "RetryQuota", "SlidingWindowCounter"]


class SlidingWindowCounter:
    """Counter of the events in a sliding window.

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
    """A router's quota of a request rate that is limited fleet-wide.

    :param clock: function that returns monotonic seconds

    >>> quota = RateQuota(lambda: 0.0)
    >>> [quota.try_acquire(24.5, 4, 0) for _ in range(6)]
    [True, True, True, True, False, False]
    """

    # Sum of the quotas as a fraction of the limit. A request can reach the
    # server in a later second than its router counts it in, because a
    # connection is slow to open or datagrams are in flight. The rest of the
    # limit is headroom for these requests.
    USED_FRACTION = 0.75
    WINDOW_S = 1.0

    def __init__(self, clock):
        self.clock = clock
        self.sent_s = collections.deque()

    def try_acquire(self, limit_per_s, routers, rank):
        """Count one more request if the quota allows it.

        If there are more routers than requests per second, only the routers
        with the lowest ranks may send, each one request per second.

        :param limit_per_s: largest number of requests of all routers in any
            second
        :param routers: number of routers that may send
        :param rank: this router's rank among them; 0 is the first
        :returns: whether the request may be sent
        """
        if self.wait_s(limit_per_s, routers, rank):
            return False
        self.sent_s.append(self.clock())
        return True

    def wait_s(self, limit_per_s, routers, rank):
        """Return the seconds until the quota allows a request, or 0.

        A router without a quota waits as long as others wait at the most,
        since callers that return come to another router.

        :param limit_per_s: see :meth:`try_acquire`
        :param routers: number of routers that may send
        :param rank: this router's rank among them
        """
        total = math.floor(self.USED_FRACTION * limit_per_s)
        limit = total // max(1, routers)
        if not limit:
            limit = 1 if rank < total else 0
        now = self.clock()
        while self.sent_s and now - self.sent_s[0] > self.WINDOW_S:
            self.sent_s.popleft()
        if len(self.sent_s) < limit:
            return 0.0
        if not limit:
            return self.WINDOW_S
        return self.sent_s[-limit] + self.WINDOW_S - now


class RetryQuota:
    """A router's quota of a service's fleet-wide retry budget.

    In each window the routers together may send a number of retries that is
    proportional to their requests, plus a fixed number. A router applies the
    ratio to its own requests and gets an equal part of the fixed number.

    :param ratio: retries that each request allows
    :param window_s: length of the window in seconds
    :param extra: fixed number of retries that the routers may send in a
        window in addition, all together
    :param clock: function that returns monotonic seconds
    """

    # Sum of the quotas as a fraction of the budget.
    USED_FRACTION = 0.9

    def __init__(self, ratio, window_s, extra, clock):
        self.ratio = ratio
        self.extra = extra
        self.requests = SlidingWindowCounter(window_s, clock)
        self.retries = SlidingWindowCounter(window_s, clock)

    def record_request(self):
        """Count a caller's request."""
        self.requests.add()

    def try_acquire(self, routers):
        """Count one more retry if the quota allows it.

        :param routers: number of routers that may retry
        :returns: whether the retry may be sent
        """
        fixed = self.extra / max(1, routers)
        limit = self.USED_FRACTION * (
            self.ratio * self.requests.count() + fixed
        )
        if self.retries.count() + 1 > limit:
            return False
        self.retries.add()
        return True
