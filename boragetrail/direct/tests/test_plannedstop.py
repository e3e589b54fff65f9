"""Requests that come late in the grace period of a planned stop."""

import asyncio
import contextlib

import pytest

from boragetrail.direct.tests.conftest import (
    HOST,
    KEY,
    configuration,
    connect,
    route,
)
from boragetrail.platform.names import HEADER_NAMES

GRACE_S = 5.0
# Time after the signal from which the balancer sends no requests.
BALANCER_S = 3.0
BODY = b"x" * 2000
LONG_MS = 12000


def head(path, request_id, length=0, deadline_ms=LONG_MS):
    """Return the head of a request as bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.deadline_ms}: {deadline_ms}",
        f"{HEADER_NAMES.key}: {KEY}",
        f"Content-Length: {length}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def ran(cluster):
    """Return the ids of the requests that servers have got."""
    return [
        request.id for server in cluster.servers for request in server.requests
    ]


@pytest.fixture
async def stopping(cluster):
    """A router that is stopped; returns (daemon, function that stops it)."""
    routes = [route("order", "non_idempotent", timeoutMs=LONG_MS)]
    cluster.store.put("op", "config", configuration(2, routes=routes))
    daemon = await cluster.add_router(GRACE_S)
    await cluster.until(lambda: daemon.directory.configuration.version == 2)
    tasks = []

    def stop():
        tasks.append(asyncio.ensure_future(daemon.stop()))
        return tasks[-1]

    yield daemon, stop
    for task in tasks:
        with contextlib.suppress(Exception):
            await task


class TestLateBodies:
    """LOST: requests whose body comes while the router stops."""

    async def test_body_that_comes_after_the_port_was_closed(
        self, cluster, stopping
    ):
        # Guards against a router that reads a body and drops it.
        daemon, stop = stopping
        reader, writer = await connect(daemon)
        stop()
        await asyncio.sleep(BALANCER_S - 0.1)
        writer.write(head("/order/1", "late", len(BODY), deadline_ms=1500))
        await asyncio.sleep(0.5)
        writer.write(BODY)
        async with asyncio.timeout(0.5):
            assert (await reader.read(12)) == b"HTTP/1.1 200"
        writer.close()
