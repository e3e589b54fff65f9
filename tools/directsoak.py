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

from boragetrail.direct.tests.conftest import KEY, Site, configuration
from boragetrail.direct.tests.conftest import free_port, router_settings
from boragetrail.direct.tests.conftest import service
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer
from standins.proxy import FaultProxy
from tools.directfaults import CUTTING, ENDING, FAULTS
from tools.sums import Arrival, arrivals_while_away
from tools.sums import most_in_window, most_repeats_over

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
# Statuses that promise that a request has not run.
NOT_RUN = frozenset((408, 421, 429, 503))
KINDS = ("order", "status", "stream", "resume")
# Limits of the whole fleet.
COLD_PER_S = 6.0
BOUNDS = {
    "retry_ratio": 0.05,
    "retry_window_s": 10,
    "retry_extra": 6,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
COLD_WINDOW_S = 1.0
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
        self.site = Site()
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
        await self.site.open(SERVERS)
        self.write_configuration()
        for server in self.site.servers:
            server.default = functools.partial(self.serve, server)
            await self.put_proxy_before(server)
        gossip_port = free_port()
        for number in range(ROUTERS):
            host = f"127.0.0.{number + 1}"
            settings = router_settings(
                f"router-{number}",
                host,
                f"{host}:{gossip_port}",
                self.site.store.address,
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
            self.site.store.version + 10,
            tenants=tenants,
            services=[service("apps", coldPerS=COLD_PER_S)],
        )
        self.site.store.put("op", "config", value)

    def withdraw_key(self, withdrawn):
        """Withdraw the key of the second customer, or give it back."""
        self.keys = [] if withdrawn else [self.OTHER_KEY]
        self.write_configuration()

    def cold_left_ms(self, server):
        """Return the milliseconds for which a server stays cold."""
        ends = [span.to_s for span in self.cold if span.name == server.id]
        left_s = max(ends, default=0.0) - time.monotonic()
        return max(0, round(1000 * left_s))

    async def put_proxy_before(self, server):
        """List a server at the address of a proxy that can do harm."""
        port = int(server.address.partition(":")[2])
        proxy = FaultProxy(free_port(), port)
        await proxy.open()
        self.proxies.append(proxy)
        server.address = f"127.0.0.1:{proxy.port}"
        self.site.store.put("servers", server.id, server.entry("apps"))

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
            async with self.site.session.get(url, timeout=timeout) as answer:
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
            fields = [f"{HEADER_NAMES.not_run}: 1"]
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
        headers = self.site.fields()
        headers[HEADER_NAMES.request_id] = seen.id
        headers[HEADER_NAMES.deadline_ms] = DEADLINE_MS
        if self.random.random() < OTHER_KEY_PART:
            headers[HEADER_NAMES.key] = self.OTHER_KEY
        self.keys_by_id[seen.id] = headers[HEADER_NAMES.key]
        url = f"http://{self.routers[number][0]['callers']}/{kind}/1"
        timeout = aiohttp.ClientTimeout(total=6.0, sock_connect=1.0)
        try:
            async with self.site.session.post(
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
        self.broken(f"{seen.kind} {seen.id} of router {seen.router}: {text}")

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
        self.check_runs()
        self.check_stops()
        self.check_cuts()
        self.check_sums()
        await self.close()
        return self.violations

    async def work(self, end_s):
        """Make requests one after the other."""
        while time.monotonic() < end_s:
            await self.call()
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    def check_runs(self):
        """Compare what ran with what callers were told."""
        for seen in self.seen:
            runs = len(self.runs_by_id.get(seen.id, ()))
            if seen.kind in ("order", "stream") and runs > 1:
                self.violated(seen, f"ran {runs} times")
            if seen.kind in ("order", "stream") and runs:
                if seen.status in NOT_RUN:
                    self.violated(seen, f"told {seen.status} and ran")

    def check_stops(self):
        """Find answers that a planned stop cut.

        A request that crosses the close of its connection counts only if a
        server ran it.
        """
        for stop in self.stops:
            if CUTTING.intersection(stop.faults):
                continue
            for seen in self.seen:
                if seen.cut and seen.router == stop.router:
                    self.check_cut(seen, stop)

    def check_cuts(self):
        """Find answers that were cut though no fault cuts any.

        Changes of the configuration and reloads are such faults. The pair
        before counts too, since its end may last.
        """
        before = []
        for names, (began_s, ended_s) in zip(self.faults, self.spans):
            pair, before = before + names, names
            if CUTTING.union(ENDING).intersection(pair):
                continue
            for seen in self.seen:
                inside = began_s < seen.began_s and seen.ended_s < ended_s
                if seen.cut and inside:
                    self.violated(seen, f"cut beside {names}: {seen.cut}")

    def check_sums(self):
        """Compare what all routers sent with the limits of the fleet."""
        arrivals = [each for each in self.arrivals if each.request_id]
        begun_by_id = {seen.id: seen.began_s for seen in self.seen}
        over = most_repeats_over(
            arrivals,
            sorted(begun_by_id.values()),
            BOUNDS["retry_window_s"],
            BOUNDS["retry_ratio"],
            BOUNDS["retry_extra"],
        )
        if over > 0:
            self.broken(f"{over:.1f} repeats over the limit")
        for span in self.withdrawn:
            for late in arrivals_while_away(arrivals, span, begun_by_id):
                self.broken(f"{late} beside the withdrawal {span}")
        for span in self.cold:
            self.check_cold(span, arrivals)

    def check_cold(self, span, arrivals):
        """Compare what a cold server got with the rate that it bears."""
        times = [
            each.at_s
            for each in arrivals
            if each.server == span.name and span.from_s < each.at_s < span.to_s
        ]
        most = COLD_PER_S * BOUNDS["cold_factor"] + BOUNDS["cold_margin"]
        count = most_in_window(times, COLD_WINDOW_S)
        if count > most:
            self.broken(f"{count} requests a second at a cold server {span}")

    def check_cut(self, seen, stop):
        """Check one request without a whole answer."""
        if not stop.began_s < seen.ended_s <= stop.ended_s:
            return
        if seen.began_s < stop.began_s or seen.id in self.runs_by_id:
            self.violated(seen, f"cut by a planned stop: {seen.cut}")

    async def close(self):
        """End the processes that were started, and everything else."""
        for _, process in self.routers.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for proxy in self.proxies:
            proxy.close()
        await self.site.close()


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
