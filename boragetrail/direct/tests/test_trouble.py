"""Tests of failure modes that are known from other fleets of routers."""

import asyncio
import contextlib

import aiohttp
import pytest

from boragetrail.direct.eventstream import MAX_EVENT_BYTES, EventSplitter
from boragetrail.direct.tests.conftest import configuration
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

EVENT_INTERVAL_S = 0.5
PIECE = b"." * 16 * 1024
OTHER_KEY = "key-of-customer-2"


def stream_head(request):
    """Return the head of a streamed response."""
    lines = (
        "HTTP/1.1 200 OK",
        f"{HEADER_NAMES.request_id}: {request.id}",
        f"{HEADER_NAMES.seal}: seal",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data):
    """Return data framed as a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class DuplicatingServer:
    """Repeat the previous response before the response to each request."""

    def __init__(self):
        self.last = b""

    async def serve(self, request):
        """Return a response after a copy of the previous one."""
        response = whole_answer(request, request.id.encode())
        duplicate, self.last = self.last, response
        request.writer.write(duplicate)
        await request.writer.drain()
        await asyncio.sleep(0.02)
        return response


class TestDuplicateResponses:
    """A late copy of a response arrives while the next request waits."""

    async def test_next_caller_gets_its_own_response(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = DuplicatingServer().serve
        for number in range(6):
            fields = {HEADER_NAMES.request_id: f"status-{number}"}
            response = await cluster.call(daemon, "/status/1", headers=fields)
            assert response[2].decode() == f"status-{number}"


class TestSlowStreams:
    """Slow streams are forwarded up to their deadline."""

    async def test_slow_stream_is_completed(self, cluster):
        daemon = await cluster.add_router()
        events = [b"id: %d\ndata: e\n\n" % n for n in range(3)]

        async def slow(request):
            request.writer.write(stream_head(request))
            for event in events:
                request.writer.write(chunk(event))
                await request.writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            return chunk(b"")

        for server in cluster.servers:
            server.default = slow
        status, _, body = await cluster.call(daemon, "/stream/1")
        assert (status, body) == (200, b"".join(events))

    async def test_server_that_sends_single_bytes(self, cluster):
        daemon = await cluster.add_router()
        ended = asyncio.Event()

        async def drip(request):
            request.writer.write(stream_head(request))
            disconnected = asyncio.ensure_future(request.sender_left())
            while not disconnected.done():
                request.writer.write(chunk(b"."))
                await asyncio.sleep(0.02)
            ended.set()

        for server in cluster.servers:
            server.default = drip
        short_deadline = {HEADER_NAMES.deadline_ms: "400"}
        async with asyncio.timeout(5.0):
            with contextlib.suppress(aiohttp.ClientPayloadError):
                response = await cluster.call(
                    daemon, "/stream/1", headers=short_deadline
                )
                assert response[0] == 504
            await ended.wait()
        assert not daemon.fleet.loads_by_id()


class TestOversizedEvents:
    """A server streams an event that does not end."""

    async def test_router_buffers_no_more_than_its_limit(self, cluster):
        daemon = await cluster.add_router()
        sent = []

        async def flood(request):
            request.writer.write(stream_head(request))
            while sum(sent) < 8 * MAX_EVENT_BYTES:
                request.writer.write(chunk(PIECE))
                await request.writer.drain()
                sent.append(len(PIECE))
            return chunk(b"")

        for server in cluster.servers:
            server.default = flood
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.call(daemon, "/stream/1")
        assert sum(sent) < 8 * MAX_EVENT_BYTES


class TestUnexpectedErrors:
    """An unexpected exception fails one request, but not the next."""

    async def test_next_request_is_served(self, cluster, monkeypatch):
        daemon = await cluster.add_router()

        def fail(*arguments):
            raise ZeroDivisionError

        with monkeypatch.context() as patch:
            patch.setattr(daemon.dispatcher.selector, "choose", fail)
            assert (await cluster.call(daemon, "/order/1"))[0] == 502
        assert (await cluster.call(daemon, "/order/1"))[0] == 200


class TestRestart:
    """A router starts while the store is unavailable."""

    async def test_revoked_key_and_removed_server_stay_unused(self, cluster):
        first = await cluster.add_router()
        tenants = [{"name": "customer-2", "apiKeys": [OTHER_KEY]}]
        cluster.store.put("op", "config", configuration(2, tenants=tenants))
        cluster.store.remove("servers", cluster.servers[1].id)
        await cluster.until(lambda: first.directory.configuration.version == 2)
        await cluster.until(lambda: len(first.directory.servers_by_id) == 1)
        cluster.store.status = 503
        second = cluster.make_router()
        await second.open()
        await cluster.until(second.is_ready)
        assert (await cluster.call(second, "/order/1"))[0] == 401
        fields = {HEADER_NAMES.key: OTHER_KEY}
        for _ in range(6):
            response = await cluster.call(second, "/order/1", headers=fields)
            assert response[0] == 200
        assert not cluster.servers[1].requests


def unframed_head(request):
    """Return the head of a stream that ends with its connection."""
    head = stream_head(request)
    return head.replace(b"Transfer-Encoding: chunked", b"Connection: close")


def unframed_stream(*data):
    """Return a handler that sends data and then closes the connection."""

    async def respond(request):
        request.writer.write(unframed_head(request) + b"".join(data))
        await request.writer.drain()
        request.writer.close()
        return b""

    return respond


class TestLineEnds:
    """Events may end with any of the line ends that the format allows."""

    @pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
    def test_events_are_forwarded_as_they_arrive(self, end):
        events = EventSplitter()
        data = end.join((b"id: 1", b"data: e", b"", b"id: 2", b"data"))
        split = data.index(b"id: 2")
        assert events.feed(data) == data[:split]
        assert (events.last_id, events.remainder) == ("1", data[split:])


class TestStreamsWithoutLength:
    """A stream has neither a length nor chunks and ends with the connection.

    An end within an event is that of a broken stream.
    """

    EVENT = b"id: 1\ndata: e\n\n"
    LAST_EVENT = b"id: 2\ndata: e\n\n"

    async def test_end_after_an_event(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = unframed_stream(self.EVENT, self.LAST_EVENT)
        response = await cluster.call(daemon, "/stream/1")
        assert response[2] == self.EVENT + self.LAST_EVENT

    @pytest.mark.parametrize("data", [(EVENT, LAST_EVENT[:-1]), ()])
    async def test_end_within_an_event(self, cluster, data):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = unframed_stream(*data)
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.call(daemon, "/stream/1")

    async def test_resumed_at_another_server(self, cluster):
        daemon = await cluster.add_router()
        broken = unframed_stream(self.EVENT, self.LAST_EVENT[:5])
        whole = unframed_stream(self.LAST_EVENT)

        async def respond(request):
            resumed = HEADER_NAMES.last_event_id.lower() in request.headers
            return await (whole if resumed else broken)(request)

        for server in cluster.servers:
            server.default = respond
        response = await cluster.call(daemon, "/resume/1")
        assert response[2] == self.EVENT + self.LAST_EVENT
