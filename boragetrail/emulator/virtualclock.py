"""A clock that jumps from one planned action to the next."""

import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """Run actions in the order of their times.

    :ivar now_s: the time in seconds; calling the object returns it too

    >>> time = VirtualClock()
    >>> seen = []
    >>> time.after(2.0, lambda: seen.append(("late", time())))
    >>> time.after(1.0, lambda: seen.append(("early", time())))
    >>> time.run(10.0)
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

    def after(self, delay_s, action):
        """Plan an action.

        :param delay_s: seconds from now
        :param action: function without arguments
        """
        entry = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._heap, entry)

    def run(self, until_s):
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = until_s
