"""Servers that answer a long upload early and reset the connection."""

import asyncio

import aiohttp
import pytest

from boragetrail.direct.tests.conftest import configuration
from standins.earlyserver import PART, READ_BYTES, EarlyServer, End

MAX_BODY_BYTES = 8 * 1024 * 1024
UPLOAD_BYTES = [100_000, 2_000_000, 7_500_000]
DELAYS_S = [0.0, 0.001, 0.02]
IN_TIME_S = 1.5


@pytest.fixture
async def server(cluster):
    """The only server of a cluster that takes long uploads."""
    limits = configuration()["limits"]
    limits["maxBodyBytes"] = MAX_BODY_BYTES
    cluster.store.put("op", "config", configuration(2, limits=limits))
    while cluster.servers:
        await cluster.remove_server()
    made = EarlyServer()
    await made.open()
    cluster.servers.append(made)
    cluster.list_server(made)
    return made


async def upload(cluster, daemon, path, size):
    """Return (status, body), or ``None`` if the response was not whole."""
    try:
        async with asyncio.timeout(IN_TIME_S):
            status, _, body = await cluster.call(
                daemon, path, data=b"x" * size
            )
    except aiohttp.ClientError:
        return None
    return status, body


@pytest.mark.parametrize("path", ["/order/1", "/stream/1"])
@pytest.mark.parametrize("size", UPLOAD_BYTES)
class TestEarlyReset:
    """MIXED: a part of a body is not passed on as a complete response."""

    @pytest.mark.parametrize("end", [End.RESET, End.CLOSE_UNREAD])
    @pytest.mark.parametrize("read_bytes", [0, READ_BYTES])
    async def test_reset(self, cluster, server, path, size, end, read_bytes):
        daemon = await cluster.add_router()
        server.end = end
        server.read_bytes = read_bytes
        for server.delay_s in DELAYS_S:
            await self._check(cluster, daemon, server, path, size)

    async def _check(self, cluster, daemon, server, path, size):
        server.requests.clear()
        got = await upload(cluster, daemon, path, size)
        assert got is None or got[0] == 502, (server.delay_s, got)
        assert len(server.requests) == 1

    # Callers got the part as complete: what the router had written was with
    # its kernel, which reports such a reset to a writer only.
    @pytest.mark.parametrize("read_bytes", [0, READ_BYTES])
    async def test_reset_after_the_end_of_the_body(
        self, cluster, server, path, size, read_bytes
    ):
        daemon = await cluster.add_router()
        server.end = End.FINISH_AND_RESET
        server.read_bytes = read_bytes
        for server.delay_s in DELAYS_S:
            await self._check(cluster, daemon, server, path, size)


@pytest.mark.parametrize("path", ["/order/1", "/stream/1"])
@pytest.mark.parametrize("size", [0, *UPLOAD_BYTES])
class TestEarlyAnswer:
    """A server may answer early, if it takes the rest of the request."""

    async def test_rest_is_read(self, cluster, server, path, size):
        daemon = await cluster.add_router()
        server.end = End.FINISH_AND_READ
        for server.delay_s in DELAYS_S:
            got = await upload(cluster, daemon, path, size)
            assert got == (200, PART)


class TestStall:
    """A server that finishes early and reads nothing is not waited for."""

    async def test_request_ends(self, cluster, server):
        daemon = await cluster.add_router()
        server.end = End.FINISH
        got = await upload(cluster, daemon, "/order/1", UPLOAD_BYTES[-1])
        assert got[0] == 502
