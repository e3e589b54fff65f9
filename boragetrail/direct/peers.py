"""Table of the other routers of the fleet.

A router is a member as long as there are signs that it runs: its own
datagrams, and reports of routers that have just heard from it [1]_. A report
is not passed on, so that the address of a router that is gone does not
circulate.

.. [1] R. van Renesse, Y. Minsky, M. Hayden, "A Gossip-Style Failure Detection
   Service", Middleware 1998.
"""

from boragetrail.direct.contacts import Contacts
from boragetrail.direct.counts import server_key
from boragetrail.direct.loads import ServerLoad, PeerSums
from boragetrail.direct.peer import SLOW_LINK_MBPS, AddressSource, Peer
from boragetrail.direct.work import WorkShard, WorkTable
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score

__all__ = ["PeerTable"]


class PeerTable:
    """Holds the other routers and what they reported.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar contacts: :class:`~boragetrail.direct.contacts.Contacts`, addresses
        of routers without a sign that they run
    :ivar own_address: (host, port) on which this router receives datagrams
    :ivar link_mbps: bandwidth of this router's link in megabits per second
    :ivar list_was_read: whether the platform's list of routers was read
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
    # Time without a sign after which a router is no longer a member.
    MEMBERSHIP_TIMEOUT_S = 20.0
    # Time without a round after which this process has not run. Meanwhile
    # it could not hear other routers.
    MAX_ROUND_GAP_S = 2.0
    # Silence up to which a router is reported to others.
    MAX_REPORTED_SILENCE_S = 4.0
    # Other routers may still be unknown in the first STARTUP_S seconds after
    # the start, so the fleet is assumed to have at least MIN_STARTUP_SIZE
    # routers, or MIN_SIZE_WITHOUT_LIST until the platform's list was read.
    STARTUP_S = 3.0
    MIN_STARTUP_SIZE = 8
    MIN_SIZE_WITHOUT_LIST = 64

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.peers_by_address = {}
        self.contacts = Contacts(clock)
        self.own_address = ("", 0)
        self.link_mbps = float("inf")
        self.started_s = clock()
        self.last_round_s = float("inf")
        self.list_was_read = False
        self.work = WorkTable(clock, random)
        self.outcomes = PeerSums(clock, self.MAX_OUTCOMES_AGE_S)

    def add_reported(self, address):
        """Record that another router has just heard from a router.

        :param address: (host, port) of the router
        :returns: whether it was not known
        """
        if address == self.own_address:
            return False
        is_new = address not in self.peers_by_address
        peer = self._add(address, AddressSource.REPORT)
        peer.reported_s = self.clock()
        return is_new

    def add_listed(self, addresses):
        """Add the addresses that the registry lists.

        Their routers count towards the limits of the fleet for a while, as
        they may run without being heard. As a result, this router's share of
        fleet-wide limits may be too small, but never too large.

        :param addresses: list of (host, port)
        """
        for address in addresses:
            self.add_contact(address, self.MEMBERSHIP_TIMEOUT_S)
        self.list_was_read = True

    def add_contact(self, address, counts_s=0.0):
        """Add an address to probe, unless its router is a member.

        :param address: (host, port) of the router
        :param counts_s: seconds for which the router is assumed to run
        """
        if address in self.peers_by_address or address == self.own_address:
            return
        self.contacts.add(address, counts_s)

    def _add(self, address, source):
        """Return the :class:`Peer` of an address, which is added if new."""
        peer = self.peers_by_address.get(address)
        if peer is None:
            self.contacts.remove(address)
            peer = Peer(address)
            self.peers_by_address[address] = peer
            log_event(
                Event.PEER_ADDED,
                peer=f"{address[0]}:{address[1]}",
                source=source.value,
            )
        return peer

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

    def size(self):
        """Return the number of routers in the fleet, including this one."""
        known = len(self.probable_addresses()) + 1
        return max(self._min_size(), known)

    def max_size(self):
        """Return the largest number of routers that may run.

        Limits of the fleet are divided by it. Listed routers are included
        that may run without being heard.
        """
        known = len(self._possible_addresses()) + 1
        return max(self._min_size(), known)

    def counts(self):
        """Return how many peers there are, by what is known of them."""
        peers = self.peers_by_address.values()
        return {
            "members": len(self.members()),
            "heard": sum(peer.was_heard() for peer in peers),
            "live": len(self.live_peers()),
            "contacts": len(self.contacts),
        }

    def rank(self, key):
        """Return this router's rendezvous rank for a key; 0 is the highest.

        Routers that know of each other have different ranks. A router that
        has just started may not know the others yet, so it leaves the
        highest ranks to them.

        :param key: text to rank by
        """
        return self._rank(key, self.probable_addresses())

    def max_rank(self, key):
        """Return this router's rank among all routers that may run.

        It belongs to :meth:`max_size`, as :meth:`rank` does to :meth:`size`.

        :param key: text to rank by
        """
        return self._rank(key, self._possible_addresses())

    def _rank(self, key, addresses):
        own_score = rendezvous_score(key, self.own_address)
        higher = sum(
            rendezvous_score(key, address) > own_score for address in addresses
        )
        return higher + self._min_size()

    def is_first(self, key):
        """Return whether this router ranks first for a key.

        Unlike in :meth:`rank`, routers with slow links rank after all others.

        :param key: text to rank by
        """

        def precedence(address, link_mbps):
            is_fast = link_mbps >= SLOW_LINK_MBPS
            return (is_fast, rendezvous_score(key, address))

        own = precedence(self.own_address, self.link_mbps)
        links = {peer.address: peer.link_mbps for peer in self.members()}
        return all(
            precedence(address, links.get(address, 0.0)) < own
            for address in self.probable_addresses()
        )

    def probable_addresses(self):
        """Return the addresses of the other routers that probably run.

        These are the members, and just after the start the listed routers
        too, which have not had the time to reply.
        """
        if self._is_starting():
            return self._possible_addresses()
        return [peer.address for peer in self.members()]

    def _possible_addresses(self):
        """Return the addresses of the other routers that may run."""
        addresses = [peer.address for peer in self.members()]
        return addresses + self.contacts.expected()

    def _is_starting(self):
        return self.own_uptime_s() < self.STARTUP_S

    def _min_size(self):
        if not self._is_starting():
            return 0
        return (
            self.MIN_STARTUP_SIZE
            if self.list_was_read
            else self.MIN_SIZE_WITHOUT_LIST
        )

    def members(self):
        """Return the peers that count towards the fleet, as a list.

        In a large fleet most of them have sent no digest for seconds.
        """
        oldest_s = self._oldest_sign_s()
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.has_sign_since(oldest_s)
        ]

    def _oldest_sign_s(self):
        """Return the time up to which a sign makes a router a member.

        Time in which this process did not run does not count.
        """
        latest_s = self.last_round_s + self.MAX_ROUND_GAP_S
        return min(self.clock(), latest_s) - self.MEMBERSHIP_TIMEOUT_S

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

    def own_uptime_s(self):
        """Return the seconds since this router started."""
        return self.clock() - self.started_s

    def advance(self):
        """Remove the peers that are no longer members; they stay contacts.

        Call this in each round.
        """
        self._keep_if_suspended()
        self.last_round_s = self.clock()
        oldest_s = self._oldest_sign_s()
        silent = [
            address
            for address, peer in self.peers_by_address.items()
            if not peer.has_sign_since(oldest_s)
        ]
        for address in silent:
            peer = self.peers_by_address.pop(address)
            self.work.remove(address)
            self.contacts.add(address)
            log_event(
                Event.PEER_EXPIRED,
                peer=f"{address[0]}:{address[1]}",
                was_heard=peer.was_heard(),
            )

    def _keep_if_suspended(self):
        """Give the members time to be heard if this process did not run."""
        now_s = self.clock()
        if now_s <= self.last_round_s + self.MAX_ROUND_GAP_S:
            return
        kept_s = now_s - self.MEMBERSHIP_TIMEOUT_S + self.STARTUP_S
        for peer in self.members():
            peer.reported_s = max(peer.reported_s, kept_s)
