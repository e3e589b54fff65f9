"""Tests of requests through a router to servers."""

import asyncio

import aiohttp
import pytest

from boragetrail.direct.tests.conftest import HOST, KEY, configuration
from boragetrail.direct.tests.conftest import connect, route
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer


def refusal(request):
    """Return the response of a server that did not execute a request."""
    fields = [f"{HEADER_NAMES.not_executed}: 1"]
    return whole_answer(request, b"", "503 Service Unavailable", fields)


async def refuse(request):
    """Refuse a request as not executed."""
    return refusal(request)


async def fail(request):
    """Return an error after executing a request."""
    return whole_answer(request, b"oops", "500 Internal Server Error")


async def abort(request):
    """Abort the connection without a response."""
    return None


async def hang(request):
    """Never respond."""
    await asyncio.sleep(60)


def stream_of(*events, end=True, abort_after=False):
    """Return a handler that streams events in chunks.

    :param end: whether the stream ends with a last, empty chunk
    :param abort_after: whether the connection is aborted after the events
    """

    async def handle(request):
        head = "\r\n".join(
            [
                "HTTP/1.1 200 OK",
                f"{HEADER_NAMES.request_id}: {request.id}",
                f"{HEADER_NAMES.seal}: seal",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
        )
        request.writer.write(head.encode() + b"\r\n\r\n")
        for event in events:
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(0.01)
        if abort_after:
            return None
        return b"0\r\n\r\n" if end else b""

    return handle


EVENTS = [b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 5)]


class TestCompleteResponses:
    """Requests and responses that are forwarded as a whole."""

    async def test_response_is_forwarded_unchanged(self, cluster):
        daemon = await cluster.add_router()
        status, headers, body = await cluster.call(
            daemon, "/order/a%2Fb//c?x=1&y=", data=b"screens"
        )
        assert (status, body) == (200, b"done")
        assert headers[HEADER_NAMES.seal].startswith("seal-")
        (received,) = cluster.servers[0].requests + cluster.servers[1].requests
        assert received.line == "POST /order/a%2Fb//c?x=1&y= HTTP/1.1"
        assert received.body == b"screens"

    async def test_router_overwrites_reserved_fields(self, cluster):
        daemon = await cluster.add_router()
        forged = {
            HEADER_NAMES.customer: "somebody",
            HEADER_NAMES.expected_server: "i-9",
            HEADER_NAMES.priority: "0",
            "Kv-From": "10.0.0.1:1/x",
            "X-Boragetrail-Hold": "h",
            "Connection": "keep-alive, X-Boragetrail-Model",
            "X-Boragetrail-Model": "m",
        }
        await cluster.call(daemon, "/order/1", headers=forged)
        (received,) = cluster.servers[0].requests + cluster.servers[1].requests
        assert received.headers[HEADER_NAMES.customer.lower()] == "customer-1"
        expected = received.headers[HEADER_NAMES.expected_server.lower()]
        assert expected in ("i-0", "i-1")
        assert "kv-from" not in received.headers
        assert "x-boragetrail-hold" not in received.headers
        assert HEADER_NAMES.key.lower() not in received.headers
        assert received.headers["x-boragetrail-model"] == "m"
        assert received.headers[HEADER_NAMES.priority.lower()] == "1"
        left_ms = int(received.headers[HEADER_NAMES.deadline_ms.lower()])
        assert 1500 < left_ms <= 2000

    async def test_chunked_body_gets_a_length(self, cluster):
        daemon = await cluster.add_router()

        async def chunks():
            yield b"one"
            yield b"two"

        status, _, _ = await cluster.call(daemon, "/order/1", data=chunks())
        (received,) = cluster.servers[0].requests + cluster.servers[1].requests
        assert status == 200
        assert received.body == b"onetwo"
        assert received.headers["content-length"] == "6"


class TestRefusals:
    """Requests that the router or all servers refuse."""

    async def test_missing_configuration_is_not_reported_as_no_route(
        self, cluster
    ):
        cluster.store.status = 503
        daemon = cluster.make_router()
        await daemon.open()
        status, headers, _ = await cluster.call(daemon, "/order/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not daemon.is_ready()
        cluster.store.status = 0
        await cluster.until(daemon.is_ready)

    async def test_unknown_route_key_and_limits(self, cluster):
        daemon = await cluster.add_router()
        assert (await cluster.call(daemon, "/nowhere/1"))[0] == 404
        assert (await cluster.call(daemon, "/orderly"))[0] == 404
        bad_key = {HEADER_NAMES.key: "other"}
        status, _, _ = await cluster.call(daemon, "/order/1", headers=bad_key)
        assert status == 401
        status, _, _ = await cluster.call(daemon, "/open/1", headers=bad_key)
        assert status == 200
        large = {"X-Large": "x" * 5000}
        status, _, _ = await cluster.call(daemon, "/order/1", headers=large)
        assert status == 431
        status, _, _ = await cluster.call(
            daemon, "/order/1", data=b"x" * 100001
        )
        assert status == 413

    async def test_longest_prefix_wins(self, cluster):
        daemon = await cluster.add_router()
        routes = configuration()["routes"]
        routes.append(route("order/urgent", "idempotent", public=True))
        cluster.store.put("op", "config", configuration(2, routes=routes))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        path = "/order/urgent/1"
        no_key = {HEADER_NAMES.key: "other"}
        assert (await cluster.call(daemon, path, headers=no_key))[0] == 200

    async def test_no_server_is_listed(self, cluster):
        # The router raised an exception for a chat with prompt parts if no
        # server was listed.
        daemon = await cluster.add_router()
        for server in cluster.servers:
            cluster.store.remove("servers", server.id)
        routes = [route("chat", "streaming", sticky=True, public=True)]
        cluster.store.put("op", "config", configuration(2, routes=routes))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        await cluster.until(lambda: not daemon.directory.servers_by_id)
        prompt = {HEADER_NAMES.prompt_parts: "a1:100,b2:20"}
        status, headers, _ = await cluster.call(
            daemon, "/chat/1", headers=prompt
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    async def test_all_servers_refuse(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = refuse
        status, headers, _ = await cluster.call(daemon, "/order/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert HEADER_NAMES.seal not in headers
        arrivals = [len(server.requests) for server in cluster.servers]
        assert arrivals == [1, 1]


class TestRetries:
    """Failed and refused requests that may or may not be retried."""

    async def test_refused_request_is_retried(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.behaviours.append(refuse)
        cluster.servers[0].behaviours.clear()
        for _ in range(6):
            assert (await cluster.call(daemon, "/order/1"))[0] == 200

    async def test_order_with_a_lost_response_is_not_retried(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = abort
        status, _, _ = await cluster.call(daemon, "/order/1")
        assert status == 502
        assert sum(len(server.requests) for server in cluster.servers) == 1

    async def test_reset_of_a_reused_connection_is_not_retried(self, cluster):
        # With an HTTP client that retries by itself, an order would be
        # executed twice.
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.behaviours.extend([respond, abort])
        statuses = [
            (await cluster.call(daemon, "/order/1"))[0] for _ in range(8)
        ]
        arrivals = sum(len(server.requests) for server in cluster.servers)
        assert arrivals == 8
        assert statuses.count(502) == 2

    async def test_failed_status_request_is_retried_once(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.behaviours.append(fail)
        status, _, body = await cluster.call(daemon, "/status/1", method="GET")
        assert (status, body) == (500, b"oops")
        assert sum(len(server.requests) for server in cluster.servers) == 2
        status, _, _ = await cluster.call(daemon, "/status/2", method="GET")
        assert status == 200

    async def test_unreachable_server_is_skipped(self, cluster):
        daemon = await cluster.add_router()
        await cluster.servers[0].close()
        for _ in range(4):
            assert (await cluster.call(daemon, "/order/1"))[0] == 200
        assert len(cluster.servers[1].requests) == 4

    async def test_misdirected_request_is_retried(self, cluster):
        daemon = await cluster.add_router()

        async def misdirected(request):
            return whole_answer(request, b"", "421 Misdirected Request")

        cluster.servers[0].default = misdirected
        for _ in range(4):
            assert (await cluster.call(daemon, "/order/1"))[0] == 200
        assert len(cluster.servers[0].requests) <= 1


async def respond(request):
    """Return a complete response."""
    return whole_answer(request)


class TestInvalidResponses:
    """Truncated responses and responses to other requests."""

    async def test_response_to_another_request_is_skipped(self, cluster):
        daemon = await cluster.add_router()

        async def late_and_own(request):
            other = whole_answer(request, b"other").replace(
                request.id.encode(), b"another"
            )
            return other + whole_answer(request, b"own")

        for server in cluster.servers:
            server.default = late_and_own
        _, _, body = await cluster.call(daemon, "/order/1")
        assert body == b"own"

    async def test_bytes_after_a_response_are_discarded(self, cluster):
        daemon = await cluster.add_router()

        async def respond_twice(request):
            request.writer.write(whole_answer(request, b"own"))
            await asyncio.sleep(0.05)
            return whole_answer(request, b"again")

        for server in cluster.servers:
            server.default = respond_twice
        for _ in range(3):
            status, _, body = await cluster.call(daemon, "/order/1")
            assert (status, body) == (200, b"own")
            await asyncio.sleep(0.08)

    async def test_reset_does_not_end_a_response_without_length(self, cluster):
        daemon = await cluster.add_router()

        def unframed(reset):
            async def handle(request):
                head = whole_answer(request, b"").replace(
                    b"Content-Length: 0\r\n", b""
                )
                head = head.replace(b"Content-Length: 0", b"X: y")
                request.writer.write(head + b"half")
                await asyncio.sleep(0.05)
                if reset:
                    set_reset_on_close(request.writer)
                request.writer.close()
                return b""

            return handle

        for server in cluster.servers:
            server.default = unframed(True)
        assert (await cluster.call(daemon, "/order/1"))[0] == 502
        for server in cluster.servers:
            server.default = unframed(False)
        status, _, body = await cluster.call(daemon, "/order/1")
        assert (status, body) == (200, b"half")

    async def test_success_without_a_seal(self, cluster):
        daemon = await cluster.add_router()

        async def respond_unsealed(request):
            response = whole_answer(request)
            return response.replace(HEADER_NAMES.seal.encode(), b"X-Other")

        for server in cluster.servers:
            server.default = respond_unsealed
        assert (await cluster.call(daemon, "/order/1"))[0] == 502

    async def test_unmarked_503_is_not_reported_as_not_executed(self, cluster):
        daemon = await cluster.add_router()

        async def refuse_unmarked(request):
            return whole_answer(request, b"", "503 Service Unavailable")

        for server in cluster.servers:
            server.default = refuse_unmarked
        status, headers, _ = await cluster.call(daemon, "/order/1")
        assert status == 502
        assert HEADER_NAMES.seal not in headers


def set_reset_on_close(writer):
    """Make closing a connection send a TCP reset."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class TestStreams:
    """Streams of events."""

    async def test_events_are_forwarded(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = stream_of(*EVENTS)
        status, _, body = await cluster.call(daemon, "/stream/1")
        assert status == 200
        assert body == b"".join(EVENTS)

    async def test_truncated_stream_is_aborted_for_the_caller(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = stream_of(*EVENTS[:2], abort_after=True)
        with pytest.raises(aiohttp.ClientPayloadError):
            await cluster.call(daemon, "/stream/1")
        assert sum(len(server.requests) for server in cluster.servers) == 1

    async def test_resumable_stream_continues_at_another_server(self, cluster):
        daemon = await cluster.add_router()
        half = EVENTS[2][:5]
        for server in cluster.servers:
            server.behaviours.append(
                stream_of(*EVENTS[:2], half, abort_after=True)
            )
            server.default = stream_of(*EVENTS[2:])
        cluster.servers[1].behaviours.clear()
        cluster.servers[1].default = resume_from_header
        cluster.servers[0].default = resume_from_header
        for _ in range(4):
            status, _, body = await cluster.call(daemon, "/resume/1")
            assert (status, body) == (200, b"".join(EVENTS))

    async def test_disconnect_of_the_caller_frees_the_server(self, cluster):
        daemon = await cluster.add_router()
        disconnected = asyncio.Event()

        async def stream_until_disconnected(request):
            await stream_of(EVENTS[0], end=False)(request)
            # Writes fail once the router has closed the connection.
            while not request.writer.transport.is_closing():
                await asyncio.sleep(0.01)
                request.writer.write(b"1\r\n \r\n")
            disconnected.set()
            return None

        for server in cluster.servers:
            server.default = stream_until_disconnected
        async with cluster.request(daemon, "/stream/1") as response:
            await response.content.readany()
            response.connection.transport.abort()
        async with asyncio.timeout(0.5):
            await disconnected.wait()
        await cluster.until(lambda: not daemon.frontend.active)
        assert not daemon.fleet.loads_by_id()


async def resume_from_header(request):
    """Stream the events after the request's Last-Event-Id."""
    last = int(request.headers.get("last-event-id") or 0)
    return await stream_of(*EVENTS[last:])(request)


class TestDeadlines:
    """Requests whose deadline passes."""

    async def test_error_at_the_deadline(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = hang
        short_deadline = {HEADER_NAMES.deadline_ms: "200"}
        status, _, _ = await cluster.call(
            daemon, "/order/1", headers=short_deadline
        )
        assert status == 504
        await cluster.until(lambda: not daemon.fleet.loads_by_id())


class TestGracefulStop:
    """A router that stops accepting requests."""

    async def test_request_that_arrives_as_the_port_closes(self, cluster):
        # Until the handler of the request has started, the connection looks
        # idle.
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        writer.write(raw_request("/order/1", "crossing"))
        await asyncio.sleep(0)
        await cluster.until(lambda: daemon.frontend.server.connections)
        await daemon.frontend.stop_accepting()
        head = await reader.read(12)
        ran = [
            request.id
            for server in cluster.servers
            for request in server.requests
        ]
        assert (head == b"HTTP/1.1 200") == (ran == ["crossing"])
        writer.close()

    async def test_request_whose_connection_closes_as_it_is_read(
        self, cluster
    ):
        # No caller can get the response, so no server may get the request.
        daemon = await cluster.add_router()
        _, writer = await connect(daemon)
        await cluster.until(lambda: daemon.frontend.server.connections)
        (connection,) = daemon.frontend.server.connections
        connection.data_received(raw_request("/order/1", "crossing"))
        # Now the request is read; its handler starts in the next iteration.
        await asyncio.sleep(0)
        connection.force_close()
        await asyncio.sleep(0.1)
        writer.close()
        assert not any(server.requests for server in cluster.servers)
        assert not daemon.frontend.active

    async def test_idle_connections_close_with_the_port(self, cluster):
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        await cluster.until(lambda: daemon.frontend.server.connections)
        await daemon.frontend.stop_accepting()
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()

    async def test_pending_responses_are_finished(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = stream_of(*EVENTS)
        async with cluster.request(daemon, "/stream/1") as response:
            await daemon.frontend.stop_accepting()
            assert await response.read() == b"".join(EVENTS)

    async def test_connections_close_after_their_response(self, cluster):
        daemon = await cluster.add_router()
        daemon.shutdown.begin(grace_s=8.0)
        assert not daemon.is_ready()
        _, headers, _ = await cluster.call(daemon, "/order/1")
        assert headers["Connection"] == "close"


def raw_request(path, request_id):
    """Return a request as bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.deadline_ms}: 2000",
        f"{HEADER_NAMES.key}: {KEY}",
        "Content-Length: 0",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
