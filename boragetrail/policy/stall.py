"""Decide whether a server's steps have stalled.

A model engine steps all its streams together, so one overdue step speaks of
the whole server. While a step is overdue no further request is started: a
warm server that turns cold shows first by a step that takes too long.
"""

__all__ = ["StallGate"]


class StallGate:
    """Shut while a step is overdue.

    :param clock: function that returns monotonic seconds

    >>> now = [0.0]
    >>> gate = StallGate(lambda: now[0])
    >>> gate.opened()
    >>> now[0] = 0.05
    >>> gate.is_shut(baseline_s=0.01)
    True
    >>> gate.event_seen()
    >>> gate.is_shut(baseline_s=0.01)
    False
    """

    OVERDUE_FACTOR = 2.5
    # Seconds after which a stall is left to the limits on whole requests.
    LONGEST_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.streams = 0
        self.event_s = 0.0

    def opened(self):
        """Record that a stream has begun."""
        self.streams += 1
        self.event_seen()

    def closed(self):
        """Record that a stream has ended."""
        self.streams -= 1

    def event_seen(self):
        """Record that a stream made a step."""
        self.event_s = self.clock()

    def is_shut(self, baseline_s):
        """Return whether the next step is overdue.

        :param baseline_s: usual time of a step in seconds, or ``None``
        """
        if not self.streams or baseline_s is None:
            return False
        quiet_s = self.clock() - self.event_s
        overdue_s = self.OVERDUE_FACTOR * baseline_s
        return overdue_s < quiet_s < self.LONGEST_S
