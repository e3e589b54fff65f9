"""Estimate of the work that all other routers have at each server.

The work of a router at a server is the number of its requests in flight there
and of their prompt tokens that are still to be processed. Each router sends
its own work, in shards, to a few peers and relays recent shards of some other
routers [1]_. A shard holds absolute values and a sequence number, so the next
shard makes up for a lost datagram, and a duplicate or late datagram has no
effect. The sums are scaled up for routers without a recent shard. Otherwise
the sums would shrink as the fleet grows.

.. [1] A. Demers et al., "Epidemic Algorithms for Replicated Database
   Maintenance", PODC 1987.
"""

import collections
import dataclasses

from boragetrail.direct.loads import PeerSums

__all__ = ["MAX_SHARD_SERVERS", "WorkShard", "WorkTable", "split_work"]


# A shard of at most this many servers fits into one network packet. A router
# with work at more servers sends several shards.
MAX_SHARD_SERVERS = 100


@dataclasses.dataclass(slots=True)
class WorkShard:
    """Holds one shard of a router's work.

    :param address: (host, port) on which the router receives datagrams
    :param incarnation: id of the router's run
    :param sequence: sequence number of the shard within the run
    :param sent_s: monotonic time at which the router sent it
    :param shard_index: index of the shard, from 0
    :param shard_count: number of shards that hold all work of the router
    :param counts: list of (server key, requests in flight, pending tokens)
    """

    address: tuple
    incarnation: str
    sequence: int
    sent_s: float
    shard_index: int
    shard_count: int
    counts: list


def split_work(counts):
    """Split the counts of a router's work into shards.

    The key of a server determines its shard.

    :param counts: list of (server key, requests in flight, pending tokens)
    :returns: list of lists of counts, one for each shard

    >>> [len(shard) for shard in split_work([(n, 1, 0) for n in range(250)])]
    [84, 83, 83]
    """
    shard_count = max(1, -(-len(counts) // MAX_SHARD_SERVERS))
    return [
        [entry for entry in counts if entry[0] % shard_count == shard_index]
        for shard_index in range(shard_count)
    ]


class WorkTable:
    """Holds the newest shards of each router and their sums by server.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    """

    # Age from which a shard is no longer counted in the sums.
    MAX_AGE_S = 1.5
    # Age up to which shards are relayed; older ones are too outdated.
    MAX_RELAY_AGE_S = 0.3
    # Age of the last shard up to which a router is live. Live routers are
    # assumed to have work.
    LIVENESS_WINDOW_S = 4.0

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.shards_by_source = {}
        self.sums = PeerSums(clock, self.MAX_AGE_S)
        self.recent = collections.deque()
        self.scale_computed_s = float("-inf")
        self.scale = 1.0

    def apply(self, shard):
        """Store a shard unless a newer one is known.

        :param shard: :class:`WorkShard`
        :returns: whether it was stored
        """
        source = (shard.address, shard.shard_index)
        known = self.shards_by_source.get(source)
        if known is not None and known.incarnation == shard.incarnation:
            if shard.sequence <= known.sequence:
                return False
        if known is None or known.shard_count != shard.shard_count:
            self._drop_outdated_split(shard)
        self.shards_by_source[source] = shard
        self.sums.replace(source, shard.counts, shard.sent_s)
        self.recent.append(shard)
        self._drop_old()
        return True

    def remove(self, address):
        """Remove all shards of a router.

        :param address: its (host, port)
        """
        for source in self._sources_of(address):
            del self.shards_by_source[source]
            self.sums.replace(source, [])

    def server_totals(self, key):
        """Return (requests, pending tokens) of other routers at a server.

        The sums are scaled up for live routers without a recent shard.

        :param key: key of the server, see
            :func:`~boragetrail.direct.counts.server_key`
        """
        requests, tokens = self.sums.sum(key)
        if not requests and not tokens:
            return 0, 0
        scale = self._scale()
        return scale * requests, scale * tokens

    def sample_for_relay(self, max_count):
        """Return a random sample of recent shards that fits one datagram.

        :param max_count: maximum number of shards
        """
        self._drop_old()
        shards = [
            shard
            for shard in self.recent
            if self.shards_by_source.get((shard.address, shard.shard_index))
            is shard
        ]
        sampled, servers = [], 0
        for shard in self.random.sample(shards, min(max_count, len(shards))):
            servers += len(shard.counts)
            if servers <= MAX_SHARD_SERVERS:
                sampled.append(shard)
        return sampled

    def _drop_old(self):
        oldest_s = self.clock() - self.MAX_RELAY_AGE_S
        while self.recent and self.recent[0].sent_s < oldest_s:
            self.recent.popleft()

    def _sources_of(self, address):
        return [each for each in self.shards_by_source if each[0] == address]

    def _drop_outdated_split(self, shard):
        """Remove the router's shards that have another shard count.

        With another count, the servers are divided among the shards in
        another way, so work would be counted twice.
        """
        for source in self._sources_of(shard.address):
            if self.shards_by_source[source].shard_count != shard.shard_count:
                del self.shards_by_source[source]
                self.sums.replace(source, [])

    def _scale(self):
        """Return by how much the sums are scaled up, at least 1.

        The factor is the number of shards of live routers divided by the
        number of shards in the sums.
        """
        now_s = self.clock()
        if now_s != self.scale_computed_s:
            self.scale_computed_s = now_s
            live = sum(self._shard_counts_by_address(now_s).values())
            self.scale = max(1.0, live / max(1, self.sums.count()))
        return self.scale

    def _shard_counts_by_address(self, now_s):
        oldest_s = now_s - self.LIVENESS_WINDOW_S
        return {
            shard.address: shard.shard_count
            for shard in self.shards_by_source.values()
            if shard.sent_s >= oldest_s
        }
