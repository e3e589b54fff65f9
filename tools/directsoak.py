"""Soak test of routers without agents, as real processes with faults.

The store, the servers and the callers run in this process, so that it can
compare executions with responses. Faults are drawn in pairs that overlap.
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
from boragetrail.direct.tests.conftest import route, service
from boragetrail.platform.names import HEADER_NAMES, MEMBERS_TABLE
from standins.proxy import FaultProxy
from tools.directchecks import BOUNDS, COLD_PER_S, NOT_EXECUTED_STATUSES
from tools.directchecks import describe, find_violations
from tools.directfaults import (
    FAULTS,
    store_connections_go_silent,
    store_returns_from_a_copy,
)
from tools.serverchecks import is_leaving
from tools.serverfaults import ServerBehaviour
from tools.soakcalls import CALL_KINDS, Call, expected_body, slow_body
from tools.soakserver import serve

__all__ = ["DirectSoak"]

ROUTERS = 3
# Hosts of routers that were replaced, but are still registered.
LOST_HOSTS = [f"127.0.9.{number + 1}" for number in range(24)]
# Time after a start or a pause from which a router counts those that run.
SETTLED_S = 4.0
SERVERS = 4
WORKERS = 12
CHAT_ROUTE = route("chat", "streaming", sticky=True)
DEADLINE_MS = 3000
# Uploads have more time than a router that stops, and bodies in chunks.
UPLOAD_DEADLINE_MS = 12000
UPLOAD_ROUTE = route(
    "upload", "non_idempotent", timeoutMs=UPLOAD_DEADLINE_MS, maxAttempts=1
)
# Time after the deadline at which a caller gives up.
GIVE_UP_S = 3.0
FAULT_S = 2.0
RECOVERY_S = 1.0
# Pairs of faults in which the store returns from a copy in any case.
COPY_PAIRS = (1, 3)
# The same of the connections to the store.
SILENT_PAIRS = (0, 4)
VERSION_STEP = 10
START_TIMEOUT_S = 20.0
# Ratio of the requests that come from the second customer.
SECOND_KEY_RATIO = 0.2
# Longest time that the body of an upload takes.
MAX_BODY_S = 0.5


class DirectSoak:
    """Hold the processes, the calls and the faults of one run.

    :param seed: seed of the faults and of the callers
    :param folder: folder for settings and logs of the routers
    :ivar violations: violated guarantees as texts
    :ivar withdrawn_spans: each :class:`~tools.sums.Span` in which a key is
        not valid
    :ivar servers: :class:`~tools.serverfaults.ServerBehaviour`
    :ivar disturbances: (router, monotonic time) of each start and pause
    :ivar cold_spans: each :class:`~tools.sums.Span` in which a server is
        cold
    """

    SECOND_KEY = "key-of-customer-2"

    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.folder = folder
        self.cluster = Cluster()
        self.proxies = []
        self.store_proxy = None
        self.routers = {}
        self.open_to_callers = set()
        self.executions_by_id = {}
        self.arrivals = []
        self.keys_by_id = {}
        self.withdrawn_spans = []
        self.cold_spans = []
        self.second_keys = [self.SECOND_KEY]
        self.calls = []
        self.fault_names = []
        self.fault_spans = []
        self.planned_stops = []
        self.server_fault = ""
        self.servers = ServerBehaviour(self)
        self.disturbances = []
        self.violations = []
        self.call_count = 0
        self.configuration_version = 0

    async def start(self):
        """Start the store, the servers and the routers."""
        await self.cluster.open(SERVERS)
        self.store_proxy = await open_proxy(self.cluster.store.address)
        for host in LOST_HOSTS:
            self.cluster.store.put(MEMBERS_TABLE, host, {})
        self.write_configuration()
        for server in self.cluster.servers:
            server.default = functools.partial(serve, self, server)
            await self.insert_proxy(server)
        gossip_port = free_port()
        for number in range(ROUTERS):
            host = f"127.0.0.{number + 1}"
            settings = router_settings(
                f"router-{number}",
                host,
                f"{host}:{gossip_port}",
                f"127.0.0.1:{self.store_proxy.port}",
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
            {"name": "customer-2", "apiKeys": self.second_keys},
        ]
        self.configuration_version += VERSION_STEP
        value = configuration(
            self.configuration_version,
            tenants=tenants,
            services=[service("apps", coldPerS=COLD_PER_S)],
            routes=[*configuration()["routes"], CHAT_ROUTE, UPLOAD_ROUTE],
        )
        self.cluster.store.put("op", "config", value)

    async def check_configuration(self, within_s):
        """Check that all routers apply the newest configuration in time."""
        written_s = time.monotonic()
        version = self.configuration_version
        behind = set(self.open_to_callers)
        while behind and time.monotonic() < written_s + within_s:
            await asyncio.sleep(0.1)
            for number in sorted(behind):
                if await self.applied_version(number) in (None, version):
                    behind.discard(number)
        for number in sorted(behind & self.open_to_callers):
            self.record_violation(
                f"router {number} has not applied configuration {version}, "
                f"written {within_s} s ago"
            )

    async def check_sizes(self):
        """Check that no router counts others that do not run."""
        oldest_s = time.monotonic() - SETTLED_S
        disturbed = {
            number for number, at_s in self.disturbances if at_s > oldest_s
        }
        for number in sorted(self.open_to_callers - disturbed):
            state = await self.dump(number)
            if state is not None and state["routers"] > ROUTERS:
                self.record_violation(
                    f"router {number} counts {state['routers']} routers"
                )

    async def applied_version(self, number):
        """Return the version that a router applies; ``None`` if it is down."""
        state = await self.dump(number)
        return None if state is None else state["configuration"]

    async def dump(self, number):
        """Return the state of a router; ``None`` if it is down."""
        url = f"http://{self.routers[number][0]['relay']}/dump"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.cluster.session.get(
                url, timeout=timeout
            ) as response:
                return await response.json()
        except (aiohttp.ClientConnectorError, asyncio.TimeoutError):
            return None

    def withdraw_key(self, withdrawn):
        """Withdraw the key of the second customer, or restore it."""
        self.second_keys = [] if withdrawn else [self.SECOND_KEY]
        self.write_configuration()

    def cold_left_s(self, server):
        """Return the seconds for which a server stays cold."""
        ends = [
            span.to_s for span in self.cold_spans if span.name == server.id
        ]
        return max(0.0, max(ends, default=0.0) - time.monotonic())

    async def insert_proxy(self, server):
        """Put a fault proxy between the routers and a server."""
        proxy = await open_proxy(server.address)
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
        self.record_disturbance(number)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready(number):
                await asyncio.sleep(0.05)
        self.open_to_callers.add(number)

    def record_disturbance(self, number):
        """Record that a router starts, or is paused or resumed."""
        self.disturbances.append((number, time.monotonic()))

    async def is_ready(self, number):
        """Return whether a router reports that it is ready."""
        url = f"http://{self.routers[number][0]['health']}/"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.cluster.session.get(
                url, timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False

    async def send_request(self):
        """Send one request and check its response."""
        number = self.random.choice(sorted(self.open_to_callers))
        kind = self.random.choice(CALL_KINDS)
        self.call_count += 1
        call = Call(f"soak{self.call_count:07d}", kind, number)
        self.calls.append(call)
        headers = self.cluster.fields()
        headers[HEADER_NAMES.request_id] = call.id
        deadline_ms, body = DEADLINE_MS, None
        if kind == "upload":
            deadline_ms = UPLOAD_DEADLINE_MS
            body = slow_body(call, self.random.uniform(0.0, MAX_BODY_S))
        headers[HEADER_NAMES.deadline_ms] = str(deadline_ms)
        if self.random.random() < SECOND_KEY_RATIO:
            headers[HEADER_NAMES.key] = self.SECOND_KEY
        if kind == "chat":
            call.prompt = self.servers.prompt(self.call_count)
            headers[HEADER_NAMES.prompt_parts] = call.prompt
        self.keys_by_id[call.id] = headers[HEADER_NAMES.key]
        url = f"http://{self.routers[number][0]['callers']}/{kind}/1"
        timeout = aiohttp.ClientTimeout(
            total=deadline_ms / 1000 + GIVE_UP_S, sock_connect=1.0
        )
        try:
            async with self.cluster.session.post(
                url, headers=headers, timeout=timeout, data=body
            ) as response:
                call.status = response.status
                call.leaving = is_leaving(response.headers)
                call.server = response.headers.get(HEADER_NAMES.server_id, "")
                self.check_response(call, response, await response.read())
        except aiohttp.ClientConnectorError:
            pass
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as exc:
            call.error = repr(exc)
        call.ended_s = time.monotonic()

    def check_response(self, call, response, body):
        """Check a complete response."""
        if (
            response.status in NOT_EXECUTED_STATUSES
            and "Retry-After" not in response.headers
        ):
            self.record_call_violation(
                call, f"{response.status} without Retry-After"
            )
        if response.status != 200:
            return
        if HEADER_NAMES.seal not in response.headers:
            self.record_call_violation(call, "success without a seal")
        if body.decode() != expected_body(call):
            self.record_call_violation(call, f"unexpected body: {body!r}")

    def record_call_violation(self, call, text):
        """Record a violation that concerns one call."""
        self.record_violation(describe(call, text))

    def record_violation(self, line):
        """Record and print a violation."""
        self.violations.append(line)
        print(f"VIOLATION {line[:400]}", flush=True)

    async def run(self, seconds):
        """Inject pairs of faults for some seconds; return the violations."""
        await self.start()
        end_s = time.monotonic() + seconds
        workers = [
            asyncio.ensure_future(self.run_worker(end_s))
            for _ in range(WORKERS)
        ]
        while time.monotonic() < end_s:
            pair = self.random.sample(FAULTS, 2)
            if len(self.fault_names) in COPY_PAIRS:
                pair[0] = store_returns_from_a_copy
            if len(self.fault_names) in SILENT_PAIRS:
                pair[0] = store_connections_go_silent
            # It ends last, since its check needs a store that responds.
            pair.sort(key=lambda fault: fault is store_returns_from_a_copy)
            self.fault_names.append([fault.__name__ for fault in pair])
            began_s = time.monotonic()
            undos = [await fault(self) for fault in pair]
            await asyncio.sleep(FAULT_S)
            for undo in undos:
                if undo is not None:
                    await undo()
            await asyncio.sleep(RECOVERY_S)
            self.fault_spans.append((began_s, time.monotonic()))
            await self.check_sizes()
        await asyncio.gather(*workers)
        for line in find_violations(self):
            self.record_violation(line)
        await self.close()
        return self.violations

    async def run_worker(self, end_s):
        """Send requests one after the other until a time."""
        while time.monotonic() < end_s:
            await self.send_request()
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def close(self):
        """Kill the routers; close the proxies, the servers and the store."""
        for _, process in self.routers.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for proxy in [*self.proxies, self.store_proxy]:
            proxy.close()
        await self.cluster.close()


async def open_proxy(address):
    """Return a fault proxy before an address, listening."""
    proxy = FaultProxy(free_port(), int(address.partition(":")[2]))
    await proxy.open()
    return proxy


def main(seconds: float = 30.0, seed: int = 1, seeds: int = 1):
    """Run the soak with one seed or with several, one after the other."""
    failed = 0
    for each in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix="boragetrail-soak-"))
        soak = DirectSoak(each, folder)
        violations = asyncio.run(soak.run(seconds))
        failed += bool(violations)
        codes = {}
        for call in soak.calls:
            name = call.status or ("cut" if call.error else "no connection")
            codes[name] = codes.get(name, 0) + 1
        text = f"seed {each}: {len(soak.calls)} requests {codes}"
        print(f"{text}, {len(soak.fault_names)} pairs, {folder}", flush=True)
        for line in violations:
            print(f"  {line[:300]}", flush=True)
    raise typer.Exit(int(failed > 0))


if __name__ == "__main__":
    typer.run(main)
