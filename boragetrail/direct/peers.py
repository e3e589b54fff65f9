"""What a router knows of the other routers."""

from boragetrail.direct.loads import LoadTotals
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score

__all__ = ["Peer", "PeerTable"]

# Links below this are left to callers' traffic as far as possible.
SLOW_LINK_MBPS = 25.0
# Common text by which routers rank themselves as readers of the store.
READER_KEY = "store"


class Peer:
    """Hold what is known of one other router."""

    __slots__ = (
        "address",
        "relay_port",
        "incarnation",
        "sequence",
        "heard_s",
        "known_s",
        "versions_by_table",
        "versions_s",
        "steady_s",
        "up_s",
        "link_mbps",
        "leaving",
    )

    def __init__(self, address, now_s):
        self.address = address
        self.relay_port = 0
        self.incarnation = ""
        self.sequence = 0
        self.heard_s = float("-inf")
        self.known_s = now_s
        self.versions_by_table = {}
        self.versions_s = float("-inf")
        self.steady_s = 0.0
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
    """

    # What was told longer ago does not count any more.
    TRUSTED_AGE_S = 1.5
    # Routers unheard for so long are taken as gone.
    FORGET_S = 30.0
    # A router counts with the fleet after its last datagram for so long.
    COUNT_S = 20.0
    # Routers that ask the store often, and how old news of them may be.
    READERS = 2
    READER_AGE_S = 4.0
    # In the first seconds others may not be known yet.
    START_S = 3.0
    SIZE_AT_START = 8

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.peers_by_address = {}
        self.own = ("", 0)
        self.link_mbps = float("inf")
        self.started_s = clock()
        self.totals = LoadTotals(clock, self.TRUSTED_AGE_S)

    def add(self, address):
        """Note the address of a router; returns the :class:`Peer`."""
        peer = self.peers_by_address.get(address)
        if peer is None:
            peer = Peer(address, self.clock())
            self.peers_by_address[address] = peer
        return peer

    def heard(self, digest, host):
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
        peer.steady_s = digest.steady_s
        peer.up_s = digest.up_s
        peer.link_mbps = digest.link_mbps
        peer.leaving = digest.leaving
        peer.heard_s = peer.versions_s = self.clock()
        self.totals.told(address, digest.loads_by_id)
        return peer, is_new

    def heard_news(self, news, host):
        """Take over what has changed at a router.

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
        peer.versions_s = self.clock()
        self.totals.told_changes(address, news.loads_by_id)
        return True

    def load(self, server_id):
        """Return what others lately had at a server.

        :returns: :class:`~boragetrail.direct.loads.Load`
        """
        return self.totals.load(server_id)

    def size(self):
        """Return the number of routers, this one included."""
        counted = len(self._counted()) + 1
        if self._is_starting():
            return max(self.SIZE_AT_START, counted)
        return counted

    def rank(self, key):
        """Return this router's rank among all for a key; 0 is the first.

        Routers that know of each other have different ranks. One that has
        just started has none of the first ranks.
        """
        own = rendezvous_score(key, self.own)
        before = sum(
            1
            for peer in self._counted()
            if rendezvous_score(key, peer.address) > own
        )
        return before + (self.SIZE_AT_START if self._is_starting() else 0)

    def is_first(self, key):
        """Return whether this router is the first of those known now.

        Routers with slow links come after all others.
        """

        def place(address, link_mbps):
            is_fast = link_mbps >= SLOW_LINK_MBPS
            return (is_fast, rendezvous_score(key, address))

        own = place(self.own, self.link_mbps)
        return all(
            place(peer.address, peer.link_mbps) < own
            for peer in self._counted()
        )

    def is_reader(self):
        """Return whether this router asks the store often for all.

        Those are the first in rank of the routers that hear the store.
        """
        now = self.clock()
        own = rendezvous_score(READER_KEY, self.own)
        before = sum(
            1
            for peer in self.peers_by_address.values()
            if now - peer.heard_s <= self.READER_AGE_S
            and peer.steady_s > 0
            and not peer.leaving
            and rendezvous_score(READER_KEY, peer.address) > own
        )
        return before < self.READERS

    def _is_starting(self):
        return self.up_s() < self.START_S

    def _counted(self):
        oldest = self.clock() - self.COUNT_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if max(peer.heard_s, peer.known_s) >= oldest
        ]

    def some(self, count):
        """Return some routers by chance, as a list."""
        peers = list(self.peers_by_address.values())
        return self.random.sample(peers, min(count, len(peers)))

    def sources(self, count):
        """Return some routers to ask for much, those with fast links.

        If all links are slow, any are returned.
        """
        peers = self.heard_peers()
        fast = [peer for peer in peers if not peer.has_slow_link()]
        peers = fast or peers
        return self.random.sample(peers, min(count, len(peers)))

    def has_slow_link(self):
        """Return whether this router's own link is slow."""
        return self.link_mbps < SLOW_LINK_MBPS

    def ahead(self, table, version):
        """Return peers that lately told a row newer than a version."""
        oldest = self.clock() - self.TRUSTED_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.versions_s >= oldest
            and peer.versions_by_table.get(table, -1) > version
        ]

    def store_was_up(self, outage_s):
        """Return whether others heard the store during an outage here.

        :param outage_s: seconds since this router heard the store
        """
        now = self.clock()
        return any(
            peer.steady_s + now - peer.heard_s >= outage_s
            for peer in self.peers_by_address.values()
            if now - peer.heard_s <= self.TRUSTED_AGE_S and peer.steady_s > 0
        )

    def hear_store(self):
        """Return whether others lately told that they hear the store."""
        return any(peer.steady_s > 0 for peer in self.heard_peers())

    def heard_peers(self):
        """Return the routers that told something lately, as a list."""
        oldest = self.clock() - self.TRUSTED_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.heard_s >= oldest
        ]

    def news_age_s(self):
        """Return the age of the newest datagram; ``None`` if none came."""
        heard = [peer.heard_s for peer in self.heard_peers()]
        return round(self.clock() - max(heard), 2) if heard else None

    def has_older(self, margin_s):
        """Return whether another router started clearly before this one.

        :param margin_s: least difference in seconds
        """
        up_s = self.up_s() + margin_s
        return any(peer.up_s > up_s for peer in self.heard_peers())

    def up_s(self):
        """Return seconds since this router started."""
        return self.clock() - self.started_s

    def forget_silent(self):
        """Drop routers that were not heard for a long time."""
        oldest = self.clock() - self.FORGET_S
        silent = [
            address
            for address, peer in self.peers_by_address.items()
            if max(peer.heard_s, peer.known_s) < oldest
        ]
        for address in silent:
            del self.peers_by_address[address]
            log_event(Event.PEER_GONE, peer=f"{address[0]}:{address[1]}")
