"""Tests of the memory for the bodies of requests."""

import asyncio

import pytest

from boragetrail.direct.buffers import MAX_REQUEST_BYTES, BufferBudget
from boragetrail.direct.tests.conftest import configuration

BODY_BYTES = 90_000
# The budget has room for two bodies.
BUDGET_BYTES = 200_000


class TestBodiesTogether:
    """Bodies that slow servers read took a router over its memory.

    All of them were kept until their servers had read them, however many
    there were.
    """

    async def open(self, cluster):
        """Return (router with a small budget, event that lets servers go).

        Servers answer all requests once the event is set.
        """
        cluster.store.put("op", "config", configuration(2))
        daemon = await cluster.add_router()
        daemon.frontend.filter_chain.body_budget = BufferBudget(BUDGET_BYTES)
        go = asyncio.Event()
        for server in cluster.servers:
            respond = server.default

            async def wait(request, respond=respond):
                await go.wait()
                return await respond(request)

            server.default = wait
        return daemon, go

    def start(self, cluster, daemon, path="/status/1", body=None):
        """Start a request with a body."""
        body = body if body is not None else b"x" * BODY_BYTES
        return asyncio.ensure_future(cluster.call(daemon, path, data=body))

    async def begin(self, cluster, daemon, count):
        """Return requests whose bodies servers have got, as a list."""
        calls = [self.start(cluster, daemon) for _ in range(count)]
        await cluster.until(
            lambda: (
                sum(len(each.requests) for each in cluster.servers) == count
            )
        )
        return calls

    async def test_body_without_room_is_refused(self, cluster):
        daemon, go = await self.open(cluster)
        calls = await self.begin(cluster, daemon, 2)
        status, headers, _ = await self.start(cluster, daemon)
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert sum(len(each.requests) for each in cluster.servers) == 2
        go.set()
        assert [(await call)[0] for call in calls] == [200, 200]

    async def test_small_bodies_always_have_room(self, cluster):
        daemon, go = await self.open(cluster)
        calls = await self.begin(cluster, daemon, 2)
        go.set()
        status, _, _ = await self.start(cluster, daemon, body=b"x" * 400)
        assert status == 200
        await asyncio.gather(*calls)

    async def test_body_in_chunks(self, cluster):
        daemon, go = await self.open(cluster)
        calls = await self.begin(cluster, daemon, 2)

        async def chunks():
            for _ in range(9):
                yield b"x" * (BODY_BYTES // 9)

        status, _, _ = await self.start(cluster, daemon, body=chunks())
        assert status == 503
        go.set()
        await asyncio.gather(*calls)

    async def test_body_that_never_finds_room(self, cluster):
        limits = {**configuration()["limits"], "maxBodyBytes": 2**30}
        cluster.store.put("op", "config", configuration(2, limits=limits))
        daemon = await cluster.add_router()
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        body = bytes(MAX_REQUEST_BYTES + 2**20)
        status, _, _ = await self.start(cluster, daemon, body=body)
        assert status == 413
        status, _, _ = await self.start(cluster, daemon, body=body[: -(2**20)])
        assert status == 200

    @pytest.mark.parametrize("path", ["/status/1", "/order/1"])
    async def test_memory_is_given_back(self, cluster, path):
        daemon, go = await self.open(cluster)
        budget = daemon.frontend.filter_chain.body_budget
        calls = [self.start(cluster, daemon, path) for _ in range(2)]
        await cluster.until(lambda: budget.left_bytes < BODY_BYTES)
        # The first caller leaves, the second gets its response.
        calls[0].cancel()
        go.set()
        assert (await calls[1])[0] == 200
        await cluster.until(lambda: budget.left_bytes == BUDGET_BYTES)
