"""Scenarios of a router without agents, as a real process."""

import asyncio
import json
import signal
import sys

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenario, then, when

from boragetrail.direct.tests.conftest import Cluster, free_port
from boragetrail.direct.tests.conftest import router_settings
from boragetrail.platform.names import HEADER_NAMES
from tools.directsoak import DirectSoak

EVENTS = 30
EVENT_PAUSE_S = 0.05
START_TIMEOUT_S = 10.0
STOP_S = 8.0
ORDERS = 10
# The load balancer stops using a router after two failed probes, which
# are one second apart.
NOT_READY_LIMIT_S = 1.0


class TestDirect:
    """Planned stops, outages and settings."""

    @staticmethod
    @scenario("direct.feature", "The router is stopped while streams run")
    def test_stop():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "direct.feature", "A server's entry is removed while the store is down"
    )
    def test_store_away():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "direct.feature", "The router is told to reload invalid settings"
    )
    def test_reload():
        """Run the scenario."""

    @staticmethod
    @scenario("direct.feature", "Pairs of faults are injected")
    def test_soak():
        """Run the scenario."""


class DirectWorld:
    """Hold a router process, and the store and servers it uses.

    The store and the servers run in the test process.
    """

    def __init__(self, folder):
        self.runner = asyncio.Runner()
        self.folder = folder
        self.cluster = Cluster()
        self.process = None
        self.streams = []
        self.log = folder / "router.log"
        self.path = folder / "router.json"
        self.callers = ""
        self.health = ""

    def run(self, coroutine):
        """Run a coroutine until it is done."""
        return self.runner.run(coroutine)

    def settings(self):
        """Return the router's settings."""
        return router_settings(
            "router-1",
            "127.0.0.1",
            f"127.0.0.1:{free_port()}",
            self.cluster.store.address,
            grace_s=STOP_S,
            first_start=True,
        )

    async def start(self, servers):
        """Start store, servers and router; wait until the router is ready."""
        await self.cluster.open(servers)
        settings = self.settings()
        self.callers = settings["listen"]["callers"]
        self.health = settings["listen"]["health"]
        self.path.write_text(json.dumps(settings))
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "boragetrail.direct",
                str(self.path),
                stdout=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the router reports that it is ready."""
        url = f"http://{self.health}/"
        try:
            async with self.cluster.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def call(self, path):
        """Send a request; return (status, body)."""
        url = f"http://{self.callers}{path}"
        headers = self.cluster.fields(**{HEADER_NAMES.deadline_ms: "6000"})
        async with self.cluster.session.post(url, headers=headers) as response:
            return response.status, await response.read()

    async def wait_for_log(self, text):
        """Wait until the log contains a text."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while text not in self.log.read_text():
                await asyncio.sleep(0.05)

    async def close(self):
        """Kill the router if it still runs; close servers and store."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.cluster.close()


@pytest.fixture
def direct(tmp_path):
    """Yield a :class:`DirectWorld` for one scenario."""
    world = DirectWorld(tmp_path)
    yield world
    world.run(world.close())
    world.runner.close()


async def slow_stream(request):
    """Stream numbered events with pauses."""
    head = "\r\n".join(
        [
            "HTTP/1.1 200 OK",
            f"{HEADER_NAMES.request_id}: {request.id}",
            f"{HEADER_NAMES.seal}: seal",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
    )
    request.writer.write(head.encode() + b"\r\n\r\n")
    for number in range(EVENTS):
        event = b"id: %d\ndata: x\n\n" % number
        request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await request.writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
    return b"0\r\n\r\n"


@given(parsers.parse("a direct router with {count:d} backend servers"))
def _(direct, count):
    direct.run(direct.start(count))


@when(
    parsers.parse(
        "three routers are soaked for {seconds:d} seconds with seed {seed:d}"
    ),
    target_fixture="soak",
)
def _(tmp_path, seconds, seed):
    soak = DirectSoak(seed, tmp_path)
    asyncio.run(soak.run(seconds))
    return soak


@then("no guarantee was violated")
def _(soak):
    assert not soak.violations
    assert sum(call.status == 200 for call in soak.calls) > 100


@given(parsers.parse("{count:d} streams run through it"))
def _(direct, count):
    async def begin():
        for server in direct.cluster.servers:
            server.default = slow_stream
        direct.streams = [
            asyncio.ensure_future(direct.call("/stream/1"))
            for _ in range(count)
        ]
        servers = direct.cluster.servers
        await direct.cluster.until(
            lambda: sum(len(each.requests) for each in servers) == count
        )

    direct.run(begin())


@when("the router is sent SIGTERM")
def _(direct):
    direct.process.send_signal(signal.SIGTERM)


@when("an entry is removed while the store is down for 1 second")
def _(direct):
    async def outage():
        store = direct.cluster.store
        store.status = 503
        store.remove("servers", "i-0")
        await asyncio.sleep(1.0)
        store.status = 0
        await direct.wait_for_log('"E504"')

    direct.run(outage())


@when("its settings are made invalid and it is told to reload them")
def _(direct):
    broken = {**direct.settings(), "grace_s": "long"}
    direct.path.write_text(json.dumps(broken))
    direct.process.send_signal(signal.SIGHUP)


@then("the router is no longer ready")
def _(direct):
    async def until_not_ready():
        async with asyncio.timeout(NOT_READY_LIMIT_S):
            while await direct.is_ready():
                await asyncio.sleep(0.05)

    direct.run(until_not_ready())
    # The router serves callers until the load balancer stops using it.
    assert direct.process.returncode is None


@then("each stream is complete")
def _(direct):
    async def gather():
        return await asyncio.gather(*direct.streams)

    for status, body in direct.run(gather()):
        assert status == 200
        assert body.count(b"data: x") == EVENTS


@then("the router exits with status 0")
def _(direct):
    async def end():
        async with asyncio.timeout(STOP_S):
            return await direct.process.wait()

    assert direct.run(end()) == 0


@then("its log contains the start and the stop")
def _(direct):
    lines = [json.loads(line) for line in direct.log.open()]
    events = [line["event"] for line in lines]
    assert events[0] == "E100"
    assert "E101" in events
    assert events[-1] == "E102"


@then("orders reach the other server only")
def _(direct):
    async def order():
        return [(await direct.call("/order/1"))[0] for _ in range(ORDERS)]

    assert direct.run(order()) == [200] * ORDERS
    assert not direct.cluster.servers[0].requests
    assert len(direct.cluster.servers[1].requests) == ORDERS


@then("its log names the invalid field")
def _(direct):
    direct.run(direct.wait_for_log("grace_s"))
