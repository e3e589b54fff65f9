"""Detection of stalled model engines.

A model engine advances all its streams in one batch, so one overdue step
indicates a stall of the whole server. It is the first sign that a warm server
has turned cold. No further requests start until a step is not overdue, which
is judged by the usual step time of the server. Regular intervals alone do not
show recovery, because the steps of a cold server are regular too, only longer.
"""

__all__ = ["StallGate"]


class StallGate:
    """Gate that blocks new requests while steps are overdue.

    It also limits the number of requests that start in each step.

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

    # A step is overdue after this multiple of the usual step time.
    OVERDUE_FACTOR = 2.5
    # After this time without an event, the gate opens and the timeouts of
    # requests apply instead.
    MAX_STALL_S = 2.0
    # One request per this many open streams may start between two events, and
    # always at least one.
    STREAMS_PER_START = 4

    def __init__(self, clock):
        self.clock = clock
        self.open_streams = 0
        self.starts_since_event = 0
        self.last_event_s = 0.0
        self.step_time_s = 0.0

    def request_started(self):
        """Record that a request was sent to the server."""
        self.starts_since_event += 1

    def stream_opened(self):
        """Record that a stream has started."""
        self.open_streams += 1
        self._record_step()

    def stream_closed(self):
        """Record that a stream has ended."""
        self.open_streams -= 1
        if not self.open_streams:
            self.step_time_s = 0.0

    def record_event(self, step_time_s):
        """Record an event of a stream.

        :param step_time_s: seconds since the same stream's previous event
        """
        self.step_time_s = step_time_s
        self._record_step()

    def is_blocking(self, baseline_s):
        """Return whether no further request may start now.

        :param baseline_s: usual step time in seconds, or ``None`` if it is
            not known
        """
        if not self.open_streams or baseline_s is None:
            return False
        silence_s = self.clock() - self.last_event_s
        if silence_s >= self.MAX_STALL_S:
            return False
        if self.starts_since_event >= max(
            1, self.open_streams // self.STREAMS_PER_START
        ):
            return True
        return (
            max(silence_s, self.step_time_s) > self.OVERDUE_FACTOR * baseline_s
        )

    def _record_step(self):
        self.last_event_s = self.clock()
        self.starts_since_event = 0
