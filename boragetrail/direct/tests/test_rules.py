"""Tests of invariants that hold for all requests."""

import asyncio

import pytest

from boragetrail.direct.tests.conftest import HOST, KEY, configuration
from boragetrail.direct.tests.conftest import connect, route, service
from boragetrail.events import Event
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

# Longest time for which an aborted attempt may overlap with the next attempt.
MAX_OVERLAP_S = 0.4
LONG_MS = {HEADER_NAMES.deadline_ms: "60000"}


async def hang(request):
    """Never respond."""
    await asyncio.sleep(60)


async def fail(request):
    """Return an error after executing a request."""
    return whole_answer(request, b"oops", "500 Internal Server Error")


def received_requests(cluster):
    """Return the requests of all servers as one list."""
    return [each for server in cluster.servers for each in server.requests]


def request_head(path, request_id, *fields):
    """Return the head of a caller's request as bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.key}: {KEY}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class TestRouteTimeout:
    """The route's timeout applies even if the caller would wait longer."""

    async def test_error_at_the_timeout_of_the_route(self, cluster):
        routes = [route("status", "idempotent", timeoutMs=300)]
        cluster.store.put("op", "config", configuration(routes=routes))
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = hang
        async with asyncio.timeout(5.0):
            status, _, body = await cluster.call(
                daemon, "/status/1", headers=LONG_MS
            )
        assert status == 504
        assert b"the route allowed 0.30 s" in body

    async def test_error_names_the_deadline_of_the_caller(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = hang
        short = {HEADER_NAMES.deadline_ms: "200"}
        status, _, body = await cluster.call(
            daemon, "/status/1", headers=short
        )
        assert status == 504
        assert b"the caller allowed 0.20 s" in body


class TestRoutes:
    """Routes of a later configuration version."""

    async def test_added_route_is_served(self, cluster):
        daemon = await cluster.add_router()
        assert (await cluster.call(daemon, "/later/1"))[0] == 404
        routes = [route("later", "idempotent")]
        cluster.store.put("op", "config", configuration(2, routes=routes))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        assert (await cluster.call(daemon, "/later/1"))[0] == 200
        assert (await cluster.call(daemon, "/status/1"))[0] == 404


class TestKeys:
    """Customer keys that are revoked."""

    async def test_key_of_a_connected_caller_is_revoked(self, cluster):
        daemon = await cluster.add_router()
        status, _, _ = await cluster.call(daemon, "/status/1")
        assert status == 200
        cluster.store.put("op", "config", configuration(2, tenants=[]))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        status, _, _ = await cluster.call(daemon, "/status/1")
        assert status == 401
        assert len(received_requests(cluster)) == 1


class TestDraining:
    """Draining servers and zones that are taken out of service."""

    COUNT = 20

    async def count_requests(self, cluster, daemon):
        """Send ``COUNT`` requests; returns how many each server received."""
        before = [len(server.requests) for server in cluster.servers]
        for _ in range(self.COUNT):
            status, _, _ = await cluster.call(daemon, "/status/1")
            assert status == 200
        after = [len(server.requests) for server in cluster.servers]
        return [new - old for new, old in zip(after, before)]

    async def test_draining_server_gets_no_requests(self, cluster):
        daemon = await cluster.add_router()
        draining = cluster.servers[0]
        entry = draining.entry("apps", state="draining")
        cluster.store.put("servers", draining.id, entry)
        listed = daemon.directory.servers_by_id
        await cluster.until(lambda: not listed[draining.id].record.ready)
        assert await self.count_requests(cluster, daemon) == [0, self.COUNT]

    async def test_zone_out_and_back(self, cluster):
        await cluster.add_server(zone="z2")
        daemon = await cluster.add_router()
        cluster.store.put("op", "evacuate/z1", {})
        await cluster.until(lambda: daemon.directory.evacuated_zones == {"z1"})
        assert await self.count_requests(cluster, daemon) == [0, 0, self.COUNT]
        cluster.store.remove("op", "evacuate/z1")
        await cluster.until(lambda: not daemon.directory.evacuated_zones)
        counts = await self.count_requests(cluster, daemon)
        assert counts[0] + counts[1] > 0


class TestColdServers:
    """The rate limit of a cold server applies to the whole fleet."""

    RATE_PER_S = 2.0

    async def add_router_with_cold_servers(self, cluster, cold):
        """Start a router after making some servers cold.

        :param cold: indexes of the servers to make cold
        """
        services = [service("apps", coldPerS=self.RATE_PER_S)]
        cluster.store.put("op", "config", configuration(services=services))
        for number in cold:
            server = cluster.servers[number]
            entry = server.entry("apps", coldLeftMs=60000)
            cluster.store.put("servers", server.id, entry)
        return await cluster.add_router()

    async def test_warm_server_is_preferred(self, cluster):
        daemon = await self.add_router_with_cold_servers(cluster, [0])
        for _ in range(20):
            await cluster.call(daemon, "/status/1")
        assert not cluster.servers[0].requests
        assert len(cluster.servers[1].requests) == 20

    async def test_one_warm_server_among_cold_ones(self, cluster):
        """Cold servers take over some load if few servers are warm.

        In a rolling update, the last warm server would be overloaded.
        """
        daemon = await self.add_router_with_cold_servers(cluster, [0])
        daemon.peers.started_s -= daemon.peers.STARTUP_S
        for server in cluster.servers:
            server.default = hang
        calls = [
            asyncio.create_task(cluster.call(daemon, "/status/1"))
            for _ in range(20)
        ]
        await cluster.until(lambda: len(received_requests(cluster)) == 20)
        bounds = daemon.settings.bounds
        limit = self.RATE_PER_S * bounds.cold_factor + bounds.cold_margin
        assert 0 < len(cluster.servers[0].requests) <= limit
        for call in calls:
            call.cancel()

    async def test_starting_router_gets_no_quota_of_a_small_rate(
        self, cluster
    ):
        daemon = await self.add_router_with_cold_servers(cluster, [0, 1])
        status, headers, _ = await cluster.call(daemon, "/status/1")
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert not received_requests(cluster)

    async def test_burst_at_cold_servers_stays_below_the_limit(self, cluster):
        daemon = await self.add_router_with_cold_servers(cluster, [0, 1])
        daemon.peers.started_s -= daemon.peers.STARTUP_S
        responses = await asyncio.gather(
            *(cluster.call(daemon, "/status/1") for _ in range(40))
        )
        bounds = daemon.settings.bounds
        limit = self.RATE_PER_S * bounds.cold_factor + bounds.cold_margin
        assert all(0 < len(s.requests) <= limit for s in cluster.servers)
        refused = [
            headers for status, headers, _ in responses if status == 503
        ]
        assert len(refused) == 40 - len(received_requests(cluster))
        assert all("Retry-After" in headers for headers in refused)


class TestAttempts:
    """Attempts of a request, of which a route allows ``max_attempts``."""

    async def test_third_server_is_not_tried(self, cluster):
        await cluster.add_server()
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = fail
        status, _, body = await cluster.call(daemon, "/status/1")
        assert (status, body) == (500, b"oops")
        assert len(received_requests(cluster)) == 2

    async def test_second_attempt_gets_the_remaining_time(self, cluster):
        daemon = await cluster.add_router()

        async def fail_slowly(request):
            await asyncio.sleep(0.3)
            return await fail(request)

        for server in cluster.servers:
            server.default = fail_slowly
        await cluster.call(daemon, "/status/1")
        name = HEADER_NAMES.deadline_ms.lower()
        first, second = sorted(
            (int(each.headers[name]) for each in received_requests(cluster)),
            reverse=True,
        )
        assert second <= first - 300

    async def test_first_attempt_ends_before_the_second_begins(self, cluster):
        """Two servers must not work on the same stream for long."""
        daemon = await cluster.add_router()
        clock = asyncio.get_running_loop().time
        received_s, abandoned_s = [], []

        async def handle(request):
            received_s.append(clock())
            if len(received_s) > 1:
                return whole_answer(request)
            request.writer.write(b"HTTP/1.1 200 OK\r\n\r\nno answer")
            await request.sender_left()
            abandoned_s.append(clock())
            return None

        for server in cluster.servers:
            server.default = handle
        await cluster.call(daemon, "/resume/1")
        await cluster.until(lambda: abandoned_s)
        assert len(received_s) == 2
        assert abandoned_s[0] - received_s[1] <= MAX_OVERLAP_S


class TestStatusOfLastFailure:
    """A failure says whether any attempt may have been executed."""

    async def test_refusal_after_a_lost_response(self, cluster):
        daemon = await cluster.add_router()

        async def lose(request):
            for server in cluster.servers:
                server.default = refuse

        for server in cluster.servers:
            server.default = lose
        status, _, _ = await cluster.call(daemon, "/status/1")
        assert len(received_requests(cluster)) == 2
        assert status == 502

    async def test_refusal_after_many_unreachable_servers(self, cluster):
        for _ in range(8):
            await cluster.add_server()
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.crash()
        response = await cluster.call(daemon, "/status/1")
        assert response[0] == 503
        assert float(response[1]["Retry-After"]) > 0


async def refuse(request):
    """Refuse a request."""
    fields = [f"{HEADER_NAMES.not_executed}: 1"]
    return whole_answer(request, b"", "503 Service Unavailable", fields)


class TestSystemFields:
    """Header fields that only the router or a server may set."""

    async def test_no_reserved_field_of_a_caller_is_forwarded(self, cluster):
        daemon = await cluster.add_router()
        forged = {name: "forged" for name in HEADER_NAMES.reserved}
        await cluster.call(daemon, "/order/1", headers=forged)
        (request,) = received_requests(cluster)
        assert "forged" not in request.headers.values()

    async def test_error_of_a_server_keeps_status_and_seal(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = fail
        status, headers, body = await cluster.call(daemon, "/order/1")
        (request,) = received_requests(cluster)
        assert (status, body) == (500, b"oops")
        assert headers[HEADER_NAMES.seal] == f"seal-{request.id}"


class TestRequestBodies:
    """Bodies of requests reach a server complete and unmixed."""

    async def test_request_inside_a_body_is_not_parsed(self, cluster):
        daemon = await cluster.add_router()
        inner = request_head("/order/2", "inner", "Content-Length: 0")
        await cluster.call(daemon, "/order/1", data=inner)
        (request,) = received_requests(cluster)
        assert request.body == inner

    @pytest.mark.parametrize(
        "fields",
        [
            ("Content-Length: 4", "Transfer-Encoding: chunked"),
            ("Content-Length: 4", "Content-Length: 50"),
            ("Transfer-Encoding: xchunked", "Content-Length: 4"),
        ],
    )
    async def test_ambiguous_framing_is_rejected(self, cluster, fields):
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        inner = request_head("/order/2", "inner", "Content-Length: 0")
        writer.write(request_head("/order/1", "outer", *fields))
        writer.write(b"0\r\n\r\n" + inner)
        version, _, status = (await reader.read(12)).partition(b" ")
        writer.close()
        assert version.startswith(b"HTTP/1.") and status == b"400"
        assert not received_requests(cluster)

    async def test_request_with_a_late_body_is_not_executed(self, cluster):
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        deadline = f"{HEADER_NAMES.deadline_ms}: 200"
        fields = ("Content-Length: 100", deadline)
        writer.write(request_head("/order/1", "late", *fields) + b"part")
        response = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert response.startswith(b"HTTP/1.1 408")
        assert b"retry-after" in response.lower()
        assert not received_requests(cluster)

    async def test_response_before_the_body_was_read(self, cluster):
        """A server responds before it has read the body of a request.

        The connection is reused. The rest of the body must neither be lost
        nor be sent as a part of the next request.
        """
        received_bodies = []

        async def serve(reader, writer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = head.decode().lower().split("\r\n")
                values = dict(line.split(": ", 1) for line in fields[1:-2])
                request_id = values[HEADER_NAMES.request_id.lower()]
                names = HEADER_NAMES
                writer.write(
                    f"HTTP/1.1 200 OK\r\n{names.request_id}: {request_id}\r\n"
                    f"{names.seal}: s\r\nContent-Length: 2\r\n\r\nok".encode()
                )
                await asyncio.sleep(0.05)
                length = int(values["content-length"])
                received_bodies.append(await reader.readexactly(length))

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        for server in cluster.servers:
            entry = server.entry("apps", address=f"127.0.0.1:{port}")
            cluster.store.put("servers", server.id, entry)
        daemon = await cluster.add_router()
        bodies = [bytes([65 + number]) * 90000 for number in range(6)]
        for body in bodies:
            status, _, _ = await cluster.call(daemon, "/order/1", data=body)
            assert status == 200
        await cluster.until(lambda: len(received_bodies) == len(bodies))
        listener.close()
        assert received_bodies == bodies


class TestDisconnects:
    """A server's work for a request ends when its caller disconnects."""

    async def disconnect(self, daemon, path, reached):
        """Send a request and disconnect when a server has received it.

        :param reached: event that the server sets
        """
        _, writer = await connect(daemon)
        writer.write(request_head(path, "left", "Content-Length: 0"))
        async with asyncio.timeout(5.0):
            await reached.wait()
        writer.transport.abort()

    async def test_while_the_response_is_awaited(self, cluster):
        daemon = await cluster.add_router()
        reached, disconnected = asyncio.Event(), asyncio.Event()

        async def handle(request):
            reached.set()
            await request.sender_left()
            disconnected.set()

        for server in cluster.servers:
            server.default = handle
        await self.disconnect(daemon, "/status/1", reached)
        async with asyncio.timeout(0.5):
            await disconnected.wait()

    # Guards against a stop that waits for a request that is counted twice.
    async def test_request_that_runs_at_most_once_counts_once(self, cluster):
        daemon = await cluster.add_router()
        reached, may_end = asyncio.Event(), asyncio.Event()

        async def handle(request):
            reached.set()
            await may_end.wait()
            return whole_answer(request)

        for server in cluster.servers:
            server.default = handle
        _, writer = await connect(daemon)
        writer.write(request_head("/order/1", "kept", "Content-Length: 0"))
        await reached.wait()
        assert daemon.frontend.active == 1
        writer.transport.abort()
        await cluster.until(lambda: not daemon.frontend.busy_connections)
        assert daemon.frontend.active == 1
        may_end.set()
        await cluster.until(lambda: not daemon.frontend.active)

    async def test_during_a_retry(self, cluster):
        daemon = await cluster.add_router()
        reached, disconnected = asyncio.Event(), asyncio.Event()
        seen = []

        async def handle(request):
            seen.append(request)
            if len(seen) == 1:
                return await fail(request)
            reached.set()
            await request.sender_left()
            disconnected.set()
            return None

        for server in cluster.servers:
            server.default = handle
        await self.disconnect(daemon, "/status/1", reached)
        async with asyncio.timeout(0.5):
            await disconnected.wait()
        assert len(seen) == 2


class TestReadiness:
    """A router that reports ready accepts connections."""

    async def test_ready_router_accepts_many_connections(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.is_ready()
        opened = await asyncio.gather(*(connect(daemon) for _ in range(200)))
        for number, (reader, writer) in enumerate(opened):
            writer.write(request_head("/status/1", f"c{number}"))
        for reader, writer in opened:
            assert (await reader.read(12)) == b"HTTP/1.1 200"
            writer.close()


class TestRequestLog:
    """The log events of one request."""

    async def test_selection_stream_start_and_end(self, cluster, monkeypatch):
        lines = []

        def record_event(event, **fields):
            lines.append((event, fields))

        for module in ("requestlog", "frontend"):
            name = f"boragetrail.direct.{module}.log_event"
            monkeypatch.setattr(name, record_event)
        daemon = await cluster.add_router()

        async def handle(request):
            fields = ("Content-Type: text/event-stream",)
            return whole_answer(request, b"id: 1\ndata: a\n\n", fields=fields)

        for server in cluster.servers:
            server.default = handle
        await cluster.call(daemon, "/resume/1")
        assert [event for event, _ in lines] == [
            Event.REQUEST_SENT,
            Event.STREAM_STARTED,
            Event.REQUEST_DONE,
        ]
        assert {fields["request"] for _, fields in lines} == {"a0000001"}
        assert len({fields["server"] for _, fields in lines}) == 1
