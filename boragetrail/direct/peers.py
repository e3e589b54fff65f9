"""Table of the other routers of the fleet and what they reported."""

from boragetrail.direct.counts import server_key
from boragetrail.direct.loads import ServerLoad, PeerSums
from boragetrail.direct.membership import Membership
from boragetrail.direct.peer import SLOW_LINK_MBPS, AddressSource
from boragetrail.direct.work import WorkShard, WorkTable

__all__ = ["PeerTable"]


class PeerTable(Membership):
    """Hold the other routers and what they reported.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    """

    # Age up to which the state in digests and updates is used.
    MAX_DIGEST_AGE_S = 1.5
    # Age up to which a peer's counts of failures and responses are used. They
    # stay meaningful for longer than other state.
    MAX_OUTCOMES_AGE_S = 4.0
    # With at most this many peers, an update goes to all of them. With more
    # peers, it goes to UPDATE_FANOUT peers, and these relay it.
    MAX_DIRECT_PEERS = 20
    UPDATE_FANOUT = 8
    # Silence up to which a router is reported to others.
    MAX_REPORTED_SILENCE_S = 4.0

    def __init__(self, clock, random):
        super().__init__(clock)
        self.random = random
        self.work = WorkTable(clock, random)
        self.outcomes = PeerSums(clock, self.MAX_OUTCOMES_AGE_S)

    def apply_digest(self, digest, host):
        """Update a peer from its digest.

        :param digest: :class:`~boragetrail.direct.datagrams.Digest`
        :param host: host that sent the digest
        :returns: (peer, whether the run of the peer is new), or
            (``None``, ``False``) if the digest is not newer than the last
            datagram of the run
        """
        address = (host, digest.gossip_port)
        is_new = address not in self.peers_by_address
        peer = self._add(address, AddressSource.DATAGRAM)
        is_same_run = peer.incarnation == digest.incarnation
        if is_same_run and digest.sequence <= peer.sequence:
            return None, False
        is_new = is_new or not is_same_run
        peer.incarnation = digest.incarnation
        peer.sequence = digest.sequence
        peer.relay_port = digest.relay_port
        peer.versions_by_table = digest.versions_by_table
        peer.store_unreachable = digest.store_unreachable
        peer.uptime_s = digest.uptime_s
        peer.link_mbps = digest.link_mbps
        peer.leaving = digest.leaving
        peer.digest_received_s = peer.versions_received_s = self.clock()
        self.outcomes.replace(address, digest.outcomes)
        self._apply_work(peer, digest)
        return peer, is_new

    def apply_update(self, update, host):
        """Update a peer's work and row versions from its update.

        :param update: :class:`~boragetrail.direct.datagrams.Update`
        :param host: host that sent the update
        :returns: whether the sender's run is known
        """
        address = (host, update.gossip_port)
        peer = self.peers_by_address.get(address)
        if peer is None or peer.incarnation != update.incarnation:
            return False
        if update.sequence <= peer.sequence:
            return True
        peer.sequence = update.sequence
        peer.versions_by_table = update.versions_by_table
        peer.versions_received_s = self.clock()
        self._apply_work(peer, update)
        return True

    def apply_relayed(self, relayed):
        """Update the work of a peer from a shard that another peer relayed.

        A shard of a run other than the peer's known run is ignored.

        :param relayed:
            :class:`~boragetrail.direct.relayedshards.RelayedShard`
        :returns: whether the peer is known; also true for this router itself
        """
        address = (relayed.host, relayed.port)
        if address == self.own_address:
            return True
        peer = self.peers_by_address.get(address)
        if peer is None:
            return False
        if peer.incarnation == relayed.incarnation:
            sent_s = self.clock() - relayed.age_ms / 1000.0
            shard = WorkShard(
                address,
                relayed.incarnation,
                relayed.sequence,
                sent_s,
                relayed.shard_index,
                relayed.shard_count,
                relayed.work,
            )
            if self.work.apply(shard):
                peer.reported_s = max(peer.reported_s, sent_s)
        return True

    def load(self, server_id):
        """Return what other routers recently reported about a server.

        :param server_id: id of the server
        :returns: :class:`~boragetrail.direct.loads.ServerLoad`
        """
        key = server_key(server_id)
        requests, tokens = self.work.server_totals(key)
        failures, responses = self.outcomes.sum(key)
        return ServerLoad(requests, tokens, failures, responses)

    def advance(self):
        """Remove the peers that are no longer members; see the base class."""
        removed = super().advance()
        for address in removed:
            self.work.remove(address)
        return removed

    def counts(self):
        """Return how many peers there are, by what is known of them."""
        peers = self.peers_by_address.values()
        return {
            "members": len(self.members()),
            "heard": sum(peer.was_heard() for peer in peers),
            "live": len(self.live_peers()),
            "contacts": len(self.contacts),
        }

    def needs_relaying(self):
        """Return whether the fleet is so large that routers relay updates."""
        return len(self.peers_by_address) > self.MAX_DIRECT_PEERS

    def update_fanout(self):
        """Return the maximum number of peers to send an update to."""
        if self.needs_relaying():
            return self.UPDATE_FANOUT
        return self.MAX_DIRECT_PEERS

    def sample(self, count):
        """Return a random sample of the peers.

        :param count: maximum size of the sample
        :returns: list of :class:`Peer`
        """
        peers = list(self.peers_by_address.values())
        return self.random.sample(peers, min(count, len(peers)))

    def sample_heard(self, count):
        """Return a random sample of the peers that were just heard.

        :param count: maximum size of the sample
        :returns: list of :class:`Peer`
        """
        oldest_s = self.clock() - self.MAX_REPORTED_SILENCE_S
        heard = [
            peer
            for peer in self.peers_by_address.values()
            if peer.versions_received_s >= oldest_s
        ]
        return self.random.sample(heard, min(count, len(heard)))

    def sample_fast(self, count):
        """Return a random sample of live peers for bulk transfers.

        Peers with slow links are only included if no live peer has a fast
        link.

        :param count: maximum size of the sample
        :returns: list of :class:`Peer`
        """
        peers = self.live_peers()
        fast = [peer for peer in peers if not peer.has_slow_link()]
        peers = fast or peers
        return self.random.sample(peers, min(count, len(peers)))

    def has_slow_link(self):
        """Return whether this router's own link is slow."""
        return self.link_mbps < SLOW_LINK_MBPS

    def peers_ahead(self, table, position):
        """Return the peers that recently reported unknown rows of a table.

        :param table: name of the table
        :param position:
            :class:`~boragetrail.direct.knowledge.epochs.RowPosition` up to
            which this router knows the rows
        :returns: list of :class:`Peer`
        """
        oldest_s = self.clock() - self.MAX_DIGEST_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.versions_received_s >= oldest_s
            and position.is_behind(peer.versions_by_table, table)
        ]

    def live_peers(self):
        """Return the peers that recently sent a digest, as a list."""
        oldest_s = self.clock() - self.MAX_DIGEST_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.digest_received_s >= oldest_s
        ]

    def newest_digest_age_s(self):
        """Return the age of the newest digest in seconds.

        :returns: age, or ``None`` if there is no recent digest
        """
        times_s = [peer.digest_received_s for peer in self.live_peers()]
        return round(self.clock() - max(times_s), 2) if times_s else None

    def has_older_peer(self, margin_s):
        """Return whether a live peer started earlier than this router.

        :param margin_s: seconds by which it must have started earlier
        """
        uptime_s = self.own_uptime_s() + margin_s
        return any(peer.uptime_s > uptime_s for peer in self.live_peers())

    def _apply_work(self, peer, message):
        shard = WorkShard(
            peer.address,
            message.incarnation,
            message.sequence,
            self.clock(),
            message.shard_index,
            message.shard_count,
            message.work,
        )
        self.work.apply(shard)
