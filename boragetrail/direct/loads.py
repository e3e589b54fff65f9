"""Sums of what other routers tell of servers."""

import dataclasses
import heapq

__all__ = ["ServerLoad", "PeerSums"]


@dataclasses.dataclass(slots=True)
class ServerLoad:
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


class PeerSums:
    """Sum what other routers lately told of each server.

    What a source tells replaces all that it told before. It changes the sums
    of the servers that it names, so that reading a sum costs nothing for
    each source.

    :param clock: function that returns monotonic seconds
    :param age_s: age in seconds at which what was told stops to count

    >>> sums = PeerSums(lambda: 0.0, 1.5)
    >>> sums.replace("a", [("s1", 2, 100)])
    >>> sums.replace("b", [("s1", 1, 0)])
    >>> sums.replace("a", [("s1", 1, 0), ("s2", 1, 0)])
    >>> sums.sum("s1"), sums.count()
    ((2, 0), 2)
    """

    __slots__ = (
        "clock",
        "age_s",
        "counts_by_source",
        "expiry_heap",
        "sums_by_key",
    )

    ZERO_SUMS = (0, 0)

    def __init__(self, clock, age_s):
        self.clock = clock
        self.age_s = age_s
        self.counts_by_source = {}
        self.expiry_heap = []
        self.sums_by_key = {}

    def replace(self, source, entries, sent_s=None):
        """Replace what a source told.

        :param entries: list of (server key, first count, second count)
        :param told_s: monotonic time at which it told so; now by default
        """
        if sent_s is None:
            sent_s = self.clock()
        self._expire()
        self._drop(source)
        self.counts_by_source[source] = (sent_s, entries)
        heapq.heappush(self.expiry_heap, (sent_s, source))
        self._add(entries, 1)

    def sum(self, key):
        """Return both sums of a server."""
        self._expire()
        return self.sums_by_key.get(key, self.ZERO_SUMS)

    def count(self):
        """Return the number of sources that the sums are made of."""
        self._expire()
        return len(self.counts_by_source)

    def _expire(self):
        oldest = self.clock() - self.age_s
        while self.expiry_heap and self.expiry_heap[0][0] < oldest:
            sent_s, source = heapq.heappop(self.expiry_heap)
            if self.counts_by_source.get(source, (None,))[0] == sent_s:
                self._drop(source)

    def _drop(self, source):
        told = self.counts_by_source.pop(source, None)
        if told is not None:
            self._add(told[1], -1)

    def _add(self, entries, sign):
        sums = self.sums_by_key
        for key, first, second in entries:
            had_first, had_second = sums.get(key, self.ZERO_SUMS)
            total = (had_first + sign * first, had_second + sign * second)
            if total == self.ZERO_SUMS:
                sums.pop(key, None)
            else:
                sums[key] = total
