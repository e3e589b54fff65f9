"""Real processes that the scenarios share, and what they do to them."""

import asyncio
import json
import signal
import time

import pytest

from standins.engine import response_words
from tools.client import Caller
from tools.deployments import asante_boateng
from tools.fleet import Fleet

STREAM_WORDS = 60


class World:
    """One deployment, and what the last steps saw."""

    def __init__(self, runner):
        self.runner = runner
        deployment = asante_boateng(cold_words=60, starts_cold=True)
        deployment.routers[0].settings["limits"] = {"body_bytes": 1_000_000}
        self.fleet = Fleet(deployment, proxied=True)
        self.answers = []
        self.chats = []
        self.streams = []
        self.context = {}
        self.order = 0
        self.stopping = []

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.runner.run(coroutine)

    def caller(self, router=0, customer="customer-1"):
        """Return a caller at a router."""
        url = self.fleet.router(router).url("callers")
        key = self.fleet.key_of(customer)
        return Caller(self.fleet.session, url, key)

    def new_order(self):
        """Begin with a new order name."""
        self.order += 1
        self.answers = []
        self.context["path"] = (
            f"/services/bookings/bookings?order=o{self.order}"
        )
        self.context["key"] = f"key-{self.order}"

    async def place(self, router=0, key=None):
        """Place the current order; returns status and decoded body."""
        path = self.context["path"]
        key = self.context["key"] if key is None else key
        status, data, _ = await self.caller(router).request(
            "POST", path, b"unit 12", key
        )
        answer = (status, json.loads(data) if data[:1] == b"{" else {})
        self.answers.append(answer)
        return answer

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
        """Begin streams and wait until each has its first word."""
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

    def broken_chats(self):
        """Return the chats whose answers are not whole and exact."""
        broken = []
        for text, words, result in self.chats:
            wanted = " ".join(response_words(text.split(), words))
            if not result.is_complete or result.text.strip() != wanted:
                broken.append((result.problem, result.text[:60]))
        return broken

    async def until(self, condition, limit_s=8.0):
        """Wait until a condition holds; returns whether it did."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def warm_up(self):
        """Serve chats until every engine's agent allows all its slots.

        The agent of an engine that shows no change of pace allows one more
        request after 32 paces, so the answers are long.
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
        """Kill a process at once."""
        self.fleet.nodes_by_name[name].signal(signal.SIGKILL)
        self.fleet.nodes_by_name[name].wait()

    def stop(self, name):
        """Ask a process to stop gracefully."""
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
            await self.warm_up()

        self.run(undo())


@pytest.fixture(scope="session")
def deployment():
    """Start the deployment once for all scenarios."""
    with asyncio.Runner() as runner:
        world = World(runner)
        try:
            world.run(world.fleet.start())
            world.run(world.warm_up())
            yield world
        finally:
            world.run(world.fleet.stop())


@pytest.fixture
def world(deployment):
    """Give a scenario the deployment without faults."""
    deployment.chats = []
    deployment.streams = []
    deployment.new_order()
    yield deployment
    deployment.recover()
