"""Fixtures: a deployment of real processes that the scenarios share."""

import asyncio
import json
import signal
import time

import pytest

from standins.prefixcache import response_words
from tools.client import Caller
from tools.deployments import asante_boateng
from tools.fleet import Fleet

STREAM_WORDS = 60


class World:
    """Hold a deployment and the results of the steps of a scenario."""

    def __init__(self, runner):
        self.runner = runner
        deployment = asante_boateng(cold_words=60, starts_cold=True)
        deployment.routers[0].settings["limits"] = {"body_bytes": 1_000_000}
        self.fleet = Fleet(deployment, proxied=True)
        self.responses = []
        self.chats = []
        self.streams = []
        self.context = {}
        self.order = 0
        self.stopping = []

    def run(self, coroutine):
        """Run a coroutine until it is done."""
        return self.runner.run(coroutine)

    def caller(self, router=0, customer="customer-1"):
        """Return a caller at a router."""
        url = self.fleet.router(router).url("callers")
        key = self.fleet.key_of(customer)
        return Caller(self.fleet.session, url, key)

    def new_order(self):
        """Switch to a new order that was never placed."""
        self.order += 1
        self.responses = []
        self.context["path"] = (
            f"/services/bookings/bookings?order=o{self.order}"
        )
        self.context["key"] = f"key-{self.order}"

    async def place(self, router=0, key=None):
        """Place the current order; return status and decoded body."""
        path = self.context["path"]
        key = self.context["key"] if key is None else key
        status, data, _ = await self.caller(router).request(
            "POST", path, b"unit 12", key
        )
        response = (status, json.loads(data) if data[:1] == b"{" else {})
        self.responses.append(response)
        return response

    async def executions(self):
        """Return how often the applications ran the current order."""
        total = 0
        for server in self.fleet.deployment.servers:
            if server.kind == "application":
                node = self.fleet.nodes_by_name[f"{server.name}-backend"]
                url = f"{node.url('main')}/executions"
                counts = await self.fleet.get_json(url)
                total += counts.get(f"o{self.order}", 0)
        return total

    async def engine_counts(self, name):
        """Return the counters of an engine."""
        node = self.fleet.nodes_by_name[f"{name}-backend"]
        return await self.fleet.get_json(f"{node.url('main')}/counts")

    async def chat(self, text, router=0, words=STREAM_WORDS, **options):
        """Run one chat turn and keep its result."""
        messages = [{"role": "user", "content": text}]
        result = await self.caller(router).chat(
            messages, words=words, **options
        )
        self.chats.append((text, words, result))
        return result

    def open_streams(self, count, router=0):
        """Start streams and wait until each has its first token."""
        started = []

        async def begin():
            for number in range(count):
                event = asyncio.Event()
                started.append(event)
                text = f"stream {time.monotonic()} {number} " + "lease " * 20
                task = self.chat(
                    text,
                    router,
                    on_token=lambda word, event=event: event.set(),
                )
                self.streams.append(asyncio.create_task(task))
            async with asyncio.timeout(15):
                for event in started:
                    await event.wait()

        self.chats = []
        self.run(begin())

    def finish_streams(self):
        """Wait for all streams."""

        async def finish():
            await asyncio.gather(*self.streams)

        self.run(finish())
        self.streams = []

    def failed_chats(self):
        """Return the chats whose responses are incomplete or wrong."""
        failed = []
        for text, words, result in self.chats:
            expected = " ".join(response_words(text.split(), words))
            if not result.is_complete or result.text.strip() != expected:
                failed.append((result.problem, result.text[:60]))
        return failed

    async def until(self, condition, limit_s=8.0):
        """Wait until a condition holds; return whether it does."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def warm_up_engines(self):
        """Serve chats until no agent reports its engine as cold.

        While an engine's step time does not change, its agent raises the
        limit of concurrent requests by one per 32 steps (see
        ``AdaptiveWarmup``). Each response has more words than that, so the
        limit grows until it is the number of the engine's slots.
        """

        async def warm():
            texts = [f"warm {time.monotonic()} {n}" for n in range(20)]
            await asyncio.gather(
                *[self.chat(text, n % 3) for n, text in enumerate(texts)]
            )
            dumps = [
                await self.fleet.dump(server.name)
                for server in self.fleet.deployment.servers
                if server.kind == "model"
            ]
            return not any(dump["server"]["cold"] for dump in dumps)

        assert await self.until(warm, 20.0)

    def kill(self, name):
        """Kill a process and wait for its end."""
        self.fleet.nodes_by_name[name].signal(signal.SIGKILL)
        self.fleet.nodes_by_name[name].wait()

    def stop(self, name):
        """Send SIGTERM to a process."""
        node = self.fleet.nodes_by_name[name]
        node.signal(signal.SIGTERM)
        self.stopping.append(node)

    def recover(self):
        """Undo the faults of a scenario."""

        async def undo():
            for node in self.stopping:
                node.wait()
            self.stopping = []
            await self.fleet.set_faults(
                "table", down=False, silent=False, lose_answers=0, slow_s=0
            )
            for name, node in self.fleet.nodes_by_name.items():
                if node.process.poll() is not None:
                    await self.fleet.restart(name)
            await self.fleet.wait_ready()
            for zone in self.fleet.deployment.zones:
                await self.fleet.set_zone(zone, out=False)
            await self.warm_up_engines()

        self.run(undo())


@pytest.fixture(scope="session")
def deployment():
    """Start the deployment once for all scenarios."""
    with asyncio.Runner() as runner:
        world = World(runner)
        try:
            world.run(world.fleet.start())
            world.run(world.warm_up_engines())
            yield world
        finally:
            world.run(world.fleet.stop())


@pytest.fixture
def world(deployment):
    """Yield the deployment without faults and repair it afterwards."""
    deployment.chats = []
    deployment.streams = []
    deployment.new_order()
    yield deployment
    deployment.recover()
