"""Tests with servers whose responses have an invalid head."""

import asyncio

import aiohttp
import pytest

from boragetrail.direct.tests.test_path import EVENTS, stream_of
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer
from standins.invalidheads import (
    INVALID_ENDS,
    INVALID_FIELDS,
    INVALID_STATUS_LINES,
)

BODY = b"bytes of the server"
SOUND = b"sound"
# Time between two parts of a response, so that they are read apart.
SPLIT_S = 0.02
IN_TIME_S = 1.0
PATHS = ["/order/1", "/status/1", "/stream/1"]
# How the body of a response ends.
FRAMINGS = ["length", "close"]
STATUSES = [b"200 OK", b"404 Not Found", b"500 Internal Server Error"]
FOREIGN = b"bytes of another response"
# Invalid responses that hold these bytes.
FOREIGN_FORMS = [
    b"%s\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%s: 1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Odd: %s\0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s\r\n",
]
REFUSALS = ["421 Misdirected Request", "503 Service Unavailable"]


class InvalidServer:
    """Send responses whose head is invalid in one place.

    :param status_name: name of the status line in ``INVALID_STATUS_LINES``,
        or empty for a valid one
    :param field_name: name of a field in ``INVALID_FIELDS``, or empty for none
    :param framing: how the body ends
    :param status: status and reason of a valid status line
    :param before: bytes that are sent before the response
    """

    def __init__(
        self,
        status_name,
        field_name="",
        framing="length",
        status=STATUSES[0],
        before=b"",
    ):
        self.name = status_name or field_name
        self.status_line = INVALID_STATUS_LINES.get(
            status_name, b"HTTP/1.1 " + status
        )
        self.field = INVALID_FIELDS.get(field_name, b"X-Valid: 1")
        self.framing = framing
        self.before = before

    async def serve(self, request):
        """Send a response that is whole but for its head."""
        fields = ["Content-Type: text/event-stream"]
        whole = whole_answer(request, BODY, fields=fields)
        _, _, rest = whole.partition(b"\r\n")
        if self.framing == "close":
            length = b"Content-Length: %d\r\n" % len(BODY)
            rest = rest.replace(length, b"Connection: close\r\n")
        lines = (self.status_line, self.field, rest)
        request.writer.write(self.before + b"\r\n".join(lines))
        if self.framing == "close":
            await request.writer.drain()
            request.writer.close()
        return b""


async def sound(request):
    """Return a valid response."""
    return whole_answer(request, SOUND)


async def call(cluster, daemon, path):
    """Return (status, headers, body), or ``None`` if it is not whole."""
    try:
        return await cluster.call(daemon, path)
    except aiohttp.ClientError:
        return None


class InvalidEnd:
    """Send responses that do not say properly how their body ends.

    :param name: name in ``INVALID_ENDS``
    """

    def __init__(self, name):
        self.name = name

    async def serve(self, request):
        """Send a response with a body that fits its fields."""
        fields, body = INVALID_ENDS[self.name]
        lines = (
            "HTTP/1.1 200 OK",
            f"{HEADER_NAMES.request_id}: {request.id}",
            f"{HEADER_NAMES.seal}: seal",
            fields.decode("latin-1"),
        )
        head = "\r\n".join(lines).encode("latin-1")
        request.writer.write(head + b"\r\n\r\n" + body)
        if b"Connection: close" in fields:
            await request.writer.drain()
            request.writer.close()
        return b""


class InvalidHeads:
    """Checks that responses with an invalid head are not passed on."""

    @pytest.fixture
    async def daemon(self, cluster):
        """A router with one server."""
        await cluster.remove_server()
        return await cluster.add_router()

    async def check(self, cluster, daemon, path, invalid, kept):
        """Check the response that a caller gets.

        :param kept: whether the connection has had a request before
        """
        (server,) = cluster.servers
        if kept:
            assert (await call(cluster, daemon, "/status/1"))[0] == 200
        server.requests.clear()
        server.behaviours.append(invalid.serve)
        got = await call(cluster, daemon, path)
        assert got is not None
        status, headers, body = got
        assert status == 502, (invalid.name, got)
        assert HEADER_NAMES.seal not in headers, invalid.name
        assert BODY not in body, invalid.name
        assert len(server.requests) == 1, invalid.name


class TestInvalidStatus(InvalidHeads):
    """MIXED: a status outside of the protocol is no response."""

    # Callers got responses with the statuses 0 to 99 and 600 to 999.
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("kept", [False, True])
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_status_is_not_passed_on(
        self, cluster, daemon, path, kept, framing
    ):
        for name in INVALID_STATUS_LINES:
            invalid = InvalidServer(name, framing=framing)
            await self.check(cluster, daemon, path, invalid, kept)

    async def test_next_request_uses_another_connection(self, cluster, daemon):
        (server,) = cluster.servers
        server.behaviours.append(InvalidServer("zero").serve)
        assert (await call(cluster, daemon, "/order/1"))[0] == 502
        assert (await call(cluster, daemon, "/order/1"))[0] == 200
        assert server.connections == 2

    async def test_informational_response(self, cluster, daemon):
        before = b"HTTP/1.1 000 Continue\r\n\r\n"
        invalid = InvalidServer("", "", before=before)
        await self.check(cluster, daemon, "/order/1", invalid, False)


class TestValidStatus(InvalidHeads):
    """Statuses of HTTP are passed on, also those that have no name."""

    @pytest.mark.parametrize("status", [201, 299, 400, 418, 499, 500, 599])
    async def test_status_is_passed_on(self, cluster, daemon, status):
        async def respond(request):
            return whole_answer(request, SOUND, f"{status} Reason")

        (server,) = cluster.servers
        server.default = respond
        got, headers, body = await cluster.call(daemon, "/order/1")
        assert (got, body) == (status, SOUND)
        assert HEADER_NAMES.seal in headers


class TestRetries:
    """What may be executed again is sent to another server."""

    @pytest.mark.parametrize("name", ["zero", "largest"])
    async def test_idempotent_request(self, cluster, name):
        daemon = await cluster.add_router()
        invalid = InvalidServer(name)
        sent = []

        async def fail_first(request):
            sent.append(request.id)
            respond = invalid.serve if len(sent) == 1 else sound
            return await respond(request)

        for server in cluster.servers:
            server.default = fail_first
        status, _, body = await cluster.call(daemon, "/status/1")
        assert (status, body) == (200, SOUND)
        assert len(sent) == 2

    @pytest.mark.parametrize("name", ["zero", "largest"])
    async def test_stream_that_goes_on(self, cluster, name):
        daemon = await cluster.add_router()
        invalid = InvalidServer(name)
        begun = []

        async def begin_or_fail(request):
            if begun:
                return await invalid.serve(request)
            begun.append(request.id)
            return await stream_of(*EVENTS[:2], abort_after=True)(request)

        for server in cluster.servers:
            server.default = begin_or_fail
        received = b""
        async with cluster.request(daemon, "/resume/1") as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                async for data in response.content.iter_any():
                    received += data
        assert received == b"".join(EVENTS[:2])


class TestInvalidFields(InvalidHeads):
    """MIXED: a head with an invalid field is no response."""

    # Guards against a name with a blank or a control byte that is passed on,
    # or that hides how the body ends. A control byte in a value ended the
    # router's response with an exception, and an agent passed it on. A line
    # that begins with a blank was passed on without it, or as a part of the
    # value before it.
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("kept", [False, True])
    async def test_field_is_not_passed_on(self, cluster, daemon, path, kept):
        for name in INVALID_FIELDS:
            invalid = InvalidServer("", name)
            await self.check(cluster, daemon, path, invalid, kept)

    @pytest.mark.parametrize("status", STATUSES)
    async def test_body_without_a_length(self, cluster, daemon, status):
        for name in INVALID_FIELDS:
            invalid = InvalidServer("", name, "close", status)
            await self.check(cluster, daemon, "/order/1", invalid, False)

    @pytest.mark.parametrize(
        "field", [b"X-Odd Name: 1", b"X-Odd: a\x01b", b" X-Odd: 1"]
    )
    async def test_informational_response(self, cluster, daemon, field):
        before = b"HTTP/1.1 100 Continue\r\n" + field + b"\r\n\r\n"
        invalid = InvalidServer("", "", before=before)
        await self.check(cluster, daemon, "/order/1", invalid, False)

    # The seal that the caller got held the line after it.
    @pytest.mark.parametrize("path", PATHS)
    async def test_line_after_the_seal(self, cluster, daemon, path):
        invalid = InvalidServer("", "blank before the name")
        invalid.field = f"{HEADER_NAMES.seal}: a\r\n X-Odd: 1".encode()
        await self.check(cluster, daemon, path, invalid, False)

    async def test_head_in_single_bytes(self, cluster, daemon):
        async def respond(request):
            fields = ["X-A: 1", " X-Odd: 1"]
            whole = whole_answer(request, BODY, fields=fields)
            for number in range(len(whole)):
                request.writer.write(whole[number : number + 1])
                await asyncio.sleep(0)
            return b""

        cluster.servers[0].default = respond
        assert (await call(cluster, daemon, "/order/1"))[0] == 502


class TestInvalidEnds(InvalidHeads):
    """MIXED: a body whose end is not told properly is no engine's body."""

    # Callers got the body together with the field that has a blank, or the
    # body in a coding that nobody had undone.
    @pytest.mark.parametrize("name", INVALID_ENDS)
    @pytest.mark.parametrize("path", PATHS)
    async def test_body_is_not_passed_on(self, cluster, daemon, name, path):
        invalid = InvalidEnd(name)
        await self.check(cluster, daemon, path, invalid, False)


class TestValidFields(InvalidHeads):
    """Fields that are unusual but valid are passed on."""

    @pytest.mark.parametrize("value", ["", "a\tb", "a  b", "a:b\"'{}"])
    async def test_value(self, cluster, daemon, value):
        async def respond(request):
            return whole_answer(request, SOUND, fields=[f"X-Odd: {value}"])

        cluster.servers[0].default = respond
        status, headers, body = await cluster.call(daemon, "/order/1")
        assert (status, body) == (200, SOUND)
        assert headers["X-Odd"] == value

    # The check of lines that begin with a blank ends with the head.
    async def test_body_with_such_lines(self, cluster, daemon):
        text = b"a\n b\r\n\tc\r\n\r\n d"

        async def respond(request):
            await asyncio.sleep(0)
            early = b"HTTP/1.1 100 Continue\r\n\r\n"
            return early + whole_answer(request, text)

        cluster.servers[0].default = respond
        for _ in range(2):
            status, _, body = await cluster.call(daemon, "/order/1")
            assert (status, body) == (200, text)


class TestInvalidChunks(InvalidHeads):
    """A body that turns invalid fails its response at once."""

    # Callers waited for their deadline: the reader of the body was not told.
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("bad", [b"no size", b"2\r\nabc", b"0\r\nX Y: 1"])
    async def test_request_fails(self, cluster, daemon, path, bad):
        async def respond(request):
            fields = ["Content-Type: text/event-stream"]
            whole = whole_answer(request, b"", fields=fields)
            chunked = b"Transfer-Encoding: chunked"
            request.writer.write(whole.replace(b"Content-Length: 0", chunked))
            await asyncio.sleep(SPLIT_S)
            request.writer.write(bad + b"\r\n")
            await request.sender_left()

        (server,) = cluster.servers
        server.default = respond
        async with asyncio.timeout(IN_TIME_S):
            got = await call(cluster, daemon, path)
        if path == "/stream/1":
            assert got is None
        else:
            assert got[0] == 502


class TestDetails(InvalidHeads):
    """The router's own error holds no bytes of an invalid response."""

    # They may be those of a response to another caller.
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("form", FOREIGN_FORMS)
    async def test_bytes_are_not_quoted(self, cluster, daemon, path, form):
        async def respond(request):
            request.writer.write(form % FOREIGN)
            await request.sender_left()

        cluster.servers[0].default = respond
        async with asyncio.timeout(IN_TIME_S):
            status, _, body = await call(cluster, daemon, path)
        assert status == 502
        assert FOREIGN not in body


class TestInvalidRefusals:
    """An invalid head does not say that a request was not executed."""

    # A caller may repeat an order after 503, and TWICE forbids that.
    @pytest.mark.parametrize("refusal", REFUSALS)
    @pytest.mark.parametrize("name", ["name with a blank", "value with DEL"])
    async def test_order_is_not_sent_again(self, cluster, refusal, name):
        daemon = await cluster.add_router()
        field = INVALID_FIELDS[name].decode("latin-1")
        fields = [f"{HEADER_NAMES.not_executed}: 1", field]

        async def refuse(request):
            await asyncio.sleep(0)
            return whole_answer(request, b"", refusal, fields)

        for server in cluster.servers:
            server.default = refuse
        status, _, _ = await cluster.call(daemon, "/order/1")
        assert status == 502
        assert sum(len(each.requests) for each in cluster.servers) == 1
