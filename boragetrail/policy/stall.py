"""Decide whether a server's steps have stalled.

A model engine steps all its streams together, so one overdue step speaks of
the whole server. While a step is overdue no further request is started: a
warm server that turns cold shows first by a step that takes too long. It
stays so until a step comes in time, because a cold server steps evenly too.
"""

__all__ = ["StallGate"]


class StallGate:
    """Shut while steps are overdue, and after a few starts in each step.

    :param clock: function that returns monotonic seconds

    >>> now = [0.0]
    >>> gate = StallGate(lambda: now[0])
    >>> gate.stream_opened()
    >>> now[0] = 0.05
    >>> gate.is_blocking(baseline_s=0.01)
    True
    >>> gate.record_event(0.05)
    >>> gate.is_blocking(baseline_s=0.01)
    True
    >>> gate.record_event(0.01)
    >>> gate.is_blocking(baseline_s=0.01)
    False
    >>> gate.request_started()
    >>> gate.is_blocking(baseline_s=0.01)
    True
    """

    OVERDUE_FACTOR = 2.5
    # Seconds after which a stall is left to the limits on whole requests.
    LONGEST_S = 2.0
    # Running streams for each request that starts before the next event.
    STREAMS_PER_START = 4

    def __init__(self, clock):
        self.clock = clock
        self.streams = 0
        self.starts = 0
        self.event_s = 0.0
        self.gap_s = 0.0

    def request_started(self):
        """Record that a request was sent to the server."""
        self.starts += 1

    def stream_opened(self):
        """Record that a stream has begun."""
        self.streams += 1
        self._stepped()

    def stream_closed(self):
        """Record that a stream has ended."""
        self.streams -= 1
        if not self.streams:
            self.gap_s = 0.0

    def record_event(self, gap_s):
        """Record that a stream made a step.

        :param gap_s: seconds since the step before of the same stream
        """
        self.gap_s = gap_s
        self._stepped()

    def is_blocking(self, baseline_s):
        """Return whether a step is overdue or enough has started.

        :param baseline_s: usual time of a step in seconds, or ``None``
        """
        if not self.streams or baseline_s is None:
            return False
        quiet_s = self.clock() - self.event_s
        if quiet_s >= self.LONGEST_S:
            return False
        if self.starts >= max(1, self.streams // self.STREAMS_PER_START):
            return True
        return max(quiet_s, self.gap_s) > self.OVERDUE_FACTOR * baseline_s

    def _stepped(self):
        self.event_s = self.clock()
        self.starts = 0
