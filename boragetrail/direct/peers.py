"""Tell other routers what this one knows, and hear what they know.

Each round sends one datagram to a few routers that are chosen by chance. A
datagram tells the sender's versions of the tables, its requests at each
server and some of the routers that it knows.
"""

import asyncio
import dataclasses

import cbor2

from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score

__all__ = ["Digest", "PeerTable", "PeerSocket"]

MOST_DATAGRAM_BYTES = 8 * 1024
# Common text by which routers rank themselves as readers of the store.
READER_KEY = "store"


@dataclasses.dataclass(slots=True)
class Digest:
    """Tell what a router knows.

    :param incarnation: id of this run of the router
    :param sequence: number of the datagram within the run
    :param gossip_port: port that it gets datagrams at
    :param relay_port: port that it gives rows at
    :param versions_by_table: version of the newest row of each table
    :param loads_by_id: (requests, pending tokens, failures, answers) of
        each server in use
    :param reports_by_id: what busy servers lately said of their load, as
        [requests, age in ms]
    :param placements: parts of prompts that it lately sent, as
        [part, server id]
    :param steady_s: seconds for which it has surely heard the store
    :param up_s: seconds since it started
    :param link_mbps: speed of its link in megabits a second
    :param peers: addresses of some other routers, as [host, port]
    :param leaving: whether it stops
    :param wants_reply: whether the receiver should tell the same at once
    """

    incarnation: str
    sequence: int
    gossip_port: int
    relay_port: int
    versions_by_table: dict
    loads_by_id: dict
    reports_by_id: dict
    placements: list
    steady_s: float
    up_s: float
    link_mbps: float
    peers: list
    leaving: bool
    wants_reply: bool


def encode_digest(digest):
    """Return a digest as bytes."""
    names = Digest.__slots__
    return cbor2.dumps([getattr(digest, name) for name in names])


def decode_digest(data):
    """Return a digest, or ``None`` if the bytes can't be read."""
    if len(data) > MOST_DATAGRAM_BYTES:
        return None
    try:
        digest = Digest(*cbor2.loads(data))
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    is_valid = (
        isinstance(digest.versions_by_table, dict)
        and isinstance(digest.loads_by_id, dict)
        and isinstance(digest.steady_s, (int, float))
        and isinstance(digest.up_s, (int, float))
        and isinstance(digest.link_mbps, (int, float))
    )
    return digest if is_valid else None


@dataclasses.dataclass(slots=True)
class Load:
    """Count work at a server.

    :param requests: requests in flight
    :param pending_tokens: prompt tokens that they have to read
    :param failures: requests that the server failed in the last seconds
    :param answers: all that it answered in the last seconds
    """

    requests: int = 0
    pending_tokens: int = 0
    failures: int = 0
    answers: int = 0


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
        "loads_by_id",
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
        self.loads_by_id = {}
        self.steady_s = 0.0
        self.up_s = 0.0
        self.link_mbps = 0.0
        self.leaving = False


class PeerTable:
    """Know the other routers.

    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar own: (host, port) at which this router gets datagrams
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
        self.started_s = clock()

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
        peer.loads_by_id = digest.loads_by_id
        peer.steady_s = digest.steady_s
        peer.up_s = digest.up_s
        peer.link_mbps = digest.link_mbps
        peer.leaving = digest.leaving
        peer.heard_s = self.clock()
        return peer, is_new

    def load(self, server_id):
        """Return a :class:`Load` that others lately had at a server."""
        oldest = self.clock() - self.TRUSTED_AGE_S
        total = Load()
        for peer in self.peers_by_address.values():
            if peer.heard_s >= oldest:
                told = Load(*peer.loads_by_id.get(server_id, ()))
                total.requests += told.requests
                total.pending_tokens += told.pending_tokens
                total.failures += told.failures
                total.answers += told.answers
        return total

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
        """Return whether this router is the first of those known now."""
        own = rendezvous_score(key, self.own)
        return all(
            rendezvous_score(key, peer.address) < own
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

    def ahead(self, table, version):
        """Return peers that lately told a row newer than a version."""
        oldest = self.clock() - self.TRUSTED_AGE_S
        return [
            peer
            for peer in self.peers_by_address.values()
            if peer.heard_s >= oldest
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


class PeerSocket(asyncio.DatagramProtocol):
    """Own the datagram socket.

    :param table: :class:`PeerTable`
    :param make_digest: function that returns this router's
        :class:`Digest` without its list of peers
    :param on_digest: called with each digest that is news
    """

    ROUND_S = 0.3
    FANOUT = 4
    NEWS_S = 0.1
    NEWS_FANOUT = 32
    PEERS_TOLD = 6

    def __init__(self, table, make_digest, on_digest):
        self.table = table
        self.make_digest = make_digest
        self.on_digest = on_digest
        self.transport = None
        self.sequence = 0
        self.sent_bytes = 0

    async def open(self, host, port):
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport):
        """Keep the transport; called by asyncio."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore refused datagrams; the peer's silence shows elsewhere."""

    def datagram_received(self, data, addr):
        """Handle one datagram; called by asyncio."""
        digest = decode_digest(data)
        if digest is None:
            return
        peer, is_new = self.table.heard(digest, addr[0])
        if peer is None:
            return
        for host, port in digest.peers:
            self._introduced((host, port))
        if is_new:
            log_event(
                Event.PEER_HEARD,
                peer=f"{peer.address[0]}:{peer.address[1]}",
                incarnation=peer.incarnation,
            )
        if digest.wants_reply:
            self._send(peer.address, False)
        self.on_digest(digest)

    def greet(self, address):
        """Ask a router to tell what it knows."""
        self._send(address, True)

    async def run(self):
        """Tell a few routers each round."""
        while True:
            jitter = self.table.random.uniform(0.8, 1.2)
            await asyncio.sleep(self.ROUND_S * jitter)
            for peer in self.table.some(self.FANOUT):
                self._send(peer.address, False)
            self.table.forget_silent()

    async def run_news(self, take_news):
        """Tell many routers soon after something new.

        :param take_news: function that returns whether there is news
        """
        while True:
            await asyncio.sleep(self.NEWS_S)
            if take_news():
                for peer in self.table.some(self.NEWS_FANOUT):
                    self._send(peer.address, False)

    def close(self):
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def _introduced(self, address):
        own = self.transport.get_extra_info("sockname")[:2]
        if address == own or address in self.table.peers_by_address:
            return
        self.table.add(address)
        self.greet(address)

    def _send(self, address, wants_reply):
        digest = self.make_digest()
        self.sequence += 1
        digest.sequence = self.sequence
        digest.wants_reply = wants_reply
        digest.peers = [
            list(peer.address) for peer in self.table.some(self.PEERS_TOLD)
        ]
        data = encode_digest(digest)
        self.sent_bytes += len(data)
        try:
            self.transport.sendto(data, address)
        except OSError as exc:
            log_event(Event.DATAGRAM_FAILED, error=repr(exc))
