"""Versions of the servers at which streams began.

A client that resumes a stream may come to any router, also after the router
that began it is gone. Each router therefore tells a few others, which are the
first in rendezvous order for the stream [1]_, where a stream began, and asks
them if it has to go on with one that it does not know.

.. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
   Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import asyncio
import collections
import dataclasses

import xxhash

from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.versionhistory import VersionHistory

__all__ = [
    "StreamOrigin",
    "StreamOrigins",
    "StreamQuery",
    "StreamUnknown",
    "stream_key",
]


@dataclasses.dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Tell at which version a stream began.

    :param stream: key of the request that brought its first event
    :param version: software version of the server
    :param begun_s: monotonic time of the first event
    """

    stream: int
    version: str
    begun_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class StreamQuery:
    """Ask another router where a stream began.

    :param stream: key of the request that brought its first event
    """

    stream: int


@dataclasses.dataclass(slots=True, frozen=True)
class StreamUnknown:
    """Reply that a router does not know where a stream began.

    :param stream: key of the request that brought its first event
    """

    stream: int


class StreamOrigins:
    """Hold where recent streams began, and ask other routers.

    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :ivar origins_by_stream: :class:`StreamOrigin` by key, oldest first
    :ivar expected: version by key of recent requests that were sent
    :ivar unsaved: each :class:`StreamOrigin` of this router that the store
        does not have
    :ivar loaded: whether the origins that the store has were read
    :ivar send_to: function that sends a record to a list of addresses
    """

    MAX_STREAMS = 65536
    MAX_UNSAVED = 4096
    # Routers that are told of each stream.
    OWNER_COUNT = 3
    # In a fleet of at most this many routers, all of them are asked.
    MAX_ASKED = 20
    # Longest wait for the replies of other routers.
    REPLY_TIMEOUT_S = 0.15
    # Longest wait of a router that starts until it has read the store.
    LOAD_TIMEOUT_S = 0.5

    def __init__(self, peers):
        self.peers = peers
        self.clock = peers.clock
        self.origins_by_stream = collections.OrderedDict()
        self.queries_by_stream = {}
        self.unsaved = collections.deque(maxlen=self.MAX_UNSAVED)
        self.expected = collections.OrderedDict()
        self.loaded = asyncio.Event()
        self.send_to = lambda record, addresses: None

    def add(self, request_id, version):
        """Record the first event of a stream, and tell other routers.

        :param request_id: id of the request that brought it
        :param version: software version of the server
        """
        origin = StreamOrigin(stream_key(request_id), version, self.clock())
        if self._add(origin) and not self._is_expected(origin):
            self.unsaved.append(origin)
        self.send_to(origin, self._owners(origin.stream))

    def expect(self, request_id, version):
        """Save where a stream will begin if its server sends an event.

        The store then has the origin when the first event arrives.

        :param request_id: id of the request
        :param version: software version of the server that gets it
        """
        origin = StreamOrigin(stream_key(request_id), version, self.clock())
        if not self._is_expected(origin):
            self.expected[origin.stream] = version
            self.unsaved.append(origin)
        if len(self.expected) > self.MAX_UNSAVED:
            self.expected.popitem(last=False)

    def add_saved(self, saved):
        """Record the origins that were read from the store.

        A stream that was expected from two versions is left out.

        :param saved: list of (key of the stream, version)
        """
        versions_by_stream = collections.defaultdict(set)
        for stream, version in saved:
            versions_by_stream[stream].add(version)
        for stream, versions in versions_by_stream.items():
            if len(versions) == 1:
                self._add(StreamOrigin(stream, *versions, self.clock()))

    def _is_expected(self, origin):
        return self.expected.get(origin.stream) == origin.version

    def take_unsaved(self, count):
        """Return the newest origins that are still of use, at most a number.

        The others are forgotten.
        """
        oldest_s = self.clock() - VersionHistory.STREAM_LIFE_S
        recent = [each for each in self.unsaved if each.begun_s >= oldest_s]
        self.unsaved.clear()
        return recent[-count:]

    def return_unsaved(self, origins):
        """Queue origins again that could not be saved."""
        self.unsaved.extendleft(reversed(origins))

    async def find(self, request_id):
        """Return where a stream began.

        :param request_id: id of the request that brought its first event
        :returns: :class:`StreamOrigin`, or ``None`` if no router knows
        """
        stream = stream_key(request_id)
        known = self._get(stream)
        if known is not None:
            return known
        await self._wait(self.loaded, self.LOAD_TIMEOUT_S)
        query = self.queries_by_stream.get(stream)
        if query is None:
            query = self._ask(stream)
        try:
            await self._wait(query.done, self.REPLY_TIMEOUT_S)
        finally:
            self.queries_by_stream.pop(stream, None)
        return self._get(stream)

    @staticmethod
    async def _wait(event, timeout_s):
        """Wait until an event is set, or the time has passed."""
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            pass

    def apply(self, record, sender):
        """Handle a record of another router.

        :param record: :class:`StreamOrigin`, :class:`StreamQuery` or
            :class:`StreamUnknown`
        :param sender: (host, port) of the router
        """
        if isinstance(record, StreamQuery):
            known = self._get(record.stream)
            reply = known or StreamUnknown(record.stream)
            self.send_to(reply, [sender])
            return
        query = self.queries_by_stream.get(record.stream)
        if isinstance(record, StreamOrigin):
            self._add(record)
            if query is not None:
                query.done.set()
        elif query is not None:
            query.silent.discard(sender)
            if not query.silent:
                query.done.set()

    def _ask(self, stream):
        asked = self.peers.probable_addresses()
        if len(asked) > self.MAX_ASKED:
            asked = self._owners(stream)
        query = _Query(set(asked))
        self.queries_by_stream[stream] = query
        if asked:
            self.send_to(StreamQuery(stream), asked)
        else:
            query.done.set()
        return query

    def _owners(self, stream):
        """Return the addresses of the routers that know of a stream."""
        addresses = self.peers.probable_addresses()
        addresses.append(self.peers.own_address)
        addresses.sort(
            key=lambda address: rendezvous_score(str(stream), address),
            reverse=True,
        )
        return [
            address
            for address in addresses[: self.OWNER_COUNT]
            if address != self.peers.own_address
        ]

    def _add(self, origin):
        """Add an origin; returns whether it is new."""
        known = self._get(origin.stream)
        if known is not None:
            return False
        self.origins_by_stream[origin.stream] = origin
        self.origins_by_stream.move_to_end(origin.stream)
        oldest_s = self.clock() - VersionHistory.STREAM_LIFE_S
        while self.origins_by_stream:
            first = next(iter(self.origins_by_stream.values()))
            is_full = len(self.origins_by_stream) > self.MAX_STREAMS
            if first.begun_s >= oldest_s and not is_full:
                break
            self.origins_by_stream.popitem(last=False)
        return True

    def _get(self, stream):
        return self.origins_by_stream.get(stream)


class _Query:
    """Hold the routers that have not yet replied to a query."""

    __slots__ = ("silent", "done")

    def __init__(self, silent):
        self.silent = silent
        self.done = asyncio.Event()


def stream_key(request_id):
    """Return the 64-bit key of a stream.

    :param request_id: id of the request that brought its first event
    """
    return xxhash.xxh64_intdigest(request_id.encode())
