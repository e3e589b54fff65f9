"""Give rows to other routers, and get rows from them.

A router that the platform's store turns away, or that lags behind, learns
from a router that knows more.
"""

import asyncio

import aiohttp
import aiohttp.web
import cbor2

from boragetrail.direct.discovery import PARTS_PATH, encode_parts
from boragetrail.direct.interfaces import (
    ChangeSet,
    Row,
    RowSource,
    SourceFailure,
    Table,
)

__all__ = ["PeerSource", "RelayServer", "PeerFetcher"]

# Longest silence of a peer.
SILENCE_S = 0.6
CLOSE_TIMEOUT_S = 0.1
LEAST_COMPRESSED_BYTES = 2048
CONTENT_TYPE = "application/cbor"
PATH = "/rows"


def encode_changes(change_set):
    """Return a change set as bytes."""
    rows = [[row.key, row.version, row.data] for row in change_set.rows]
    return cbor2.dumps([change_set.version, change_set.is_snapshot, rows])


def decode_changes(data):
    """Return a change set, or a failure if the bytes can't be read."""
    try:
        version, is_snapshot, rows = cbor2.loads(data)
        decoded = [_row(*row) for row in rows]
    except Exception as exc:
        # Readers of tagged values raise errors of many kinds.
        return SourceFailure(f"rows of a peer: {exc!r}")
    if type(version) is not int or type(is_snapshot) is not bool:
        return SourceFailure("rows of a peer: no version")
    return ChangeSet(decoded, version, is_snapshot)


def _row(key, version, data):
    if not isinstance(key, str) or type(version) is not int:
        raise ValueError(f"row {key!r} of version {version!r}")
    if data is not None and not isinstance(data, bytes):
        raise ValueError(f"row {key!r} holds no bytes")
    return Row(key, version, data)


class RelayServer:
    """Serve rows, cached parts, the state dump and the metrics.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param parts: :class:`~boragetrail.policy.prefix.PartMap`
    :param dump: function that returns the state of the process
    :param metrics: function that returns (body, header fields)
    """

    def __init__(self, directory, parts, dump, metrics):
        self.directory = directory
        self.parts = parts
        self.dump = dump
        self.metrics = metrics
        self.runner = None

    async def open(self, addresses):
        """Open the ports.

        :param addresses: list of (host, port)
        """
        app = aiohttp.web.Application()
        app.router.add_get(PATH, self._rows)
        app.router.add_get(PARTS_PATH, self._parts)
        app.router.add_get("/dump", self._dump)
        app.router.add_get("/metrics", self._metrics)
        self.runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self.runner.setup()
        for host, port in addresses:
            await aiohttp.web.TCPSite(self.runner, host, port).start()

    async def close(self):
        """Close the port."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _rows(self, request):
        try:
            table = Table(request.query.get("table", ""))
            since = int(request.query.get("since", "-1"))
        except ValueError:
            return aiohttp.web.Response(status=400)
        rows = self.directory.mirrors[table].since(since)
        return _encoded(encode_changes(rows))

    async def _parts(self, request):
        return _encoded(encode_parts(self.parts))

    async def _dump(self, request):
        return aiohttp.web.json_response(self.dump())

    async def _metrics(self, request):
        body, headers = self.metrics(request.headers.getall("Accept", []))
        return aiohttp.web.Response(body=body, headers=headers)


def _encoded(body):
    """Return an answer to another router; a large one is compressed."""
    answer = aiohttp.web.Response(body=body, content_type=CONTENT_TYPE)
    if len(body) >= LEAST_COMPRESSED_BYTES:
        answer.enable_compression()
    return answer


class PeerSource(RowSource):
    """Read rows from one other router.

    :param session: ``aiohttp.ClientSession``
    :param host: its host
    :param port: port of its :class:`RelayServer`
    """

    def __init__(self, session, host, port):
        self.session = session
        self.url = f"http://{host}:{port}{PATH}"

    async def read(self, table):
        """Return all rows; see the base class."""
        return await self.changes(table, -1, 0.0)

    async def changes(self, table, since, wait_s):
        """Return newer rows at once; see the base class."""
        query = {"table": table.value, "since": str(since)}
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=SILENCE_S, sock_read=SILENCE_S
        )
        try:
            async with self.session.get(
                self.url, params=query, timeout=timeout
            ) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            return SourceFailure(f"GET {self.url}: {exc!r}")
        if answer.status != 200:
            return SourceFailure(f"GET {self.url}: status {answer.status}")
        return decode_changes(data)


class PeerFetcher:
    """Fetch rows from peers that know more than this router.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param make_source: function from a peer to a
        :class:`~boragetrail.direct.interfaces.RowSource`
    :param feeds_by_table: :class:`~boragetrail.direct.feed.Feed` by table
    :param random: random generator
    """

    # Time in which the store itself usually tells a change, if it is asked
    # just now and if it is not.
    FETCH_DELAY_S = 1.0
    IDLE_FETCH_DELAY_S = 0.1

    def __init__(
        self,
        directory,
        peers,
        make_source,
        feeds_by_table,
        random,
    ):
        self.directory = directory
        self.feeds_by_table = feeds_by_table
        self.peers = peers
        self.make_source = make_source
        self.random = random
        self.fetching = set()
        self.newest_failed = set()

    async def fetch_if_behind(self):
        """Fetch the tables of which a peer knows a newer version."""
        for table in Table:
            if self._ahead(table) and table not in self.fetching:
                self.fetching.add(table)
                try:
                    await self._pull(table)
                finally:
                    self.fetching.discard(table)

    def is_behind(self):
        """Return whether a peer knows more and no fetch is under way."""
        return any(
            self._ahead(table) for table in Table if table not in self.fetching
        )

    async def _pull(self, table):
        paused = not self.feeds_by_table[table].is_polling()
        patience_s = self.IDLE_FETCH_DELAY_S if paused else self.FETCH_DELAY_S
        await asyncio.sleep(patience_s * self.random.uniform(0.7, 1.3))
        ahead = self._ahead(table)
        if not ahead:
            return
        version = self.directory.mirrors[table].version
        source = self.make_source(self._choose(ahead, table, version))
        result = await source.changes(table, version, 0.0)
        if isinstance(result, SourceFailure):
            self.newest_failed.add(table)
            return
        if self.feeds_by_table[table].liveness.is_down():
            # Deletions may be lapses of living servers.
            self.directory.store_unavailable()
        self.directory.apply(table, result)

    def _choose(self, ahead, table, version):
        """Return the peer to fetch a table from."""
        if version < 0 and table not in self.newest_failed:
            # What was withdrawn since must not come into force again.
            versions = [peer.versions_by_table[table.value] for peer in ahead]
            newest = max(versions)
            ahead = [
                peer for peer, known in zip(ahead, versions) if known == newest
            ]
        # Slow links have enough to do with their own callers.
        fastest = max(peer.link_mbps for peer in ahead)
        ahead = [peer for peer in ahead if peer.link_mbps >= fastest]
        return self.random.choice(ahead)

    def _ahead(self, table):
        version = self.directory.mirrors[table].version
        return self.peers.peers_ahead(table.value, version)
