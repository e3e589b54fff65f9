"""Memory of a router's process while servers send without end."""

import asyncio
import itertools
import json
import sys

import aiohttp
import psutil
import pytest

from boragetrail.direct.tests.conftest import (
    configuration,
    free_port,
    route,
    router_settings,
    service,
)
from boragetrail.direct.tests.test_endless import (
    REPEATED,
    STARTS,
    Endless,
    head,
)
from standins.httpserver import HttpServer, whole_answer

# The smallest machines of a deployment leave a router this much.
MAX_MEMORY_BYTES = 200e6
FAULTY_SERVERS = 8
# Requests at a time to the servers that send without end.
FAULTY_REQUESTS = 400
DURATION_S = 6.0
START_TIMEOUT_S = 20.0
DEADLINE_MS = 2000
EVENT = b"data: " + b"x" * 1000 + b"\n\n"
PATHS = ("/bad/order/1", "/bad/stream/1", "/bad/status/1")


def endless_events(request):
    """Return the head of a stream of events."""
    fields = ("Content-Type: text/event-stream", "Connection: close")
    return head(request, *fields) + b"\r\n\r\n"


async def send_body(request):
    """Send a complete body."""
    return whole_answer(request, EVENT * 3)


async def send_stream(request):
    """Send three events in pieces that end within an event."""
    length = f"Content-Length: {3 * len(EVENT)}"
    request.writer.write(head(request, length) + b"\r\n\r\n" + EVENT[:500])
    await request.writer.drain()
    await asyncio.sleep(0.01)
    return EVENT[500:] + 2 * EVENT


def starts():
    """Yield (start, piece) of responses that do not end, over and over."""
    pairs = [(start, b"x" * 64 * 1024) for start in STARTS.values()]
    pairs += [
        (lambda request: head(request) + b"\r\n", piece)
        for piece in REPEATED.values()
    ]
    pairs.append((endless_events, EVENT * 60))
    return itertools.cycle(pairs)


class FaultyFleet:
    """Own a router's process, sound servers and servers without end.

    :param cluster: fixture ``cluster``; its servers are the sound ones
    """

    def __init__(self, cluster, folder):
        self.cluster = cluster
        self.folder = folder
        self.starts = starts()
        self.servers = []
        self.process = None
        self.listen = {}
        self.peak_bytes = 0
        self.sound_statuses = []
        self.callers = set()

    async def open(self):
        """Start the servers and the router."""
        store = self.cluster.store
        routes = configuration()["routes"]
        for kind in ("order", "stream", "status"):
            found = next(each for each in routes if each["name"] == kind)
            faulty = route(
                f"bad/{kind}", found["routeType"], "bad", timeoutMs=3000
            )
            routes.append({**faulty, "name": f"bad-{kind}"})
        services = [service("apps"), service("bad", backend={"slots": 500})]
        value = configuration(2, routes=routes, services=services)
        store.put("op", "config", value)
        for number in range(FAULTY_SERVERS):
            server = HttpServer()
            await server.open()
            server.default = self._respond
            self.servers.append(server)
            entry = server.entry("bad", slots=500)
            store.put("servers", f"bad-{number}", entry)
        await self._start_router()

    async def _respond(self, request):
        start, piece = next(self.starts)
        return await Endless(start, piece).respond(request)

    async def _start_router(self):
        address = f"127.0.0.1:{free_port()}"
        settings = router_settings(
            "router", "127.0.0.1", address, self.cluster.store.address
        )
        self.listen = settings["listen"]
        path = self.folder / "router.json"
        path.write_text(json.dumps({**settings, "seeds": []}))
        with path.with_suffix(".log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "boragetrail.direct",
                str(path),
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self):
        url = f"http://{self.listen['health']}/"
        try:
            async with self.cluster.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def run(self):
        """Send requests of both kinds for some seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + DURATION_S
        tasks = [
            loop.create_task(self._call_faulty(end_s, number))
            for number in range(FAULTY_REQUESTS)
        ]
        tasks.append(loop.create_task(self._watch(end_s)))
        while loop.time() < end_s:
            status, _, _ = await self._call("/status/1")
            self.sound_statuses.append(status)
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)

    async def _call_faulty(self, end_s, number):
        """Call servers without end; each third caller does not read on."""
        loop = asyncio.get_running_loop()
        host, _, port = self.listen["callers"].partition(":")
        for path in itertools.cycle(PATHS):
            if loop.time() >= end_s:
                return
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = self.cluster.fields(**{"Content-Length": "0"}).items()
                text = "".join(f"{key}: {value}\r\n" for key, value in lines)
                writer.write(f"POST {path} HTTP/1.1\r\n{text}\r\n".encode())
                await self._read(reader, number % 3 == 0)
            finally:
                writer.close()

    async def _read(self, reader, stops):
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while await reader.read(64 * 1024):
                    if stops:
                        await asyncio.sleep(DEADLINE_MS / 1000)
        except (TimeoutError, ConnectionError):
            pass

    async def _call(self, path):
        url = f"http://{self.listen['callers']}{path}"
        headers = self.cluster.fields()
        async with self.cluster.session.post(url, headers=headers) as response:
            return response.status, response.headers, await response.read()

    async def _watch(self, end_s):
        process = psutil.Process(self.process.pid)
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            memory = process.memory_info().rss
            self.peak_bytes = max(self.peak_bytes, memory)
            await asyncio.sleep(0.02)

    async def close(self):
        """End the router and close the servers."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for server in self.servers:
            await server.close()


@pytest.fixture
async def faulty_fleet(cluster, tmp_path):
    made = FaultyFleet(cluster, tmp_path)
    try:
        await made.open()
        yield made
    finally:
        await made.close()


class TestExhaustedBudget:
    """Small responses need no part of what large ones have taken."""

    # A body without end elsewhere would have cut off a response of 800 bytes.
    @pytest.mark.parametrize("path", ["/status/1", "/stream/1"])
    async def test_sound_responses_are_forwarded(self, cluster, path):
        daemon = await cluster.add_router()
        budget = daemon.dispatcher.forwarder.buffer_budget
        assert budget.try_take(budget.left_bytes)
        for server in cluster.servers:
            server.default = send_stream if "stream" in path else send_body
        status, _, body = await cluster.call(daemon, path)
        assert (status, body) == (200, EVENT * 3)


class TestRouterProcess:
    """A router serves others while many servers send without end."""

    # A router ended for want of memory, with the requests of all callers.
    async def test_servers_that_send_without_end(self, faulty_fleet):
        await faulty_fleet.run()
        print(
            "PEAK",
            faulty_fleet.peak_bytes / 1e6,
            len(faulty_fleet.sound_statuses),
            set(faulty_fleet.sound_statuses),
        )
        assert faulty_fleet.process.returncode is None
        assert faulty_fleet.peak_bytes < MAX_MEMORY_BYTES
        assert set(faulty_fleet.sound_statuses) == {200}
