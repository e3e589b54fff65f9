"""Tests with servers that send bytes without end."""

import asyncio

import aiohttp
import pytest

from boragetrail.direct.tests.test_trouble import stream_head
from boragetrail.platform.names import HEADER_NAMES

PIECE = b"x" * 64 * 1024
# What a server may send until the router closes the connection: the limit on
# a body, and what the sockets' buffers hold.
MAX_SENT_BYTES = 16 * 1024 * 1024
ENOUGH_BYTES = 64 * 1024 * 1024
IN_TIME_S = 1.5


def head(request, *fields):
    """Return the head of a success with further fields."""
    lines = (
        "HTTP/1.1 200 OK",
        f"{HEADER_NAMES.request_id}: {request.id}",
        f"{HEADER_NAMES.seal}: seal",
        *fields,
    )
    return "\r\n".join(lines).encode()


# What a server sends before the bytes that do not end.
STARTS = {
    "status line": lambda request: b"HTTP/1.1 200 ",
    "no status line": lambda request: b"",
    "field name": lambda request: head(request) + b"\r\nX-",
    "field value": lambda request: head(request, "X-Long: "),
    "body": lambda request: head(request, "Connection: close") + b"\r\n\r\n",
    "body with a length": lambda request: (
        head(request, "Content-Length: 99999999999") + b"\r\n\r\n"
    ),
    "chunk size": lambda request: (
        head(request, "Transfer-Encoding: chunked") + b"\r\n\r\n"
    ),
    "chunk extension": lambda request: (
        head(request, "Transfer-Encoding: chunked") + b"\r\n\r\n5;"
    ),
    "chunk": lambda request: (
        head(request, "Transfer-Encoding: chunked") + b"\r\n\r\nffffffff\r\n"
    ),
    "trailer": lambda request: (
        head(request, "Transfer-Encoding: chunked") + b"\r\n\r\n0\r\nX-"
    ),
    "body of another request": lambda request: (
        b"HTTP/1.1 200 OK\r\n"
        + f"{HEADER_NAMES.request_id}: another\r\n\r\n".encode()
    ),
    "error": lambda request: (
        head(request).replace(b"200 OK", b"500 Error") + b"\r\n\r\n"
    ),
}
REPEATED = {
    "informational responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
    "fields": b"X-A: b\r\n" * 1000,
    "trailers": b"X-A: b\r\n" * 1000,
}


class Endless:
    """Send a start and then the same bytes until the router closes."""

    def __init__(self, start, piece=PIECE):
        self.start = start
        self.piece = piece
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def respond(self, request):
        """Send up to ``ENOUGH_BYTES``."""
        try:
            await self._send(request)
        finally:
            self.closed.set()

    async def _send(self, request):
        left = asyncio.ensure_future(request.sender_left())
        request.writer.write(self.start(request))
        while self.sent_bytes < ENOUGH_BYTES and not left.done():
            request.writer.write(self.piece)
            await request.writer.drain()
            self.sent_bytes += len(self.piece)
            await asyncio.sleep(0)
        await left


async def check_ended(cluster, endless, path):
    """Check that a request and its connection end, and others go on."""
    daemon = await cluster.add_router()
    for server in cluster.servers:
        server.default = endless.respond
    request = asyncio.ensure_future(cluster.call(daemon, path))
    async with asyncio.timeout(IN_TIME_S):
        try:
            status, _, _ = await request
            assert status in (500, 502)
        except aiohttp.ClientError:
            pass
        await endless.closed.wait()
    assert endless.sent_bytes < MAX_SENT_BYTES


class TestEndlessBytes:
    """The router closes the connection after a bounded number of bytes."""

    @pytest.mark.parametrize("path", ["/order/1", "/stream/1"])
    @pytest.mark.parametrize("name", STARTS)
    async def test_bytes_that_do_not_end(self, cluster, name, path):
        await check_ended(cluster, Endless(STARTS[name]), path)

    @pytest.mark.parametrize("path", ["/order/1", "/stream/1"])
    @pytest.mark.parametrize("name", REPEATED)
    async def test_lines_that_do_not_end(self, cluster, name, path):
        starts = {
            "fields": lambda request: head(request) + b"\r\n",
            "trailers": lambda request: stream_head(request) + b"0\r\n",
        }
        start = starts.get(name, lambda request: b"")
        await check_ended(cluster, Endless(start, REPEATED[name]), path)
