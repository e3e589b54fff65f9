"""Limits on the concurrent requests of a server that warms up."""

import abc

__all__ = ["Warmup", "AdaptiveWarmup"]


class Warmup(abc.ABC):
    """Interface of warm-up limits, which follow what the agent observes."""

    @abc.abstractmethod
    def limit(self):
        """Return how many requests may run at once."""

    @abc.abstractmethod
    def record_step_time(self, step_time_s):
        """Record a step time of a running request, in seconds."""

    @abc.abstractmethod
    def record_success(self):
        """Record the success of a request without step times."""

    @abc.abstractmethod
    def record_failure(self):
        """Record that the server failed or restarted."""


class AdaptiveWarmup(Warmup):
    """Warm-up limit that follows the observed step times.

    The baseline is the estimated step time of a warm server. A step is slow
    or good in comparison with it. The steps of a cold server are regular too,
    so an unconfirmed baseline may be that of a cold server, and the limit
    grows by one only with every 32nd good step. The baseline is confirmed
    when step times become and stay much shorter, which shows that the server
    is warm. From then on each good step raises the limit by one. A run of
    slow steps, or one failure, lowers the limit to that of a cold server
    until steps are good again. If steps stay slow over many requests, the
    baseline is estimated anew.

    Events that were delayed, for example by a pause of the agent, arrive in
    a burst. Their short intervals say nothing about the server, so faster
    steps count only after they have lasted for some time.

    :param slots: limit of a warm server, in concurrent requests
    :param clock: function that returns monotonic seconds
    :param cold_limit: limit of a cold server, in concurrent requests

    >>> now = [0.0]
    >>> warmup = AdaptiveWarmup(4, lambda: now[0])
    >>> warmup.limit()
    1
    >>> _ = [warmup.record_step_time(0.05) for _ in range(40)]
    >>> warmup.limit()
    2
    >>> for _ in range(12):
    ...     now[0] += 0.01
    ...     _ = warmup.record_step_time(0.01)
    >>> warmup.limit(), warmup.is_cold()
    (4, False)
    >>> warmup.record_failure()
    >>> warmup.limit()
    1
    """

    # A step longer than this multiple of the baseline is slow.
    SLOW_FACTOR = 3.0
    # This smaller factor applies to a server that has turned cold. With a
    # small batch its steps may take less than SLOW_FACTOR times as long as
    # those of a warm server with a large batch. By SLOW_FACTOR they would be
    # good steps.
    RECOVERED_FACTOR = 2.0
    # Smallest number of steps in a run of slow steps.
    MIN_SLOW_STEPS = 4
    # Shortest time that a run of slow steps lasts, in baseline step times. A
    # single slow step is recorded once for each stream at the same time,
    # which is not a run.
    SLOW_RUN_STEPS = 8
    # A step is fast if the baseline is longer than this multiple of it.
    FAST_FACTOR = 2.0
    # Shortest time that a run of fast steps lasts, in baseline step times.
    FAST_RUN_STEPS = 2
    # Good steps that raise the limit by one while the baseline is unconfirmed.
    UNCONFIRMED_STEPS_PER_INCREASE = 32
    # Requests with slow steps after which the baseline is estimated anew.
    SLOW_REQUESTS_UNTIL_RESET = 20
    # Weight of a step in the moving average of the baseline, if the step is
    # slower than the baseline.
    SLOWER_STEP_GAIN = 0.05
    # The baseline is the step time of a small batch, so a step that is faster
    # than the baseline has a larger weight.
    FASTER_STEP_GAIN = 0.3
    MIN_STEP_TIME_S = 0.004

    def __init__(self, slots, clock, cold_limit=1):
        self.slots = slots
        self.clock = clock
        self.cold_limit = min(cold_limit, slots)
        self.current_limit = self.cold_limit
        self.baseline_s = None
        self.baseline_confirmed = False
        self.good_steps = 0
        self.consecutive_slow_steps = 0
        self.slow_since_s = None
        self.slow_requests = 0
        self.consecutive_fast_steps = 0
        self.fast_since_s = None

    def limit(self):
        """Return how many requests may run at once."""
        return self.current_limit

    def share(self):
        """Return the limit divided by that of a warm server, 0 to 1."""
        return self.current_limit / self.slots

    def is_cold(self):
        """Return whether the limit is below that of a warm server."""
        return self.current_limit < self.slots

    def raise_limit(self, running):
        """Raise the limit to a load that the server is known to handle.

        :param running: number of concurrent requests
        """
        self.current_limit = min(self.slots, max(self.current_limit, running))

    def set_slots(self, slots):
        """Change the limit of a warm server."""
        was_warm = not self.is_cold()
        self.slots = slots
        self.current_limit = (
            slots if was_warm else min(self.current_limit, slots)
        )

    def record_step_time(self, step_time_s):
        """Record a step time.

        :param step_time_s: step time in seconds
        :returns: whether this step lowered the limit, as the server has
            turned cold
        """
        step_time_s = max(step_time_s, self.MIN_STEP_TIME_S)
        if self.baseline_s is None:
            self.baseline_s = step_time_s
        if self.FAST_FACTOR * step_time_s < self.baseline_s:
            self._record_fast_step(step_time_s)
            return False
        self.consecutive_fast_steps = 0
        if step_time_s > self._slow_factor() * self.baseline_s:
            return self._record_slow_step()
        self.consecutive_slow_steps = 0
        self.slow_requests = 0
        is_faster = step_time_s < self.baseline_s
        gain = self.FASTER_STEP_GAIN if is_faster else self.SLOWER_STEP_GAIN
        self.baseline_s += gain * (step_time_s - self.baseline_s)
        self.good_steps += 1
        if (
            self.baseline_confirmed
            or self.good_steps % self.UNCONFIRMED_STEPS_PER_INCREASE == 0
        ):
            self._increase_limit()
        return False

    def record_success(self):
        """Record the success of a request without step times."""
        self._increase_limit()

    def record_request_end(self):
        """Record the success of a request with step times."""
        if not self.consecutive_slow_steps:
            return
        self.slow_requests += 1
        if self.slow_requests >= self.SLOW_REQUESTS_UNTIL_RESET:
            self.baseline_s = None
            self.baseline_confirmed = False
            self.slow_requests = 0

    def record_failure(self):
        """Lower the limit to that of a cold server."""
        self.current_limit = self.cold_limit
        self.consecutive_slow_steps = 0
        self.good_steps = 0

    def _slow_factor(self):
        if self.is_cold() and self.baseline_confirmed:
            return self.RECOVERED_FACTOR
        return self.SLOW_FACTOR

    def _record_slow_step(self):
        now = self.clock()
        if not self.consecutive_slow_steps:
            self.slow_since_s = now
        self.consecutive_slow_steps += 1
        lasted_s = now - self.slow_since_s
        if self.consecutive_slow_steps < self.MIN_SLOW_STEPS:
            return False
        if lasted_s < self.SLOW_RUN_STEPS * self.baseline_s:
            return False
        was_lowered = self.current_limit > self.cold_limit
        self.current_limit = self.cold_limit
        return was_lowered

    def _record_fast_step(self, step_time_s):
        now = self.clock()
        if not self.consecutive_fast_steps:
            self.fast_since_s = now
        self.consecutive_fast_steps += 1
        lasted_s = now - self.fast_since_s
        if lasted_s < self.FAST_RUN_STEPS * self.baseline_s:
            return
        self.baseline_confirmed = True
        self.baseline_s = step_time_s
        self.consecutive_slow_steps = 0
        self.slow_requests = 0
        self._increase_limit(self.consecutive_fast_steps)
        self.consecutive_fast_steps = 0

    def _increase_limit(self, steps=1):
        self.current_limit = min(self.slots, self.current_limit + steps)
        if self.current_limit == self.slots:
            self.baseline_confirmed = True
