"""What a router knows of the other routers."""

from boragetrail.direct.counts import server_key
from boragetrail.direct.loads import ServerLoad, PeerSums
from boragetrail.direct.work import WorkShard, WorkTable
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score

__all__ = ["Peer", "PeerTable"]

# Links below this are left to callers' traffic as far as possible.
SLOW_LINK_MBPS = 25.0


class Peer:
    """Hold what is known of one other router."""

    __slots__ = (
        "address",
        "relay_port",
        "incarnation",
        "sequence",
        "digest_received_s",
        "added_s",
        "versions_by_table",
        "versions_received_s",
        "turned_away",
        "up_s",
        "link_mbps",
        "leaving",
    )

    def __init__(self, address, now_s):
        self.address = address
        self.relay_port = 0
        self.incarnation = ""
        self.sequence = 0
        self.digest_received_s = float("-inf")
        self.added_s = now_s
        self.versions_by_table = {}
        self.versions_received_s = float("-inf")
        self.turned_away = False
        self.up_s = 0.0
        self.link_mbps = 0.0
        self.leaving = False

    def has_slow_link(self):
        """Return whether the router's link is slow."""
        return self.link_mbps < SLOW_LINK_MBPS


class PeerTable:
    """Know the other routers.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar own: (host, port) at which this router gets datagrams
    :ivar link_mbps: speed of this router's link in megabits a second
    :ivar is_listed: whether a list of the fleet's routers was read
    """

    # What was told longer ago does not count any more.
    MAX_DIGEST_AGE_S = 1.5
    # The same for failures of servers, which say something for longer.
    MAX_OUTCOMES_AGE_S = 4.0
    # Up to this many others a router tells its news to all of them itself;
    # of more it tells some, which pass them on.
    MAX_DIRECT_PEERS = 20
    UPDATE_FANOUT = 8
    # Routers unheard for so long are taken as gone.
    REMOVE_AFTER_S = 30.0
    # A router counts with the fleet after its last datagram for so long.
    MEMBERSHIP_TIMEOUT_S = 20.0
    # In the first seconds others may not be known yet. A fleet of which no
    # list was read is taken for a large one.
    STARTUP_S = 3.0
    MIN_STARTUP_SIZE = 8
    MIN_UNLISTED_SIZE = 64

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.peers_by_address = {}
        self.own_address = ("", 0)
        self.link_mbps = float("inf")
        self.started_s = clock()
        self.is_listed = False
        self.work = WorkTable(clock, random)
        self.outcomes = PeerSums(clock, self.MAX_OUTCOMES_AGE_S)

    def add(self, address):
        """Note the address of a router; returns the :class:`Peer`."""
        peer = self.peers_by_address.get(address)
        if peer is None:
            peer = Peer(address, self.clock())
            self.peers_by_address[address] = peer
        return peer

    def add_listed(self, addresses):
        """Note the routers that the platform lists.

        Those that are gone count with the fleet for a while, so that parts
        of limits are rather too small.
        """
        for address in addresses:
            if address != self.own_address:
                self.add(address)
        self.is_listed = True

    def apply_digest(self, digest, host):
        """Take over a digest.

        :returns: (peer, whether it was unknown), or (``None``, ``False``)
            for a digest that is older than the last one
        """
        address = (host, digest.gossip_port)
        is_new = address not in self.peers_by_address
        peer = self.add(address)
        is_same_run = peer.incarnation == digest.incarnation
        if is_same_run and digest.sequence <= peer.sequence:
            return None, False
        is_new = is_new or not is_same_run
        peer.incarnation = digest.incarnation
        peer.sequence = digest.sequence
        peer.relay_port = digest.relay_port
        peer.versions_by_table = digest.versions_by_table
        peer.turned_away = digest.turned_away
        peer.up_s = digest.up_s
        peer.link_mbps = digest.link_mbps
        peer.leaving = digest.leaving
        peer.digest_received_s = peer.versions_received_s = self.clock()
        self.outcomes.replace(address, digest.outcomes)
        self._heard_work(peer, digest)
        return peer, is_new

    def apply_update(self, news, host):
        """Take over the work of a router and its newest rows.

        :returns: whether this run of the router is known
        """
        address = (host, news.gossip_port)
        peer = self.peers_by_address.get(address)
        if peer is None or peer.incarnation != news.incarnation:
            return False
        if news.sequence <= peer.sequence:
            return True
        peer.sequence = news.sequence
        peer.versions_by_table = news.versions_by_table
        peer.versions_received_s = self.clock()
        self._heard_work(peer, news)
        return True

    def apply_relayed(self, relayed):
        """Take over what a router passed on of another one's work.

        Rows of runs that this router did not hear of itself are left out.

        :param relayed: :class:`~boragetrail.direct.relayedshards.RelayedRow`
        :returns: whether the router is known
        """
        address = (relayed.host, relayed.port)
        if address == self.own_address:
            return True
        peer = self.peers_by_address.get(address)
        if peer is None:
            return False
        if peer.incarnation == relayed.incarnation:
            sent_s = self.clock() - relayed.age_ms / 1000.0
            self.work.apply(
                WorkShard(
                    address,
                    relayed.incarnation,
                    relayed.sequence,
                    sent_s,
                    relayed.part,
                    relayed.parts,
                    relayed.work,
                )
            )
        return True

    def load(self, server_id):
        """Return what others lately had at a server.

        :returns: :class:`~boragetrail.direct.loads.Load`
        """
        key = server_key(server_id)
        requests, tokens = self.work.server_totals(key)
        failures, answers = self.outcomes.sum(key)
        return ServerLoad(requests, tokens, failures, answers)

    def _heard_work(self, peer, message):
        row = WorkShard(
            peer.address,
            message.incarnation,
            message.sequence,
            self.clock(),
            message.part,
            message.parts,
            message.work,
        )
        self.work.apply(row)

    def size(self):
        """Return the number of routers, this one included."""
        counted = len(self._counted()) + 1
        return max(self._least_size(), counted)

    def rank(self, key):
        """Return this router's rank among all for a key; 0 is the first.

        Routers that know of each other have different ranks. One that has
        just started has none of the first ranks.
        """
        own_address = rendezvous_score(key, self.own_address)
        before = sum(
            1
            for peer in self._counted()
            if rendezvous_score(key, peer.address) > own_address
        )
        return before + self._least_size()

    def is_first(self, key):
        """Return whether this router is the first of those known now.

        Routers with slow links come after all others.
        """

        def place(address, link_mbps):
            is_fast = link_mbps >= SLOW_LINK_MBPS
            return (is_fast, rendezvous_score(key, address))

        own_address = place(self.own_address, self.link_mbps)
        return all(
            place(peer.address, peer.link_mbps) < own_address
            for peer in self._counted()
        )

    def _least_size(self):
        if self.up_s() >= self.STARTUP_S:
            return 0
        return (
            self.MIN_STARTUP_SIZE if self.is_listed else self.MIN_UNLISTED_SIZE
        )

    def _counted(self):
        oldest = self.clock() - self.MEMBERSHIP_TIMEOUT_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if max(peer.digest_received_s, peer.added_s) >= oldest
        ]

    def needs_relaying(self):
        """Return whether routers have to pass on each other's news."""
        return len(self.peers_by_address) > self.MAX_DIRECT_PEERS

    def update_fanout(self):
        """Return the number of routers to tell news to."""
        if self.needs_relaying():
            return self.UPDATE_FANOUT
        return self.MAX_DIRECT_PEERS

    def sample(self, count):
        """Return some routers by chance, as a list."""
        peers = list(self.peers_by_address.values())
        return self.random.sample(peers, min(count, len(peers)))

    def sample_fast(self, count):
        """Return some routers to ask for much, those with fast links.

        If all links are slow, any are returned.
        """
        peers = self.live_peers()
        fast = [peer for peer in peers if not peer.has_slow_link()]
        peers = fast or peers
        return self.random.sample(peers, min(count, len(peers)))

    def has_slow_link(self):
        """Return whether this router's own link is slow."""
        return self.link_mbps < SLOW_LINK_MBPS

    def peers_ahead(self, table, version):
        """Return peers that lately told a row newer than a version."""
        oldest = self.clock() - self.MAX_DIGEST_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.versions_received_s >= oldest
            and peer.versions_by_table.get(table, -1) > version
        ]

    def live_peers(self):
        """Return the routers that told something lately, as a list."""
        oldest = self.clock() - self.MAX_DIGEST_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.digest_received_s >= oldest
        ]

    def newest_digest_age_s(self):
        """Return the age of the newest datagram; ``None`` if none came."""
        heard = [peer.digest_received_s for peer in self.live_peers()]
        return round(self.clock() - max(heard), 2) if heard else None

    def has_older_peer(self, margin_s):
        """Return whether another router started clearly before this one.

        :param margin_s: least difference in seconds
        """
        up_s = self.up_s() + margin_s
        return any(peer.up_s > up_s for peer in self.live_peers())

    def up_s(self):
        """Return seconds since this router started."""
        return self.clock() - self.started_s

    def remove_silent(self):
        """Drop routers that were not heard for a long time."""
        oldest = self.clock() - self.REMOVE_AFTER_S
        silent = [
            address
            for address, peer in self.peers_by_address.items()
            if max(peer.digest_received_s, peer.added_s) < oldest
        ]
        for address in silent:
            del self.peers_by_address[address]
            self.work.remove(address)
            log_event(Event.PEER_EXPIRED, peer=f"{address[0]}:{address[1]}")
