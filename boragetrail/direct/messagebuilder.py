"""Builder of the digests and updates that a router sends to its peers."""

from boragetrail.direct.datagrams import Digest, Update
from boragetrail.direct.relayedshards import RelayedShard
from boragetrail.direct.work import split_work

__all__ = ["MessageBuilder"]


class MessageBuilder:
    """Builds the digests and updates of a router.

    :class:`~boragetrail.direct.peersocket.PeerSocket` sets the sequence
    numbers of both.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param liveness_by_table:
        :class:`~boragetrail.direct.liveness.StoreLiveness` by table
    :param incarnation: id of the current run of the router
    :param gossip_port: port on which the router receives datagrams
    :param relay_port: port on which it serves rows
    :param link_mbps: bandwidth of its link in megabits per second
    :ivar last_update: (row versions, work) of the last update, or ``None``
    :ivar shards_taken: number of shards that were put into datagrams
    """

    __slots__ = (
        "fleet",
        "liveness_by_table",
        "incarnation",
        "gossip_port",
        "relay_port",
        "link_mbps",
        "last_update",
        "last_update_s",
        "shards_taken",
    )

    # Maximum number of servers in the outcomes of one datagram, and also in
    # its load reports.
    MAX_SAMPLED_SERVERS = 40
    # Maximum number of shards of other routers that one update relays.
    MAX_RELAYED_SHARDS = 3

    def __init__(
        self,
        fleet,
        liveness_by_table,
        incarnation,
        gossip_port,
        relay_port,
        link_mbps,
    ):
        self.fleet = fleet
        self.liveness_by_table = liveness_by_table
        self.incarnation = incarnation
        self.gossip_port = gossip_port
        self.relay_port = relay_port
        self.link_mbps = link_mbps
        self.last_update = None
        self.last_update_s = 0.0
        self.shards_taken = 0

    def digest(self, store_unreachable, leaving):
        """Return a digest with the next shard of this router's work.

        :param store_unreachable: whether the store does not respond to this
            router
        :param leaving: whether the router is shutting down
        :returns: :class:`~boragetrail.direct.datagrams.Digest`
        """
        shard_index, shard_count, work = self._next_shard(self.fleet.work())
        return Digest(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            relay_port=self.relay_port,
            versions_by_table=self.fleet.directory.versions(),
            shard_index=shard_index,
            shard_count=shard_count,
            work=work,
            outcomes=self._sample(self.fleet.outcomes()),
            reports=self._sample(self.fleet.reports.recent()),
            store=self._store_liveness(),
            store_unreachable=store_unreachable,
            uptime_s=self.fleet.peers.own_uptime_s(),
            link_mbps=self.link_mbps,
            peers=[],
            leaving=leaving,
            wants_reply=False,
        )

    def take_update(self):
        """Return the next update if one is due.

        An update is due if, since the last one, this router's work at servers
        has changed or a table has a newer row, or if placements of prompt
        parts have to be sent.

        :returns: :class:`~boragetrail.direct.datagrams.Update`, or ``None``
            if no update is due
        """
        versions = self.fleet.directory.versions()
        work = self.fleet.work()
        placements = self.fleet.placements.take_batch()
        if not placements and self.last_update == (versions, work):
            return None
        self.last_update = (versions, work)
        since_s, self.last_update_s = self.last_update_s, self.fleet.clock()
        shard_index, shard_count, work = self._next_shard(work)
        return Update(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            versions_by_table=versions,
            store=self._store_liveness(),
            shard_index=shard_index,
            shard_count=shard_count,
            work=work,
            relayed=self._relayed_shards(),
            reports=self._sample(self.fleet.reports.own_since(since_s)),
            placements=placements,
        )

    def _store_liveness(self):
        """Return [age in ms, uptime in ms] by table."""
        return {
            table.value: [
                int(liveness.age_s() * 1000),
                int(liveness.uptime_s() * 1000),
            ]
            for table, liveness in self.liveness_by_table.items()
        }

    def _next_shard(self, work):
        """Return (index, shard count, counts) of the next shard of work."""
        shards = split_work(work)
        self.shards_taken += 1
        shard_index = self.shards_taken % len(shards)
        return shard_index, len(shards), shards[shard_index]

    def _relayed_shards(self):
        """Return the shards of other routers that the next update relays.

        :returns: list of
            :class:`~boragetrail.direct.relayedshards.RelayedShard`, empty in
            small fleets
        """
        peers = self.fleet.peers
        if not peers.needs_relaying():
            return []
        now_s = self.fleet.clock()
        return [
            RelayedShard(
                *shard.address,
                shard.incarnation,
                shard.sequence,
                int((now_s - shard.sent_s) * 1000),
                shard.shard_index,
                shard.shard_count,
                shard.counts,
            )
            for shard in peers.work.sample_for_relay(self.MAX_RELAYED_SHARDS)
        ]

    def _sample(self, counts):
        """Return counts of at most ``MAX_SAMPLED_SERVERS`` random servers."""
        if len(counts) <= self.MAX_SAMPLED_SERVERS:
            return counts
        return self.fleet.peers.random.sample(counts, self.MAX_SAMPLED_SERVERS)
