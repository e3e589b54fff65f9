"""All work that other routers have at servers, from few datagrams.

Each router tells a few others all of its own work, and what it lately heard
of some more [1]_. A row is a whole value with a number, so that a lost
datagram is mended by the next one, and a row that comes twice or late changes
nothing. Of routers that were not heard lately the same is expected as of the
others, so that sums do not shrink as fleets grow.

.. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
   Maintenance", PODC 1987.
"""

import collections
import dataclasses

from boragetrail.direct.loads import PeerSums

__all__ = ["MAX_SHARD_SERVERS", "WorkShard", "WorkTable", "split_work"]


# Most servers of one row. A router with work at more tells several rows, each
# of which fits one packet of the network.
MAX_SHARD_SERVERS = 100


@dataclasses.dataclass(slots=True)
class WorkShard:
    """Hold work of one router at servers.

    :param address: (host, port) at which it gets datagrams
    :param incarnation: id of its run
    :param sequence: number of the row within the run
    :param told_s: monotonic time at which it told the row
    :param part: which of the router's rows this is, from 0
    :param parts: number of rows that hold all work of the router
    :param entries: (server key, requests in flight, pending tokens) each
    """

    address: tuple
    incarnation: str
    sequence: int
    sent_s: float
    part: int
    parts: int
    entries: list


def split_work(entries):
    """Return a list of the rows' entries; a server is always in one row.

    >>> [len(row) for row in split_work([(n, 1, 0) for n in range(250)])]
    [84, 83, 83]
    """
    parts = max(1, -(-len(entries) // MAX_SHARD_SERVERS))
    return [
        [entry for entry in entries if entry[0] % parts == part]
        for part in range(parts)
    ]


class WorkTable:
    """Keep the newest rows of each router, and the sums of all.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    """

    # A row that is older does not count any more.
    MAX_AGE_S = 1.5
    # Rows that are older say too little to be passed on.
    MAX_RELAY_AGE_S = 0.3
    # Routers heard within this time are expected to have work.
    LIVENESS_WINDOW_S = 4.0

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.shards_by_source = {}
        self.sums = PeerSums(clock, self.MAX_AGE_S)
        self.recent = collections.deque()
        self.counted_s = float("-inf")
        self.scale = 1.0

    def apply(self, row):
        """Take over a :class:`WorkRow`; returns whether it is news."""
        source = (row.address, row.part)
        known = self.shards_by_source.get(source)
        if known is not None and known.incarnation == row.incarnation:
            if row.sequence <= known.sequence:
                return False
        if known is None or known.parts != row.parts:
            self._regroup(row)
        self.shards_by_source[source] = row
        self.sums.replace(source, row.entries, row.sent_s)
        self.recent.append(row)
        self._drop_old()
        return True

    def remove(self, address):
        """Drop the rows of a router that is gone."""
        for source in self._sources(address):
            del self.shards_by_source[source]
            self.sums.replace(source, [])

    def server_totals(self, key):
        """Return (requests, pending tokens) that others have at a server.

        :param key: key of the server, see
            :func:`~boragetrail.direct.counts.server_key`
        """
        requests, tokens = self.sums.sum(key)
        if not requests and not tokens:
            return 0, 0
        scale = self._scale()
        return scale * requests, scale * tokens

    def sample_for_relay(self, most):
        """Return some rows that were heard a short time ago, by chance."""
        self._drop_old()
        rows = [
            row
            for row in self.recent
            if self.shards_by_source.get((row.address, row.part)) is row
        ]
        chosen, entries = [], 0
        for row in self.random.sample(rows, min(most, len(rows))):
            entries += len(row.entries)
            if entries <= MAX_SHARD_SERVERS:
                chosen.append(row)
        return chosen

    def _drop_old(self):
        oldest = self.clock() - self.MAX_RELAY_AGE_S
        while self.recent and self.recent[0].sent_s < oldest:
            self.recent.popleft()

    def _sources(self, address):
        return [each for each in self.shards_by_source if each[0] == address]

    def _regroup(self, row):
        """Drop rows of the same router that hold other groups of servers."""
        for source in self._sources(row.address):
            if self.shards_by_source[source].parts != row.parts:
                del self.shards_by_source[source]
                self.sums.replace(source, [])

    def _scale(self):
        """Return the rows of routers at work for each one in the sums."""
        now = self.clock()
        if now != self.counted_s:
            self.counted_s = now
            live = sum(self._parts_by_live_address(now).values())
            self.scale = max(1.0, live / max(1, self.sums.count()))
        return self.scale

    def _parts_by_live_address(self, now):
        oldest = now - self.LIVENESS_WINDOW_S
        return {
            row.address: row.parts
            for row in self.shards_by_source.values()
            if row.sent_s >= oldest
        }
