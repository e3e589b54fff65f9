"""Soak routers without agents: real processes, faults from outside.

The store and the servers run in this process, which sees what they get and
what callers are told. Faults are drawn in pairs that overlap.
"""

import asyncio
import functools
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
import typer

from boragetrail.direct.tests.conftest import KEY, Cluster, configuration
from boragetrail.direct.tests.conftest import free_port, router_settings
from boragetrail.direct.tests.conftest import service
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer
from standins.proxy import FaultProxy
from tools.directchecks import BOUNDS, COLD_PER_S, NOT_RUN
from tools.directchecks import broken_promises, told
from tools.directfaults import FAULTS
from tools.sums import Arrival

__all__ = ["DirectSoak"]

ROUTERS = 3
SERVERS = 4
WORKERS = 12
EVENTS = 12
EVENT_PAUSE_S = 0.02
DEADLINE_MS = "3000"
FAULT_S = 2.0
CALM_S = 1.0
START_S = 20.0
KINDS = ("order", "status", "stream", "resume")
# Part of the requests that come from the second customer.
OTHER_KEY_PART = 0.2


class Seen:
    """What one caller saw of one request."""

    __slots__ = ("id", "kind", "router", "began_s", "ended_s", "status", "cut")

    def __init__(self, request_id, kind, router):
        self.id = request_id
        self.kind = kind
        self.router = router
        self.began_s = time.monotonic()
        self.ended_s = 0.0
        self.status = 0
        self.cut = ""


class DirectSoak:
    """One run.

    :param seed: seed of faults and callers
    :param folder: folder for settings and logs of the routers
    :ivar violations: what broke a promise, as texts
    :ivar withdrawn: :class:`~tools.sums.Span` in which a key is no longer
        in force
    :ivar cold: :class:`~tools.sums.Span` in which a server is cold
    """

    OTHER_KEY = "key-of-customer-2"

    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.folder = folder
        self.cluster = Cluster()
        self.proxies = []
        self.routers = {}
        self.open_to_callers = set()
        self.runs_by_id = {}
        self.arrivals = []
        self.keys_by_id = {}
        self.withdrawn = []
        self.cold = []
        self.keys = [self.OTHER_KEY]
        self.seen = []
        self.faults = []
        self.spans = []
        self.stops = []
        self.trouble = ""
        self.violations = []
        self.number = 0

    async def start(self):
        """Start the store, the servers and the routers."""
        await self.cluster.open(SERVERS)
        self.write_configuration()
        for server in self.cluster.servers:
            server.default = functools.partial(self.serve, server)
            await self.put_proxy_before(server)
        gossip_port = free_port()
        for number in range(ROUTERS):
            host = f"127.0.0.{number + 1}"
            settings = router_settings(
                f"router-{number}",
                host,
                f"{host}:{gossip_port}",
                self.cluster.store.address,
                seeds=[f"127.0.0.1:{gossip_port}"],
                bounds=BOUNDS,
            )
            path = self.folder / f"router-{number}.json"
            path.write_text(json.dumps(settings))
            self.routers[number] = (settings["listen"], None)
            await self.start_router(number)

    def write_configuration(self):
        """Write the next version of the configuration."""
        tenants = [
            {"name": "customer-1", "apiKeys": [KEY]},
            {"name": "customer-2", "apiKeys": self.keys},
        ]
        value = configuration(
            self.cluster.store.version + 10,
            tenants=tenants,
            services=[service("apps", coldPerS=COLD_PER_S)],
        )
        self.cluster.store.put("op", "config", value)

    def withdraw_key(self, withdrawn):
        """Withdraw the key of the second customer, or give it back."""
        self.keys = [] if withdrawn else [self.OTHER_KEY]
        self.write_configuration()

    def cold_left_s(self, server):
        """Return the seconds for which a server stays cold."""
        ends = [span.to_s for span in self.cold if span.name == server.id]
        return max(0.0, max(ends, default=0.0) - time.monotonic())

    async def put_proxy_before(self, server):
        """List a server at the address of a proxy that can do harm."""
        port = int(server.address.partition(":")[2])
        proxy = FaultProxy(free_port(), port)
        await proxy.open()
        self.proxies.append(proxy)
        server.address = f"127.0.0.1:{proxy.port}"
        self.cluster.list_server(server)

    async def start_router(self, number):
        """Start a router's process and wait until it is ready."""
        listen, _ = self.routers[number]
        path = self.folder / f"router-{number}.json"
        with path.with_suffix(".log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "boragetrail.direct",
                str(path),
                stdout=log,
                stderr=log,
            )
        self.routers[number] = (listen, process)
        async with asyncio.timeout(START_S):
            while not await self.is_ready(number):
                await asyncio.sleep(0.05)
        self.open_to_callers.add(number)

    async def is_ready(self, number):
        """Return whether a router says that it is ready."""
        url = f"http://{self.routers[number][0]['health']}/"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.cluster.session.get(
                url, timeout=timeout
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False

    async def serve(self, server, request):
        """Answer as a server does, with the trouble in force."""
        key = self.keys_by_id.get(request.id, "")
        now = time.monotonic()
        self.arrivals.append(Arrival(now, request.id, server.id, key))
        trouble = self.trouble if self.random.random() < 0.4 else ""
        if trouble == "refuse":
            fields = [f"{HEADER_NAMES.not_executed}: 1"]
            status = "503 Service Unavailable"
            return whole_answer(request, b"", status, fields)
        runs = self.runs_by_id.setdefault(request.id, [])
        runs.append(time.monotonic())
        if trouble == "fail":
            return whole_answer(request, b"", "500 Internal Server Error")
        if trouble == "cut":
            return None
        if trouble == "slow":
            await asyncio.sleep(0.5)
        if trouble == "other":
            answer = whole_answer(request, b"of another")
            return answer.replace(request.id.encode(), b"another-id")
        kind = request.line.split("/")[1]
        if kind in ("stream", "resume"):
            return await self.stream(request, trouble)
        return whole_answer(request, request.id.encode())

    async def stream(self, request, trouble):
        """Stream numbered events; ``midway`` ends it in their middle."""
        last = request.headers.get("last-event-id")
        lines = (
            "HTTP/1.1 200 OK",
            f"{HEADER_NAMES.request_id}: {request.id}",
            f"{HEADER_NAMES.seal}: seal",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(int(last) + 1 if last else 0, EVENTS):
            if trouble == "midway" and number == EVENTS // 2:
                return None
            event = f"id: {number}\ndata: {request.id}\n\n".encode()
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        return b"0\r\n\r\n"

    async def call(self):
        """Make one request of a caller and check its answer."""
        number = self.random.choice(sorted(self.open_to_callers))
        kind = self.random.choice(KINDS)
        self.number += 1
        seen = Seen(f"soak{self.number:07d}", kind, number)
        self.seen.append(seen)
        headers = self.cluster.fields()
        headers[HEADER_NAMES.request_id] = seen.id
        headers[HEADER_NAMES.deadline_ms] = DEADLINE_MS
        if self.random.random() < OTHER_KEY_PART:
            headers[HEADER_NAMES.key] = self.OTHER_KEY
        self.keys_by_id[seen.id] = headers[HEADER_NAMES.key]
        url = f"http://{self.routers[number][0]['callers']}/{kind}/1"
        timeout = aiohttp.ClientTimeout(total=6.0, sock_connect=1.0)
        try:
            async with self.cluster.session.post(
                url, headers=headers, timeout=timeout
            ) as answer:
                seen.status = answer.status
                self.check(seen, answer, await answer.read())
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as exc:
            seen.cut = repr(exc)
        seen.ended_s = time.monotonic()

    def check(self, seen, answer, body):
        """Check a whole answer."""
        if answer.status in NOT_RUN and "Retry-After" not in answer.headers:
            self.violated(seen, f"{answer.status} without Retry-After")
        if answer.status != 200:
            return
        if HEADER_NAMES.seal not in answer.headers:
            self.violated(seen, "a success without a seal")
        wanted = seen.id
        if seen.kind in ("stream", "resume"):
            events = range(EVENTS)
            wanted = "".join(f"id: {n}\ndata: {seen.id}\n\n" for n in events)
        if body.decode() != wanted:
            self.violated(seen, f"another body: {body!r}")

    def violated(self, seen, text):
        """Note a broken promise to a caller."""
        self.broken(told(seen, text))

    def broken(self, line):
        """Note a broken promise."""
        self.violations.append(line)
        print(f"VIOLATION {line[:400]}", flush=True)

    async def run(self, seconds):
        """Draw pairs of faults for a time; returns the violations."""
        await self.start()
        end_s = time.monotonic() + seconds
        workers = [
            asyncio.ensure_future(self.work(end_s)) for _ in range(WORKERS)
        ]
        while time.monotonic() < end_s:
            pair = self.random.sample(FAULTS, 2)
            self.faults.append([fault.__name__ for fault in pair])
            began_s = time.monotonic()
            undos = [await fault(self) for fault in pair]
            await asyncio.sleep(FAULT_S)
            for undo in undos:
                if undo is not None:
                    await undo()
            await asyncio.sleep(CALM_S)
            self.spans.append((began_s, time.monotonic()))
        await asyncio.gather(*workers)
        for line in broken_promises(self):
            self.broken(line)
        await self.close()
        return self.violations

    async def work(self, end_s):
        """Make requests one after the other."""
        while time.monotonic() < end_s:
            await self.call()
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def close(self):
        """End the processes that were started, and everything else."""
        for _, process in self.routers.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for proxy in self.proxies:
            proxy.close()
        await self.cluster.close()


def main(seconds: float = 30.0, seed: int = 1, seeds: int = 1):
    """Soak with one seed or several in turn."""
    failed = 0
    for each in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="boragetrail-soak-"))
        soak = DirectSoak(each, folder)
        violations = asyncio.run(soak.run(seconds))
        failed += bool(violations)
        codes = {}
        for seen in soak.seen:
            name = seen.status or ("cut" if seen.cut else "no connection")
            codes[name] = codes.get(name, 0) + 1
        text = f"seed {each}: {len(soak.seen)} requests {codes}"
        print(f"{text}, {len(soak.faults)} pairs, {folder}", flush=True)
        for line in violations:
            print(f"  {line[:300]}", flush=True)
    raise typer.Exit(int(failed > 0))


if __name__ == "__main__":
    typer.run(main)
