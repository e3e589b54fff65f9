"""Responses of backend servers in trouble, as their agent sees them."""

import asyncio
import socket
import struct
import time
import types

import pytest

from boragetrail.agent.backend import (
    MAX_EVENT_BYTES,
    BackendClient,
    StepTimeMeter,
)
from boragetrail.agent.stream import AnswerStream
from boragetrail.errors import BackendFailure
from boragetrail.policy import StallGate
from boragetrail.reasons import Executed, Reason
from standins.earlyserver import PART, EarlyServer, End
from standins.invalidheads import (
    INVALID_ENDS,
    INVALID_FIELDS,
    INVALID_STATUS_LINES,
)

BODY = b"the whole body of the server"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
FRAMINGS = {
    "length": (b"Content-Length: %d\r\n\r\n" % len(BODY), BODY),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
    ),
    "close": (b"\r\n", BODY),
}
MAX_BYTES = 10000
IN_TIME_S = 1.0
UPLOAD_BYTES = [100_000, 2_000_000]


class CutServer:
    """Send the first bytes of a response and end the connection.

    :ivar data: bytes to send
    :ivar rest: bytes to send after a moment; the connection stays open then
    :ivar reset: whether the connection is reset, rather than closed
    """

    def __init__(self):
        self.data = b""
        self.rest = b""
        self.reset = False
        self.server = None
        self.url = ""

    async def open(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.data)
        await asyncio.sleep(0.002)
        if self.rest:
            writer.write(self.rest)
            await reader.read()
        if self.reset:
            # Closing a socket that does not linger sends a reset.
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


@pytest.fixture
async def cut_server():
    """A server that cuts its responses."""
    made = CutServer()
    await made.open()
    yield made
    made.server.close()


@pytest.fixture
async def client(cut_server):
    """The agent's client of that server."""
    made = BackendClient(cut_server.url)
    await made.open()
    yield made
    await made.close()


async def run(client, meter=None, max_bytes=MAX_BYTES, upload=b""):
    """Return (failure or ``None``, bytes that the router would get)."""
    dispatch = types.SimpleNamespace(
        method="POST",
        path="/order",
        headers=[],
        priority=1,
        resume_events=0,
        body=upload,
    )
    stream = AnswerStream(keep_whole=True)
    failure = await client.run(dispatch, stream, meter, max_bytes)
    return failure, bytes(stream.buffer)


class TestCutResponses:
    """MIXED: a response that was cut is reported as truncated."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("reset", [False, True])
    async def test_each_byte(self, cut_server, client, framing, reset):
        # Guards against a reset that is taken for the end of a body without
        # a length, and against a head without its empty line.
        rest, body = FRAMINGS[framing]
        cut_server.reset = reset
        size = len(HEAD + rest + body)
        if framing == "close" and not reset:
            size = len(HEAD + rest)
        for cut in range(size):
            cut_server.data = (HEAD + rest + body)[:cut]
            failure, got = await run(client)
            assert isinstance(failure, BackendFailure), (cut, got)

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_whole_response(self, cut_server, client, framing):
        rest, body = FRAMINGS[framing]
        cut_server.data = HEAD + rest + body
        assert await run(client) == (None, BODY)


class TestInvalidHeads:
    """MIXED: a response with an invalid head is a failure of the server."""

    # Callers got responses with the statuses 0 to 99, 101, and 600 to 999.
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_status(self, cut_server, client, framing):
        for name, line in INVALID_STATUS_LINES.items():
            await self._check(cut_server, client, framing, name, line, HEAD)

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_field(self, cut_server, client, framing):
        line = HEAD.partition(b"\r\n")[0]
        for name, field in INVALID_FIELDS.items():
            head = HEAD + field + b"\r\n"
            await self._check(cut_server, client, framing, name, line, head)

    # Callers got the body together with the field that has a blank, or the
    # body in a coding that nobody had undone.
    @pytest.mark.parametrize("name", INVALID_ENDS)
    async def test_end(self, cut_server, client, name):
        fields, body = INVALID_ENDS[name]
        cut_server.data = HEAD + fields + b"\r\n\r\n" + body
        failure, got = await run(client)
        assert isinstance(failure, BackendFailure), got
        assert got == b""

    async def _check(self, cut_server, client, framing, name, line, head):
        """Check that nothing of a response is passed on.

        :param line: status line that replaces that of the head
        """
        rest, body = FRAMINGS[framing]
        fields = head.partition(b"\r\n")[2]
        cut_server.data = line + b"\r\n" + fields + rest + body
        failure, got = await run(client)
        assert isinstance(failure, BackendFailure), (name, got)
        assert failure.ran is Executed.UNKNOWN, name
        assert got == b"", name


class TestInvalidChunks:
    """A body that turns invalid fails its response at once."""

    # An agent waited for its read timeout of 30 s.
    async def test_response_fails(self, client, cut_server):
        head, _ = FRAMINGS["chunks"]
        cut_server.data = HEAD + head
        cut_server.rest = b"no size\r\n"
        async with asyncio.timeout(IN_TIME_S):
            failure, got = await run(client)
        assert failure.reason is Reason.TRUNCATED
        assert got == b""


class TestDetails:
    """A failure's detail, which the caller gets, holds no such bytes."""

    async def test_bytes_are_not_quoted(self, client, cut_server):
        foreign = b"bytes of another response"
        cut_server.data = HEAD + foreign + b": 1\r\n\r\n"
        failure, _ = await run(client)
        assert foreign.decode() not in failure.detail


@pytest.mark.parametrize("size", UPLOAD_BYTES)
class TestEarlyReset:
    """MIXED: a server answers a long upload early, and resets."""

    @pytest.fixture
    async def early_server(self):
        """A server that answers before it has read the request."""
        made = EarlyServer()
        await made.open()
        yield made
        await made.close()

    async def run(self, early_server, size):
        """Return (failure or ``None``, bytes) of an upload."""
        client = BackendClient(f"http://{early_server.address}")
        await client.open()
        try:
            return await run(client, upload=b"x" * size)
        finally:
            await client.close()

    # Guards against a reset that is taken for the end of the body. With a
    # reset after that end callers got the part as complete.
    @pytest.mark.parametrize(
        "end", [End.RESET, End.CLOSE_UNREAD, End.FINISH_AND_RESET]
    )
    async def test_part_is_truncated(self, early_server, size, end):
        early_server.end = end
        failure, _ = await self.run(early_server, size)
        assert isinstance(failure, BackendFailure)

    async def test_whole_response(self, early_server, size):
        early_server.end = End.FINISH_AND_READ
        assert await self.run(early_server, size) == (None, PART)


class TestEndlessEvent:
    """An event that does not end is not kept."""

    # An agent kept all of an event, and searched it anew with each read.
    async def test_event_is_cut_off(self, cut_server, client):
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        cut_server.data = head + b"data: " + b"x" * (4 * MAX_EVENT_BYTES)
        meter = StepTimeMeter(lambda step_s: None, StallGate(time.monotonic))
        failure, got = await run(client, meter, 64 * MAX_EVENT_BYTES)
        assert failure.reason is Reason.ANSWER_TOO_LARGE
        assert got == b""
