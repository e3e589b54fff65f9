"""Sums of the counts that other routers send for each server."""

import dataclasses
import heapq

__all__ = ["ServerLoad", "PeerSums"]


@dataclasses.dataclass(slots=True)
class ServerLoad:
    """Holds what other routers reported about one server.

    :param requests: requests that they have in flight there
    :param pending_tokens: prompt tokens of these requests that the server
        has not yet processed
    :param failures: number of recent requests that failed at the server
    :param responses: number of all recent requests that ended there
    """

    requests: float = 0
    pending_tokens: float = 0
    failures: int = 0
    responses: int = 0


class PeerSums:
    """Holds the sums of the counts that sources sent, for each server.

    New counts of a source replace all its earlier counts. The sums are
    updated when counts arrive, so the time to read a sum does not depend on
    the number of sources.

    :param clock: function that returns monotonic seconds
    :param age_s: age in seconds at which counts expire

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

    def replace(self, source, counts, sent_s=None):
        """Replace the counts of a source.

        :param source: sortable key of the source
        :param counts: list of (server key, first count, second count)
        :param sent_s: monotonic time at which the counts were sent; the
            default is now
        """
        if sent_s is None:
            sent_s = self.clock()
        self._expire()
        self._drop(source)
        self.counts_by_source[source] = (sent_s, counts)
        heapq.heappush(self.expiry_heap, (sent_s, source))
        self._add(counts, 1)

    def sum(self, key):
        """Return the sums of the first and of the second counts of a server.

        :param key: server key
        """
        self._expire()
        return self.sums_by_key.get(key, self.ZERO_SUMS)

    def count(self):
        """Return the number of sources whose counts have not expired."""
        self._expire()
        return len(self.counts_by_source)

    def _expire(self):
        oldest_s = self.clock() - self.age_s
        while self.expiry_heap and self.expiry_heap[0][0] < oldest_s:
            sent_s, source = heapq.heappop(self.expiry_heap)
            if self.counts_by_source.get(source, (None,))[0] == sent_s:
                self._drop(source)

    def _drop(self, source):
        entry = self.counts_by_source.pop(source, None)
        if entry is not None:
            self._add(entry[1], -1)

    def _add(self, counts, sign):
        sums = self.sums_by_key
        for key, first, second in counts:
            first_sum, second_sum = sums.get(key, self.ZERO_SUMS)
            total = (first_sum + sign * first, second_sum + sign * second)
            if total == self.ZERO_SUMS:
                sums.pop(key, None)
            else:
                sums[key] = total
