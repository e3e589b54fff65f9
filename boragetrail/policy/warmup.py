"""Decide how much work a backend server in cold start may receive."""

import abc

__all__ = ["Warmup", "AdaptiveWarmup"]


class Warmup(abc.ABC):
    """Decide how many requests a server bears, from what its agent sees."""

    @abc.abstractmethod
    def limit(self):
        """Return how many requests may run at once."""

    @abc.abstractmethod
    def record_step_time(self, pace_s):
        """Record the time between two steps of a running request."""

    @abc.abstractmethod
    def record_success(self):
        """Record that a request without a pace ended well."""

    @abc.abstractmethod
    def record_failure(self):
        """Record that the server failed or restarted."""


class AdaptiveWarmup(Warmup):
    """Grow a limit on good paces and drop it at once on bad ones.

    The pace of a warm server is learned. While it is not known, the limit
    grows by one with every 32 good paces only, because the paces of a cold
    server look even too; a pace that becomes and stays much faster shows
    that the server has warmed. Once the server was warm, each good pace adds
    one. A run of slow paces, or one failure, drops the limit to its start,
    where it stays until paces are good again. A server that stays slow for
    many whole requests gets its pace learned anew.

    Events that were held up on the way arrive in a bunch. Their short paces
    say nothing of the server, so faster paces count only once they have
    lasted.

    :param slots: limit of a warm server
    :param clock: function that returns monotonic seconds
    :param start: limit of a cold server

    >>> now = [0.0]
    >>> ramp = AdaptiveWarmup(4, lambda: now[0])
    >>> ramp.limit()
    1
    >>> _ = [ramp.record_step_time(0.05) for _ in range(40)]
    >>> ramp.limit()
    2
    >>> for _ in range(12):
    ...     now[0] += 0.01
    ...     _ = ramp.record_step_time(0.01)
    >>> ramp.limit(), ramp.is_cold()
    (4, False)
    >>> ramp.record_failure()
    >>> ramp.limit()
    1
    """

    SLOW_FACTOR = 3.0
    # A small batch of a cold server may be less than SLOW_FACTOR slower than
    # a large batch of a warm one, so a server that turned cold has to show
    # better paces.
    RECOVERED_FACTOR = 2.0
    SLOW_PACES = 4
    # A run of slow paces counts once it lasts this many usual paces. One
    # slow step is seen by all streams at the same moment and is no run.
    SLOW_RUN_PACES = 8
    FASTER_FACTOR = 2.0
    # Faster paces count once they last this many usual paces.
    FASTER_RUN_PACES = 2
    UNPROVEN_PACES = 32
    SLOW_REQUESTS = 20
    BASELINE_GAIN = 0.05
    # The usual pace is that of a small batch, so faster paces weigh more.
    FASTER_GAIN = 0.3
    LEAST_PACE_S = 0.004

    def __init__(self, slots, clock, start=1):
        self.slots = slots
        self.clock = clock
        self.start = min(start, slots)
        self.allowed = self.start
        self.baseline_s = None
        self.proven = False
        self.good_paces = 0
        self.slow_in_row = 0
        self.slow_since_s = None
        self.slow_requests = 0
        self.fast_in_row = 0
        self.fast_since_s = None

    def limit(self):
        """Return how many requests may run at once."""
        return self.allowed

    def share(self):
        """Return the part of a whole warm server, 0 to 1."""
        return self.allowed / self.slots

    def is_cold(self):
        """Return whether the server bears less than a warm one."""
        return self.allowed < self.slots

    def raise_limit(self, running):
        """Start from the load that the server is known to bear now."""
        self.allowed = min(self.slots, max(self.allowed, running))

    def set_slots(self, slots):
        """Change the limit of a warm server."""
        was_warm = not self.is_cold()
        self.slots = slots
        self.allowed = slots if was_warm else min(self.allowed, slots)

    def record_step_time(self, pace_s):
        """Record a pace; returns whether the server was found cold."""
        pace_s = max(pace_s, self.LEAST_PACE_S)
        if self.baseline_s is None:
            self.baseline_s = pace_s
        if self.FASTER_FACTOR * pace_s < self.baseline_s:
            self._faster(pace_s)
            return False
        self.fast_in_row = 0
        if pace_s > self._slow_factor() * self.baseline_s:
            return self._slow()
        self.slow_in_row = 0
        self.slow_requests = 0
        is_faster = pace_s < self.baseline_s
        gain = self.FASTER_GAIN if is_faster else self.BASELINE_GAIN
        self.baseline_s += gain * (pace_s - self.baseline_s)
        self.good_paces += 1
        if self.proven or self.good_paces % self.UNPROVEN_PACES == 0:
            self._grow()
        return False

    def record_success(self):
        """Record that a request without a pace ended well."""
        self._grow()

    def record_request_end(self):
        """Record that a request with paces ended well."""
        if not self.slow_in_row:
            return
        self.slow_requests += 1
        if self.slow_requests >= self.SLOW_REQUESTS:
            self.baseline_s = None
            self.proven = False
            self.slow_requests = 0

    def record_failure(self):
        """Drop the limit at once."""
        self.allowed = self.start
        self.slow_in_row = 0
        self.good_paces = 0

    def _slow_factor(self):
        if self.is_cold() and self.proven:
            return self.RECOVERED_FACTOR
        return self.SLOW_FACTOR

    def _slow(self):
        now = self.clock()
        if not self.slow_in_row:
            self.slow_since_s = now
        self.slow_in_row += 1
        lasted_s = now - self.slow_since_s
        if self.slow_in_row < self.SLOW_PACES:
            return False
        if lasted_s < self.SLOW_RUN_PACES * self.baseline_s:
            return False
        fell = self.allowed > self.start
        self.allowed = self.start
        return fell

    def _faster(self, pace_s):
        now = self.clock()
        if not self.fast_in_row:
            self.fast_since_s = now
        self.fast_in_row += 1
        lasted_s = now - self.fast_since_s
        if lasted_s < self.FASTER_RUN_PACES * self.baseline_s:
            return
        self.proven = True
        self.baseline_s = pace_s
        self.slow_in_row = 0
        self.slow_requests = 0
        self._grow(self.fast_in_row)
        self.fast_in_row = 0

    def _grow(self, steps=1):
        self.allowed = min(self.slots, self.allowed + steps)
        if self.allowed == self.slots:
            self.proven = True
