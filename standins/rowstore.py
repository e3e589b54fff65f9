"""Test double of the platform's metadata store, with faults."""

import asyncio
import base64
import json
import time

import aiohttp.web

__all__ = ["RowStore"]

MAX_WAIT_S = 30.0
SILENCE_S = 60.0


class RowStore:
    """Hold rows in memory and serve reads, writes and a feed of changes.

    :ivar status: status that every call gets, or 0 to serve calls
    :ivar silent: whether calls get no response
    :ivar drops_responses: whether writes take effect and get no response
    :ivar oldest_version: oldest version from which the feed can be read
    :ivar epoch: epoch that all responses name; 0 to name none
    :ivar calls: number of calls so far
    """

    def __init__(self):
        self.rows_by_key = {}
        self.version = 0
        self.oldest_version = 0
        self.epoch = 1
        self.copy = ({}, 0)
        self.status = 0
        self.silent = False
        self.drops_responses = False
        self.calls = 0
        self.changed = asyncio.Event()
        self.runner = None
        self.address = ""

    async def open(self, host="127.0.0.1"):
        """Listen on a free port."""
        app = aiohttp.web.Application(middlewares=[self._faults])
        app.router.add_post("/-/rows-tx", self._transaction)
        app.router.add_get("/-/rows-get", self._get)
        app.router.add_get("/-/rows-feed", self._feed)
        self.runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, host, 0).start()
        port = self.runner.addresses[0][1]
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening."""
        await self.runner.cleanup()

    def put(self, table, key, value):
        """Write a row with its value as JSON; return the row's version."""
        return self._write(table, key, json.dumps(value).encode())

    def remove(self, table, key):
        """Delete a row; return the version of the deletion."""
        return self._write(table, key, None)

    def lapse(self, table):
        """Delete all rows of a table, as if their writers went silent."""
        for (name, key), (_, data) in list(self.rows_by_key.items()):
            if name == table and data is not None:
                self.remove(table, key)

    def drop_history(self):
        """Drop the history of changes up to the current version."""
        self.oldest_version = self.version

    def save_copy(self):
        """Copy all rows, for a later return from this copy."""
        self.copy = (dict(self.rows_by_key), self.version)

    def return_from_copy(self):
        """Lose all that was written since the copy; a new epoch begins.

        :returns: values of the rows that were lost, by (table, key)
        """
        before = self.rows_by_key
        rows_by_key, self.version = self.copy
        self.rows_by_key = dict(rows_by_key)
        self.oldest_version = min(self.oldest_version, self.version)
        self.epoch += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return {
            key: row[1]
            for key, row in before.items()
            if self.rows_by_key.get(key) != row
        }

    def write_again(self, lost, tables):
        """Write rows of some tables that a return from a copy has lost.

        :param lost: result of :meth:`return_from_copy`
        :param tables: names of the tables
        """
        for (table, key), data in lost.items():
            if table in tables:
                self._write(table, key, data)

    def _write(self, table, key, data):
        self.version += 1
        self.rows_by_key[table, key] = (self.version, data)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    @aiohttp.web.middleware
    async def _faults(self, request, handler):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(SILENCE_S)
        if self.status:
            return self._name_epoch(aiohttp.web.Response(status=self.status))
        response = self._name_epoch(await handler(request))
        if self.drops_responses and request.method == "POST":
            request.transport.abort()
        return response

    def _name_epoch(self, response):
        if self.epoch:
            response.headers["Store-Era"] = str(self.epoch)
        return response

    async def _transaction(self, request):
        body = await request.json()
        for row in body["expect"]:
            current = self.rows_by_key.get(
                (row["table"], row["key"]), (0, None)
            )
            if current[0] != row["ver"]:
                return self._respond({"rows": []}, 412)
        for row in body["write"]:
            data = base64.b64decode(row["data"])
            self._write(row["table"], row["key"], data)
        for row in body["remove"]:
            self._write(row["table"], row["key"], None)
        return self._respond({})

    async def _get(self, request):
        rows = self._rows(request.query["table"], 0)
        present = [row for row in rows if not row.get("deleted")]
        return self._respond({"rows": present, "hasMore": False})

    async def _feed(self, request):
        since = int(request.query["sinceRev"])
        wait_s = min(MAX_WAIT_S, int(request.query["waitMs"]) / 1000.0)
        end = time.monotonic() + wait_s
        while True:
            if not self.oldest_version <= since <= self.version:
                return self._respond({}, 410)
            rows = self._rows(request.query["table"], since)
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                return self._respond({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _rows(self, table, since):
        rows = []
        for (name, key), (version, data) in self.rows_by_key.items():
            if name != table or version <= since:
                continue
            row = {"table": name, "part": "", "key": key, "ver": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            rows.append(row)
        return sorted(rows, key=lambda row: row["ver"])

    def _respond(self, content, status=200):
        now_ms = int(time.monotonic() * 1000)
        content = {**content, "ver": self.version, "nowMs": now_ms}
        return aiohttp.web.json_response(content, status=status)
