"""Client of the platform's metadata store."""

import asyncio
import base64
import json

import aiohttp

from boragetrail.direct.interfaces import (
    ChangeSet,
    MemberRegistry,
    Row,
    RowSource,
    SourceFailure,
)
from boragetrail.platform.names import MEMBERS_TABLE, TABLE_NAMES

__all__ = ["PlatformStoreClient"]

# Read timeout, in addition to the time that a long poll asks for.
TIMEOUT_S = 1.0
STATUS_HISTORY_LOST = 410
PAGE_ROWS = 500


class PlatformStoreClient(RowSource, MemberRegistry):
    """Client that reads tables and registers routers in the store.

    :param session: ``aiohttp.ClientSession``
    :param address: ``host:port`` of the store
    :ivar calls: number of calls so far
    """

    def __init__(self, session, address):
        self.session = session
        self.base = f"http://{address}"
        self.calls = 0

    async def read(self, table):
        """Return all rows of a table; see the base class."""
        return await self._read_table(TABLE_NAMES[table])

    async def changes(self, table, since, wait_s):
        """Return changed rows; see the base class."""
        query = {
            "table": TABLE_NAMES[table],
            "sinceRev": str(since),
            "waitMs": str(int(wait_s * 1000)),
        }
        data = await self._call("GET", "/-/rows-feed", wait_s, params=query)
        if isinstance(data, SourceFailure):
            return data
        return _change_set(data, False)

    async def announce(self, host):
        """Write a row for a router; see the base class."""
        row = {"table": MEMBERS_TABLE, "part": "", "key": host, "data": ""}
        body = {"expect": [], "write": [row], "remove": []}
        data = await self._call("POST", "/-/rows-tx", 0.0, json=body)
        return not isinstance(data, SourceFailure)

    async def members(self):
        """Return the hosts of routers; see the base class."""
        rows = await self._read_table(MEMBERS_TABLE)
        if isinstance(rows, SourceFailure):
            return []
        return [row.key for row in rows.rows]

    async def _read_table(self, name):
        rows = []
        version = None
        query = {"table": name, "part": "", "limit": str(PAGE_ROWS)}
        while True:
            data = await self._call("GET", "/-/rows-get", 0.0, params=query)
            if isinstance(data, SourceFailure):
                return data
            page = _change_set(data, True)
            if isinstance(page, SourceFailure):
                return page
            rows.extend(page.rows)
            # Later pages may be newer, so the feed resumes at the version of
            # the first page.
            version = page.version if version is None else version
            if not data.get("hasMore") or not page.rows:
                return ChangeSet(rows, version, True)
            # The range includes its first key.
            query["source"] = page.rows[-1].key + "\x00"

    async def _call(self, method, path, wait_s, **options):
        url = self.base + path
        # Large rows take long over a slow network, so there is a timeout
        # between reads and none in total.
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=TIMEOUT_S,
            sock_read=wait_s + TIMEOUT_S,
        )
        self.calls += 1
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as exc:
            return SourceFailure(f"{method} {path}: {exc!r}")
        if response.status != 200:
            detail = f"{method} {path}: status {response.status}"
            return SourceFailure(
                detail, response.status == STATUS_HISTORY_LOST
            )
        try:
            return json.loads(body)
        except ValueError as exc:
            return SourceFailure(f"{method} {path}: {exc!r}")


def _change_set(data, is_snapshot):
    try:
        rows = [_row(row) for row in data["rows"]]
        return ChangeSet(rows, int(data["ver"]), is_snapshot)
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        return SourceFailure(f"invalid rows from the store: {exc!r}")


def _row(data):
    if data.get("deleted"):
        return Row(data["key"], int(data["ver"]), None)
    content = base64.b64decode(data.get("data") or "")
    return Row(data["key"], int(data["ver"]), content)
