"""Client of the platform's metadata store."""

import asyncio
import base64
import dataclasses
import json
import struct
import time

import aiohttp

from boragetrail.direct.interfaces import (
    ChangeSet,
    RowSource,
    SourceFailure,
    Table,
)
from boragetrail.direct.registries import (
    CrashRegistry,
    MemberRegistry,
    RegisteredRouter,
    RolloutRegistry,
    StreamRegistry,
    VersionRegistry,
)
from boragetrail.events import Event, log_event
from boragetrail.platform.decode import DECODE_ERRORS
from boragetrail.platform.names import (
    CRASHES_TABLE,
    EPOCH_HEADER,
    MEMBERS_TABLE,
    ROLLOUT_PREFIX,
    STATES_BY_STAGE,
    STATUS_TABLE,
    STREAMS_TABLE,
    TABLE_NAMES,
    VERSIONS_TABLE,
)
from boragetrail.platform.rows import (
    TIME,
    decode_change_set,
    decode_saved_rollout,
    decode_saved_versions,
    decode_streams,
    decode_time_ms,
    registration_age_s,
    saved_age_s,
)
from boragetrail.utils.calls import CallTrace
from boragetrail.utils.responses import read_body

__all__ = ["PlatformStoreClient"]

# Timeout of the connection attempt, and of each read. The read timeout of a
# long poll is longer by the time that the poll asks the store to wait.
CONNECT_AND_READ_TIMEOUT_S = 1.0
# HTTP status if the store no longer keeps the changes that were asked for.
HISTORY_LOST_STATUS = 410
MAX_PAGE_ROWS = 500
# A page is smaller; the changes since a version may be more than a page.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Limit on the data of all rows of a table.
MAX_TABLE_BYTES = 32 * 1024 * 1024
MAX_EPOCH_DIGITS = 18
# Different epochs that are logged as invalid, each once.
MAX_ODD_EPOCHS = 100
MAX_TIME_MS = 2.0**53
MAX_LOGGED_LENGTH = 80


class PlatformStoreClient(
    RowSource,
    MemberRegistry,
    VersionRegistry,
    StreamRegistry,
    CrashRegistry,
    RolloutRegistry,
):
    """Client that reads tables and saves what outlives routers in the store.

    :param session: ``aiohttp.ClientSession``
    :param address: ``host:port`` of the store
    :param record_unanswered: function that gets the
        :class:`~boragetrail.utils.calls.ConnectionUse` of each call that
        got no response
    :ivar calls: number of HTTP requests since the start
    :ivar epoch: latest epoch of the store, 0 if its responses name none
    :ivar odd_epochs: texts that named an invalid or earlier epoch
    :ivar store_time: (store's time in ms, monotonic time at which a response
        named it), or ``None``
    """

    def __init__(self, session, address, record_unanswered=lambda use: None):
        self.session = session
        self.base = f"http://{address}"
        self.record_unanswered = record_unanswered
        self.calls = 0
        self.epoch = 0
        self.odd_epochs = set()
        self.store_time = None

    async def read(self, table):
        """Return all rows of a table; see the base class."""
        return await self._read_table(TABLE_NAMES[table])

    async def changes(self, table, since, wait_s):
        """Return the rows changed after a version; see the base class."""
        query = {
            "table": TABLE_NAMES[table],
            "sinceRev": str(since.version),
            "waitMs": str(int(wait_s * 1000)),
        }
        response = await self._call(
            "GET", "/-/rows-feed", wait_s, params=query
        )
        if isinstance(response, SourceFailure):
            return response
        return decode_change_set(response.content, False, response.epoch)

    async def announce(self, host):
        """Write a router's row to the table of routers; see the base class."""
        if self.store_time is None:
            # The row holds the store's time, which every response names.
            await self._read_table(MEMBERS_TABLE)
        data = TIME.pack(self._now_ms())
        return await self._write_row(MEMBERS_TABLE, host, data)

    async def members(self):
        """Return the registered routers; see the base class."""
        rows = await self._read_table(MEMBERS_TABLE)
        if isinstance(rows, SourceFailure):
            return []
        now_ms = self._now_ms()
        return [
            RegisteredRouter(
                row.key, registration_age_s(row.data, now_ms), row.version
            )
            for row in rows.rows
        ]

    async def withdraw(self, routers):
        """Remove rows from the table of routers; see the base class."""
        rows = [_row(MEMBERS_TABLE, router.host) for router in routers]
        expect = [
            {**row, "ver": router.row_version}
            for row, router in zip(rows, routers)
        ]
        return await self._change_rows(expect, [], rows)

    async def read_versions(self):
        """Return the saved versions by service; see the base class."""
        query = {
            "table": VERSIONS_TABLE,
            "part": "",
            "limit": str(MAX_PAGE_ROWS),
        }
        response = await self._call("GET", "/-/rows-get", 0.0, params=query)
        if isinstance(response, SourceFailure):
            return response
        rows = decode_change_set(response.content, True, response.epoch)
        if isinstance(rows, SourceFailure):
            return rows
        try:
            now_ms = decode_time_ms(response.content.get("nowMs"))
        except DECODE_ERRORS:
            return SourceFailure("rows without the time of the store")
        return {
            row.key: saved
            for row in rows.rows
            if (saved := decode_saved_versions(row, now_ms, rows.epoch))
            is not None
        }

    async def save_versions(self, service, saved):
        """Save the versions of a service; see the base class."""
        content = {
            "listed": saved.listed,
            "gone": saved.gone_ms_by_version,
        }
        data = json.dumps(content).encode()
        was_written = await self._write_row(
            VERSIONS_TABLE, service, data, saved.row_version
        )
        # In another epoch, the expected version is that of another row.
        is_same_row = not saved.row_version or self.epoch == saved.epoch
        return was_written and is_same_row

    async def read_streams(self):
        """Return the saved streams; see the base class."""
        rows = await self._read_table(STREAMS_TABLE)
        if isinstance(rows, SourceFailure):
            return rows
        return [
            stream for row in rows.rows for stream in decode_streams(row.data)
        ]

    async def save_streams(self, name, streams_by_version):
        """Replace a row of saved streams; see the base class."""
        content = {
            version: base64.b64encode(
                struct.pack(f">{len(streams)}Q", *streams)
            ).decode()
            for version, streams in streams_by_version.items()
        }
        data = json.dumps(content).encode()
        return await self._write_row(STREAMS_TABLE, name, data)

    async def read_crashes(self):
        """Return the saved reports of crashes; see the base class."""
        rows = await self._read_table(CRASHES_TABLE)
        if isinstance(rows, SourceFailure):
            return rows
        now_ms = self._now_ms()
        return [
            (row.key, row.data[TIME.size :], saved_age_s(row.data, now_ms))
            for row in rows.rows
            if len(row.data) >= TIME.size
        ]

    async def save_crashes(self, name, data):
        """Replace a row of reports of crashes; see the base class."""
        data = TIME.pack(self._now_ms()) + data
        return await self._write_row(CRASHES_TABLE, name, data)

    async def read_rollouts(self):
        """Return the saved status of rollouts; see the base class."""
        rows = await self._read_table(STATUS_TABLE)
        if isinstance(rows, SourceFailure):
            return rows
        return {
            row.key.removeprefix(ROLLOUT_PREFIX): decode_saved_rollout(
                row, rows.epoch
            )
            for row in rows.rows
            if row.key.startswith(ROLLOUT_PREFIX)
        }

    async def save_rollout(self, order, stage, saved):
        """Save how far a rollout is; see the base class."""
        key = ROLLOUT_PREFIX + order.service
        content = {"state": STATES_BY_STAGE[stage], "to": order.to}
        ordered = _row(TABLE_NAMES[Table.OPERATORS], order.row_key)
        return await self._write_row(
            STATUS_TABLE,
            key,
            json.dumps(content).encode(),
            saved.row_version,
            [{**ordered, "ver": order.row_version}],
        )

    def _now_ms(self):
        """Return the store's time, or 0 if no response has named it."""
        if self.store_time is None:
            return 0.0
        store_ms, at_s = self.store_time
        return store_ms + 1000.0 * (time.monotonic() - at_s)

    def _record_time(self, content):
        """Record the store's time that the body of a response names."""
        now_ms = content.get("nowMs") if isinstance(content, dict) else None
        if type(now_ms) in (int, float) and 0 <= now_ms < MAX_TIME_MS:
            self.store_time = (float(now_ms), time.monotonic())

    async def _write_row(
        self, table, key, data, expected_version=None, expected_rows=()
    ):
        """Write a row, under a condition if a version is expected.

        :param expected_rows: further rows, each with the version that it must
            have
        :returns: whether it was written
        """
        row = _row(table, key)
        expect = list(expected_rows)
        if expected_version is not None:
            expect.append({**row, "ver": expected_version})
        content = base64.b64encode(data).decode()
        return await self._change_rows(expect, [{**row, "data": content}], [])

    async def _change_rows(self, expect, write, remove):
        """Change rows in one transaction; returns whether it was done."""
        body = {"expect": expect, "write": write, "remove": remove}
        result = await self._call("POST", "/-/rows-tx", 0.0, json=body)
        return not isinstance(result, SourceFailure)

    async def _read_table(self, name):
        rows = []
        size = 0
        first = None
        query = {"table": name, "part": "", "limit": str(MAX_PAGE_ROWS)}
        while True:
            response = await self._call(
                "GET", "/-/rows-get", 0.0, params=query
            )
            if isinstance(response, SourceFailure):
                return response
            page = decode_change_set(response.content, True, response.epoch)
            if isinstance(page, SourceFailure):
                return page
            rows.extend(page.rows)
            size += sum(len(row.key) + len(row.data) for row in page.rows)
            if size > MAX_TABLE_BYTES:
                return SourceFailure(f"table {name} is too large")
            # Rows may change between the pages, so the feed of changes resumes
            # at the version of the first page.
            first = first or page
            if page.epoch != first.epoch:
                return SourceFailure("the epoch changed between two pages")
            if not response.content.get("hasMore") or not page.rows:
                return ChangeSet(rows, first.version, True, first.epoch)
            # The store returns rows from the key ``source`` on, inclusive; a
            # null character makes the smallest key after the last row's.
            query["source"] = page.rows[-1].key + "\x00"

    async def _call(self, method, path, wait_s, **options):
        url = self.base + path
        # Large rows take long over a slow network, so each read has a timeout
        # and the whole request has none.
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_AND_READ_TIMEOUT_S,
            sock_read=wait_s + CONNECT_AND_READ_TIMEOUT_S,
        )
        self.calls += 1
        trace = CallTrace()
        started_s = time.monotonic()
        try:
            async with self.session.request(
                method,
                url,
                timeout=timeout,
                trace_request_ctx=trace,
                **options,
            ) as response:
                body = await read_body(response, MAX_BODY_BYTES)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as exc:
            self.record_unanswered(trace.connection)
            log_event(
                Event.STORE_CALL_UNANSWERED,
                call=f"{method} {path}",
                connection=trace.connection.value,
                took_s=round(time.monotonic() - started_s, 3),
                error=repr(exc),
            )
            return SourceFailure(f"{method} {path}: {exc!r}")
        epoch = self._record_epoch(response.headers.get(EPOCH_HEADER))
        if epoch < self.epoch:
            return SourceFailure(f"{method} {path}: an earlier epoch")
        if response.status != 200:
            detail = f"{method} {path}: status {response.status}"
            return SourceFailure(
                detail, response.status == HISTORY_LOST_STATUS
            )
        try:
            content = json.loads(body)
            self._record_time(content)
            return _Response(content, epoch)
        except DECODE_ERRORS as exc:
            return SourceFailure(f"{method} {path}: {exc!r}")

    def _record_epoch(self, text):
        """Record the epoch that a response names.

        An epoch that is invalid says nothing, as if it were missing.

        :param text: value of the header field, or ``None`` without it
        :returns: epoch, or the latest one if the response names none
        """
        if text is None:
            return self.epoch
        epoch = _parse_epoch(text)
        if epoch is None or epoch < self.epoch:
            self._log_odd_epoch(text)
        if epoch is None:
            return self.epoch
        self.epoch = max(self.epoch, epoch)
        return epoch

    def _log_odd_epoch(self, text):
        """Log an invalid or earlier epoch, each text once."""
        if text in self.odd_epochs or len(self.odd_epochs) >= MAX_ODD_EPOCHS:
            return
        self.odd_epochs.add(text)
        log_event(
            Event.STORE_EPOCH_INVALID,
            value=text[:MAX_LOGGED_LENGTH],
            epoch=self.epoch,
        )


@dataclasses.dataclass(slots=True)
class _Response:
    """Hold the decoded body of a response, and the epoch that it names."""

    content: dict
    epoch: int


def _row(table, key):
    """Return the fields that name a row in a transaction."""
    return {"table": table, "part": "", "key": key}


def _parse_epoch(text):
    """Return the epoch that a text names, or ``None`` if it names none."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    if len(text) > MAX_EPOCH_DIGITS:
        return None
    return int(text)
