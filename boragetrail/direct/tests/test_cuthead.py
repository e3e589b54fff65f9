"""Responses that end within their head, at each byte of it."""

import asyncio

import aiohttp
import pytest

from boragetrail.platform.names import HEADER_NAMES

BODY = b"the whole body of the server"
EVENTS = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5))
# Fields that say how a body ends; without one it ends with its connection.
FRAMINGS = {
    "length": lambda body: [f"Content-Length: {len(body)}"],
    "chunks": lambda body: ["Transfer-Encoding: chunked"],
    "close": lambda body: [],
}


def response_bytes(request_id, framing, stream):
    """Return a complete response as (head, body) bytes."""
    body = EVENTS if stream else BODY
    lines = [
        "HTTP/1.1 200 OK",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.seal}: seal-{request_id}",
        f"Content-Type: {'text/event-stream' if stream else 'text/plain'}",
        *FRAMINGS[framing](body),
    ]
    if framing == "chunks":
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return "\r\n".join(lines).encode() + b"\r\n\r\n", body


class CutServer:
    """Answer the first request of each pair, and cut the second response.

    :param cut: number of bytes of the second response
    :param reset: whether its connection is reset, rather than closed
    """

    def __init__(self, framing, stream, cut, reset):
        self.framing = framing
        self.stream = stream
        self.cut = cut
        self.reset = reset

    async def serve(self, request):
        """Send the beginning of a response and end the connection."""
        head, body = response_bytes(request.id, self.framing, self.stream)
        request.writer.write((head + body)[: self.cut])
        if self.reset:
            await asyncio.sleep(0.001)
            return None
        request.writer.close()
        return b""


async def call(cluster, daemon, path):
    """Return (status, body), or ``None`` if the response was not whole."""
    try:
        status, _, body = await cluster.call(daemon, path)
    except aiohttp.ClientError:
        return None
    return status, body


class TestCutHeads:
    """MIXED, ORDER, TWICE: a cut response is not whole, and not retried."""

    @pytest.fixture
    async def daemon(self, cluster):
        """A router with one server."""
        await cluster.remove_server()
        return await cluster.add_router()

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("path", ["/order/1", "/status/1", "/stream/1"])
    @pytest.mark.parametrize("kept", [False, True])
    async def test_each_byte_of_the_head(
        self, cluster, daemon, framing, path, kept
    ):
        # Guards against a head without its empty line that is taken for
        # whole, so that its body seems to end with the connection.
        await self._check(cluster, daemon, framing, path, kept, False)

    @pytest.mark.parametrize("path", ["/order/1", "/stream/1"])
    async def test_each_byte_of_the_head_with_a_reset(
        self, cluster, daemon, path
    ):
        await self._check(cluster, daemon, "close", path, True, True)

    async def _check(self, cluster, daemon, framing, path, kept, reset):
        (server,) = cluster.servers
        stream = path == "/stream/1"
        head, body = response_bytes("a0000000", framing, stream)
        # Bodies that end with their connection may end anywhere.
        size = len(head) + (0 if framing == "close" else len(body) - 1)
        state = daemon.fleet.states_by_id
        for cut in range(size):
            if kept:
                assert (await call(cluster, daemon, "/status/1"))[0] == 200
            else:
                for each in state.values():
                    each.pool.close()
            server.requests.clear()
            cut_server = CutServer(framing, stream, cut, reset)
            server.behaviours.append(cut_server.serve)
            got = await call(cluster, daemon, path)
            server.behaviours.clear()
            assert got is None or got[0] >= 500, (cut, got)
            if path == "/order/1":
                assert got[0] in (502, 504), (cut, got)
                assert len(server.requests) == 1
