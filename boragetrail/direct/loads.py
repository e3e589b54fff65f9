"""Sums of what other routers tell of servers."""

import dataclasses
import heapq

__all__ = ["Load", "ToldSums"]


@dataclasses.dataclass(slots=True)
class Load:
    """Count work at a server.

    :param requests: requests in flight
    :param pending_tokens: prompt tokens that they have to read
    :param failures: requests that the server failed in the last seconds
    :param answers: all that it answered in the last seconds
    """

    requests: float = 0
    pending_tokens: float = 0
    failures: int = 0
    answers: int = 0


class ToldSums:
    """Sum what other routers lately told of each server.

    What a source tells replaces all that it told before. It changes the sums
    of the servers that it names, so that reading a sum costs nothing for
    each source.

    :param clock: function that returns monotonic seconds
    :param age_s: age in seconds at which what was told stops to count

    >>> sums = ToldSums(lambda: 0.0, 1.5)
    >>> sums.told("a", [("s1", 2, 100)])
    >>> sums.told("b", [("s1", 1, 0)])
    >>> sums.told("a", [("s1", 1, 0), ("s2", 1, 0)])
    >>> sums.sum("s1"), sums.count()
    ((2, 0), 2)
    """

    __slots__ = ("clock", "age_s", "told_by_source", "order", "sums_by_key")

    NOTHING = (0, 0)

    def __init__(self, clock, age_s):
        self.clock = clock
        self.age_s = age_s
        self.told_by_source = {}
        self.order = []
        self.sums_by_key = {}

    def told(self, source, entries, told_s=None):
        """Replace what a source told.

        :param entries: list of (server key, first count, second count)
        :param told_s: monotonic time at which it told so; now by default
        """
        if told_s is None:
            told_s = self.clock()
        self._expire()
        self._drop(source)
        self.told_by_source[source] = (told_s, entries)
        heapq.heappush(self.order, (told_s, source))
        self._add(entries, 1)

    def sum(self, key):
        """Return both sums of a server."""
        self._expire()
        return self.sums_by_key.get(key, self.NOTHING)

    def count(self):
        """Return the number of sources that the sums are made of."""
        self._expire()
        return len(self.told_by_source)

    def _expire(self):
        oldest = self.clock() - self.age_s
        while self.order and self.order[0][0] < oldest:
            told_s, source = heapq.heappop(self.order)
            if self.told_by_source.get(source, (None,))[0] == told_s:
                self._drop(source)

    def _drop(self, source):
        told = self.told_by_source.pop(source, None)
        if told is not None:
            self._add(told[1], -1)

    def _add(self, entries, sign):
        sums = self.sums_by_key
        for key, first, second in entries:
            had_first, had_second = sums.get(key, self.NOTHING)
            total = (had_first + sign * first, had_second + sign * second)
            if total == self.NOTHING:
                sums.pop(key, None)
            else:
                sums[key] = total
