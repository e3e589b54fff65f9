"""Exchange of rows of the platform's tables between routers.

A router that gets no responses from the store, or whose rows are outdated,
fetches newer rows from another router.
"""

import asyncio

import aiohttp
import aiohttp.web
import cbor2

from boragetrail.direct.buffers import MAX_PEER_BODY_BYTES
from boragetrail.direct import checks
from boragetrail.direct.discovery import PARTS_PATH, encode_parts
from boragetrail.direct.interfaces import (
    ChangeSet,
    Row,
    RowSource,
    SourceFailure,
    Table,
)
from boragetrail.direct.knowledge.epochs import RetainedRow, RowPosition
from boragetrail.utils.responses import read_body

__all__ = ["PeerSource", "RelayServer", "PeerFetcher"]

# Timeout for connecting to a peer and for each read from it.
READ_TIMEOUT_S = 0.6
CLOSE_TIMEOUT_S = 0.1
MIN_COMPRESSED_BYTES = 2048
CONTENT_TYPE = "application/cbor"
ROWS_PATH = "/rows"


def encode_changes(change_set, names_epochs=True):
    """Encode a change set as bytes.

    :param change_set: :class:`~boragetrail.direct.interfaces.ChangeSet`
    :param names_epochs: whether the receiver knows of epochs
    """
    rows = [[row.key, row.version, row.data] for row in change_set.rows]
    fields = [change_set.version, change_set.is_snapshot, rows]
    if names_epochs:
        retained = [
            [row.key, row.version, row.data, row.copied_version]
            for row in change_set.retained or ()
        ]
        retained_ms = int(1000 * change_set.retained_s)
        fields += [change_set.epoch or 0, retained, retained_ms]
    return cbor2.dumps(fields)


def decode_changes(data):
    """Decode a change set, with or without epochs.

    :param data: bytes from another router
    :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`, or
        :class:`~boragetrail.direct.interfaces.SourceFailure` if the bytes
        are invalid
    """
    try:
        version, is_snapshot, rows, *further = cbor2.loads(data)
        decoded = [_row(*row) for row in rows]
        changes = ChangeSet(
            decoded, checks.version(version), checks.flag(is_snapshot)
        )
        if further:
            epoch, retained, retained_ms = further[:3]
            changes.epoch = checks.integer(epoch)
            changes.retained = [_retained(*row) for row in retained]
            changes.retained_s = checks.integer(retained_ms) / 1000.0
    except Exception as exc:
        # cbor2's decoders of tagged values raise exceptions of many types.
        return SourceFailure(f"invalid rows from a peer: {exc!r}")
    return changes


def _row(key, version, data):
    if not isinstance(key, str) or type(version) is not int:
        raise ValueError(f"row with key {key!r} and version {version!r}")
    if data is not None and not isinstance(data, bytes):
        raise ValueError(f"data of row {key!r} is not bytes")
    return Row(key, version, data)


def _retained(key, version, data, copied_version):
    row = _row(key, version, data)
    copied_version = checks.version(copied_version)
    return RetainedRow(row.key, row.version, row.data, copied_version)


class RelayServer:
    """Serves rows, cached prompt parts, the state dump and the metrics.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param prefix_index: :class:`~boragetrail.policy.prefix.PrefixCacheIndex`
    :param dump: function that returns the state of the process
    :param metrics: function that gets the values of the ``Accept`` header and
        returns (body, header fields)
    """

    def __init__(self, directory, prefix_index, dump, metrics):
        self.directory = directory
        self.prefix_index = prefix_index
        self.dump = dump
        self.metrics = metrics
        self.runner = None

    async def open(self, addresses):
        """Start to serve.

        :param addresses: list of (host, port)
        """
        app = aiohttp.web.Application()
        app.router.add_get(ROWS_PATH, self._rows)
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
        """Stop serving and close the ports."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _rows(self, request):
        query = request.query
        try:
            table = Table(query.get("table", ""))
            since = int(query.get("since", "-1"))
            # A router that names no epoch knows of none.
            epoch = int(query.get("epoch", self.directory.epoch(table)))
        except ValueError:
            return aiohttp.web.Response(status=400)
        position = RowPosition(since, epoch)
        changes = self.directory.changes_since(table, position)
        return _encoded(encode_changes(changes, "epoch" in query))

    async def _parts(self, request):
        return _encoded(encode_parts(self.prefix_index))

    async def _dump(self, request):
        return aiohttp.web.json_response(self.dump())

    async def _metrics(self, request):
        body, headers = self.metrics(request.headers.getall("Accept", []))
        return aiohttp.web.Response(body=body, headers=headers)


def _encoded(body):
    """Return a response to another router; a large body is compressed."""
    response = aiohttp.web.Response(body=body, content_type=CONTENT_TYPE)
    if len(body) >= MIN_COMPRESSED_BYTES:
        response.enable_compression()
    return response


class PeerSource(RowSource):
    """Reads rows from one other router.

    :param session: ``aiohttp.ClientSession``
    :param host: host of the router
    :param port: port of its :class:`RelayServer`
    """

    def __init__(self, session, host, port):
        self.session = session
        self.url = f"http://{host}:{port}{ROWS_PATH}"

    async def read(self, table):
        """Return all rows; see the base class."""
        return await self.changes(table, RowPosition(-1), 0.0)

    async def changes(self, table, since, wait_s):
        """Return newer rows without waiting; see the base class."""
        query = {
            "table": table.value,
            "since": str(since.version),
            "epoch": str(since.epoch),
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=READ_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        try:
            async with self.session.get(
                self.url, params=query, timeout=timeout
            ) as response:
                data = await read_body(response, MAX_PEER_BODY_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            return SourceFailure(f"GET {self.url}: {exc!r}")
        if response.status != 200:
            return SourceFailure(f"GET {self.url}: status {response.status}")
        return decode_changes(data)


class PeerFetcher:
    """Fetches rows from peers that have newer rows than this router.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param make_source: function that gets a
        :class:`~boragetrail.direct.peer.Peer` and returns a
        :class:`~boragetrail.direct.interfaces.RowSource`
    :param feeds_by_table: :class:`~boragetrail.direct.feed.Feed` by table
    :param random: random generator
    :ivar newest_peer_failed: tables of which a fetch has failed
    """

    # Delay before a fetch while this router polls the store. The store itself
    # usually reports the change in this time.
    FETCH_DELAY_S = 0.25
    # The same while this router does not poll the store.
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
        self.newest_peer_failed = set()

    async def fetch_if_behind(self):
        """Fetch the changes of each table of which a peer has newer rows."""
        for table in Table:
            if self._peers_ahead(table) and table not in self.fetching:
                self.fetching.add(table)
                try:
                    await self._fetch(table)
                finally:
                    self.fetching.discard(table)

    def is_behind(self):
        """Return whether a table is out of date and not being fetched."""
        return any(
            self._peers_ahead(table)
            for table in Table
            if table not in self.fetching
        )

    async def _fetch(self, table):
        is_idle = not self.feeds_by_table[table].is_polling()
        delay_s = self.IDLE_FETCH_DELAY_S if is_idle else self.FETCH_DELAY_S
        await asyncio.sleep(delay_s * self.random.uniform(0.7, 1.3))
        ahead = self._peers_ahead(table)
        if not ahead:
            return
        position = self.directory.mirrors[table].position()
        peer = self._choose_peer(ahead, table, position)
        source = self.make_source(peer)
        result = await source.changes(table, position, 0.0)
        if isinstance(result, SourceFailure):
            self.newest_peer_failed.add(table)
            return
        if self.feeds_by_table[table].liveness.is_down():
            # Entries of running servers may have expired in the outage.
            self.directory.start_peer_expiry_grace()
        if self.directory.apply(table, result):
            self.feeds_by_table[table].give_up_poll()

    def _choose_peer(self, ahead, table, position):
        """Return the peer to fetch a table from."""
        if position.version < 0 and table not in self.newest_peer_failed:
            # An outdated configuration may hold keys that were revoked
            # later, so a router without rows fetches from a peer with the
            # newest rows.
            known = [
                position.of_peer(peer.versions_by_table, table.value)
                for peer in ahead
            ]
            newest = max(known)
            ahead = [
                peer for peer, each in zip(ahead, known) if each == newest
            ]
        # Slow links are needed for the traffic of their routers' callers.
        fastest = max(peer.link_mbps for peer in ahead)
        ahead = [peer for peer in ahead if peer.link_mbps >= fastest]
        return self.random.choice(ahead)

    def _peers_ahead(self, table):
        position = self.directory.mirrors[table].position()
        return self.peers.peers_ahead(table.value, position)
