"""Test doubles of the table service, stores and list of VMs."""

import bisect
import time

import aiohttp.web

from standins.faults import Faults

__all__ = ["make_app"]

WRITES_PER_S = 400
READS_PER_S = 2000


class TokenBucket:
    """Hold the tokens of a rate limit; the burst is one second's worth."""

    def __init__(self, per_s):
        self.per_s = per_s
        self.tokens = per_s
        self.refilled_at_s = time.monotonic()

    def try_acquire(self):
        """Take a token; return whether there was one."""
        now = time.monotonic()
        refilled = (now - self.refilled_at_s) * self.per_s
        self.tokens = min(self.per_s, self.tokens + refilled)
        self.refilled_at_s = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Table:
    """Hold versioned rows in the order of their keys."""

    def __init__(self):
        self.rows_by_key = {}
        self.keys = []
        self.writes = TokenBucket(WRITES_PER_S)
        self.reads = TokenBucket(READS_PER_S)
        self.counts = {"transactions": 0, "rows": 0, "reads": 0}

    def routes(self):
        """Return the routes of the table service."""
        return [
            aiohttp.web.post("/transact", self._transact),
            aiohttp.web.get("/row", self._row),
            aiohttp.web.get("/rows", self._scan),
            aiohttp.web.get("/counts", self._counts),
        ]

    async def _counts(self, request):
        return aiohttp.web.json_response(self.counts)

    async def _transact(self, request):
        if not self.writes.try_acquire():
            return aiohttp.web.json_response({}, status=429)
        puts = (await request.json())["puts"]
        if len({put["key"] for put in puts}) < len(puts):
            return aiohttp.web.json_response({}, status=400)
        conflicts = [
            self._as_dict(put["key"])
            for put in puts
            if put["if_version"] is not None
            and self._version(put["key"]) != put["if_version"]
        ]
        if conflicts:
            body = {"conflicts": conflicts}
            return aiohttp.web.json_response(body, status=409)
        self.counts["transactions"] += 1
        self.counts["rows"] += len(puts)
        versions = [self._put(put["key"], put["value"]) for put in puts]
        return aiohttp.web.json_response({"versions": versions})

    async def _row(self, request):
        if not self.reads.try_acquire():
            return aiohttp.web.json_response({}, status=429)
        self.counts["reads"] += 1
        return aiohttp.web.json_response(self._as_dict(request.query["key"]))

    async def _scan(self, request):
        if not self.reads.try_acquire():
            return aiohttp.web.json_response({}, status=429)
        self.counts["reads"] += 1
        prefix, after = request.query["prefix"], request.query["after"]
        rows = []
        begin = bisect.bisect_right(self.keys, max(after, prefix))
        for key in self.keys[begin : begin + int(request.query["limit"])]:
            if not key.startswith(prefix):
                break
            rows.append(self._as_dict(key))
        return aiohttp.web.json_response({"rows": rows})

    def _version(self, key):
        return self.rows_by_key.get(key, (0, None))[0]

    def _as_dict(self, key):
        version, value = self.rows_by_key.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def _put(self, key, value):
        if key not in self.rows_by_key:
            bisect.insort(self.keys, key)
        version = self._version(key) + 1
        self.rows_by_key[key] = (version, value)
        return version


class ObjectStore:
    """Hold objects by key."""

    def __init__(self):
        self.data_by_key = {}

    def routes(self):
        """Return the routes of the object store."""
        return [
            aiohttp.web.get("/objects/{key:.*}", self._get),
            aiohttp.web.put("/objects/{key:.*}", self._put),
        ]

    async def _get(self, request):
        data = self.data_by_key.get(request.match_info["key"])
        if data is None:
            return aiohttp.web.Response(status=404)
        return aiohttp.web.Response(body=data)

    async def _put(self, request):
        self.data_by_key[request.match_info["key"]] = await request.read()
        return aiohttp.web.Response(status=200)


class VmList:
    """Hold the changes of the list of VMs, visible after a delay."""

    def __init__(self, lag_s):
        self.lag_s = lag_s
        self.revision = 0
        self.changes = []

    def routes(self):
        """Return the routes of the list of VMs."""
        return [
            aiohttp.web.get("/vms", self._list),
            aiohttp.web.post("/vms", self._change),
        ]

    async def _list(self, request):
        since = int(request.query["since"])
        visible_s = time.monotonic() - self.lag_s
        vms_by_name, revision = {}, since
        for number, at_s, vm in self.changes:
            if number > since and at_s <= visible_s:
                vms_by_name[vm["name"]] = vm
                revision = number
        body = {"revision": revision, "vms": list(vms_by_name.values())}
        return aiohttp.web.json_response(body)

    async def _change(self, request):
        for vm in (await request.json())["vms"]:
            self.revision += 1
            self.changes.append((self.revision, time.monotonic(), vm))
        return aiohttp.web.json_response({"revision": self.revision})


class WeightStore:
    """Hold the time of the next fetch that the weight store allows."""

    def __init__(self, per_s):
        self.interval_s = 1 / per_s
        self.next_fetch_s = 0.0

    def routes(self):
        """Return the route of the weight store."""
        return [aiohttp.web.post("/reserve", self._reserve)]

    async def _reserve(self, request):
        now = time.monotonic()
        wait_s = max(0.0, self.next_fetch_s - now)
        if wait_s == 0:
            self.next_fetch_s = now + self.interval_s
        return aiohttp.web.json_response({"wait_s": wait_s})


def make_app(kind, lag_s=0.5, per_s=2.0):
    """Return the web application of one service of the platform.

    :param kind: ``table``, ``objects``, ``vms`` or ``weights``
    :param lag_s: delay of the list of VMs in seconds
    :param per_s: fetches per second that the weight store allows
    """
    services = {
        "table": Table,
        "objects": ObjectStore,
        "vms": lambda: VmList(lag_s),
        "weights": lambda: WeightStore(per_s),
    }
    faults = Faults()
    app = aiohttp.web.Application(
        middlewares=[faults.middleware], client_max_size=1 << 28
    )
    app.add_routes(services[kind]().routes())
    app.add_routes(faults.routes())
    return app
