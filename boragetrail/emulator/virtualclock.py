"""Simulated clock that runs scheduled callbacks."""

import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """Clock that advances from one scheduled callback to the next.

    Calling the object returns the simulated time.

    :ivar now_s: simulated time in seconds

    >>> clock = VirtualClock()
    >>> seen = []
    >>> clock.call_later(2.0, lambda: seen.append(("late", clock())))
    >>> clock.call_later(1.0, lambda: seen.append(("early", clock())))
    >>> clock.run(10.0)
    >>> seen
    [('early', 1.0), ('late', 2.0)]
    """

    __slots__ = ("now_s", "_heap", "_numbers")

    def __init__(self):
        self.now_s = 0.0
        self._heap = []
        self._numbers = itertools.count()

    def __call__(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        """Schedule a callback.

        :param delay_s: delay in seconds of simulated time
        :param callback: function without arguments
        """
        entry = (self.now_s + delay_s, next(self._numbers), callback)
        heapq.heappush(self._heap, entry)

    def run(self, until_s):
        """Run the callbacks that are due by a time, and advance to it.

        :param until_s: simulated time in seconds
        """
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_s = until_s
