"""Tests of what must hold of requests on any day."""

import asyncio

import pytest

from boragetrail.direct.tests.conftest import HOST, KEY, configuration
from boragetrail.direct.tests.conftest import connect, route, service
from boragetrail.events import Event
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

# Time for which a server may still work on what went on elsewhere.
STILL_AT_WORK_S = 0.4
LONG_MS = {HEADER_NAMES.deadline_ms: "60000"}


async def hang(request):
    """Never answer."""
    await asyncio.sleep(60)


async def fail(request):
    """Answer with an error after running a request."""
    return whole_answer(request, b"oops", "500 Internal Server Error")


def requests_of(cluster):
    """Return what the servers got, as one list."""
    return [each for server in cluster.servers for each in server.requests]


def head_of(path, request_id, *fields):
    """Return the head of a request of a caller as bytes."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.key}: {KEY}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class TestRouteTimeout:
    """The operators' longest time binds, whatever the caller waits."""

    async def test_answer_comes_when_the_time_of_the_route_is_up(
        self, cluster
    ):
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

    async def test_error_says_that_the_caller_gave_less(self, cluster):
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
    """Routes of a later version."""

    async def test_route_that_was_added_later_is_served(self, cluster):
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
    """Keys that are taken away."""

    async def test_key_taken_away_from_a_connected_caller(self, cluster):
        daemon = await cluster.add_router()
        status, _, _ = await cluster.call(daemon, "/status/1")
        assert status == 200
        cluster.store.put("op", "config", configuration(2, tenants=[]))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        status, _, _ = await cluster.call(daemon, "/status/1")
        assert status == 401
        assert len(requests_of(cluster)) == 1


class TestPlannedLeaving:
    """Servers that leave and zones that are taken out of service."""

    COUNT = 20

    async def calls(self, cluster, daemon):
        """Send requests; returns what each server got of them."""
        before = [len(server.requests) for server in cluster.servers]
        for _ in range(self.COUNT):
            status, _, _ = await cluster.call(daemon, "/status/1")
            assert status == 200
        after = [len(server.requests) for server in cluster.servers]
        return [new - old for new, old in zip(after, before)]

    async def test_draining_server_gets_nothing(self, cluster):
        daemon = await cluster.add_router()
        leaving = cluster.servers[0]
        entry = leaving.entry("apps", state="draining")
        cluster.store.put("servers", leaving.id, entry)
        listed = daemon.directory.servers_by_id
        await cluster.until(lambda: not listed[leaving.id].record.ready)
        assert await self.calls(cluster, daemon) == [0, self.COUNT]

    async def test_zone_out_and_back(self, cluster):
        await cluster.add_server(zone="z2")
        daemon = await cluster.add_router()
        cluster.store.put("op", "evacuate/z1", {})
        await cluster.until(lambda: daemon.directory.evacuated_zones == {"z1"})
        assert await self.calls(cluster, daemon) == [0, 0, self.COUNT]
        cluster.store.remove("op", "evacuate/z1")
        await cluster.until(lambda: not daemon.directory.evacuated_zones)
        counts = await self.calls(cluster, daemon)
        assert counts[0] + counts[1] > 0


class TestColdServers:
    """The rate of a cold server holds for the whole fleet."""

    RATE = 2.0

    async def cold_site(self, cluster, cold):
        """Return a router; the servers in ``cold`` have just started."""
        services = [service("apps", coldPerS=self.RATE)]
        cluster.store.put("op", "config", configuration(services=services))
        for number in cold:
            server = cluster.servers[number]
            entry = server.entry("apps", coldLeftMs=60000)
            cluster.store.put("servers", server.id, entry)
        return await cluster.add_router()

    async def test_warm_server_goes_first(self, cluster):
        daemon = await self.cold_site(cluster, [0])
        for _ in range(20):
            await cluster.call(daemon, "/status/1")
        assert not cluster.servers[0].requests
        assert len(cluster.servers[1].requests) == 20

    async def test_one_warm_server_among_cold_ones(self, cluster):
        """Servers are replaced in series; the last warm one has its bound."""
        daemon = await self.cold_site(cluster, [0])
        daemon.peers.started_s -= daemon.peers.STARTUP_S
        for server in cluster.servers:
            server.default = hang
        calls = [
            asyncio.create_task(cluster.call(daemon, "/status/1"))
            for _ in range(20)
        ]
        await cluster.until(lambda: len(requests_of(cluster)) == 20)
        bounds = daemon.settings.bounds
        most = self.RATE * bounds.cold_factor + bounds.cold_margin
        assert 0 < len(cluster.servers[0].requests) <= most
        for call in calls:
            call.cancel()

    async def test_router_that_starts_takes_no_part_of_a_small_rate(
        self, cluster
    ):
        daemon = await self.cold_site(cluster, [0, 1])
        status, headers, _ = await cluster.call(daemon, "/status/1")
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert not requests_of(cluster)

    async def test_burst_on_cold_servers_stays_below_the_rate(self, cluster):
        daemon = await self.cold_site(cluster, [0, 1])
        daemon.peers.started_s -= daemon.peers.STARTUP_S
        answers = await asyncio.gather(
            *(cluster.call(daemon, "/status/1") for _ in range(40))
        )
        bounds = daemon.settings.bounds
        most = self.RATE * bounds.cold_factor + bounds.cold_margin
        assert all(0 < len(s.requests) <= most for s in cluster.servers)
        refused = [headers for status, headers, _ in answers if status == 503]
        assert len(refused) == 40 - len(requests_of(cluster))
        assert all("Retry-After" in headers for headers in refused)


class TestAttempts:
    """A request goes to no more servers than its route allows."""

    async def test_third_server_is_not_tried(self, cluster):
        await cluster.add_server()
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = fail
        status, _, body = await cluster.call(daemon, "/status/1")
        assert (status, body) == (500, b"oops")
        assert len(requests_of(cluster)) == 2

    async def test_second_try_has_only_the_time_that_is_left(self, cluster):
        daemon = await cluster.add_router()

        async def slowly(request):
            await asyncio.sleep(0.3)
            return await fail(request)

        for server in cluster.servers:
            server.default = slowly
        await cluster.call(daemon, "/status/1")
        name = HEADER_NAMES.deadline_ms.lower()
        first, second = sorted(
            (int(each.headers[name]) for each in requests_of(cluster)),
            reverse=True,
        )
        assert second <= first - 300

    async def test_first_server_is_left_before_the_second_is_asked(
        self, cluster
    ):
        """A stream must not go on in two places."""
        daemon = await cluster.add_router()
        clock = asyncio.get_running_loop().time
        asked, left = [], []

        async def behave(request):
            asked.append(clock())
            if len(asked) > 1:
                return whole_answer(request)
            request.writer.write(b"HTTP/1.1 200 OK\r\n\r\nno answer")
            await request.sender_left()
            left.append(clock())
            return None

        for server in cluster.servers:
            server.default = behave
        await cluster.call(daemon, "/resume/1")
        await cluster.until(lambda: left)
        assert len(asked) == 2
        assert left[0] - asked[1] <= STILL_AT_WORK_S


class TestSystemFields:
    """Fields that only the router may set, and those that it keeps."""

    async def test_no_reserved_field_of_a_caller_passes(self, cluster):
        daemon = await cluster.add_router()
        forged = {name: "forged" for name in HEADER_NAMES.reserved}
        await cluster.call(daemon, "/order/1", headers=forged)
        (request,) = requests_of(cluster)
        assert "forged" not in request.headers.values()

    async def test_failure_of_a_server_keeps_status_and_seal(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = fail
        status, headers, body = await cluster.call(daemon, "/order/1")
        (request,) = requests_of(cluster)
        assert (status, body) == (500, b"oops")
        assert headers[HEADER_NAMES.seal] == f"seal-{request.id}"


class TestRequestBodies:
    """Bodies reach a server whole, once, and nowhere else."""

    async def test_request_inside_a_body_is_a_body(self, cluster):
        daemon = await cluster.add_router()
        inner = head_of("/order/2", "inner", "Content-Length: 0")
        await cluster.call(daemon, "/order/1", data=inner)
        (request,) = requests_of(cluster)
        assert request.body == inner

    @pytest.mark.parametrize(
        "fields",
        [
            ("Content-Length: 4", "Transfer-Encoding: chunked"),
            ("Content-Length: 4", "Content-Length: 50"),
            ("Transfer-Encoding: xchunked", "Content-Length: 4"),
        ],
    )
    async def test_two_framings_are_refused(self, cluster, fields):
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        inner = head_of("/order/2", "inner", "Content-Length: 0")
        writer.write(head_of("/order/1", "outer", *fields))
        writer.write(b"0\r\n\r\n" + inner)
        version, _, status = (await reader.read(12)).partition(b" ")
        writer.close()
        assert version.startswith(b"HTTP/1.") and status == b"400"
        assert not requests_of(cluster)

    async def test_body_that_comes_late_has_not_run(self, cluster):
        daemon = await cluster.add_router()
        reader, writer = await connect(daemon)
        deadline = f"{HEADER_NAMES.deadline_ms}: 200"
        fields = ("Content-Length: 100", deadline)
        writer.write(head_of("/order/1", "late", *fields) + b"part")
        answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert answer.startswith(b"HTTP/1.1 408")
        assert b"retry-after" in answer.lower()
        assert not requests_of(cluster)

    async def test_early_answer_leaves_the_rest_of_a_body_in_place(
        self, cluster
    ):
        """The server answers before it has read; its channel is kept."""
        got = []

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
                got.append(await reader.readexactly(length))

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
        await cluster.until(lambda: len(got) == len(bodies))
        listener.close()
        assert got == bodies


class TestCallersThatLeave:
    """Servers stop work for callers that are gone."""

    async def leave(self, daemon, path, reached):
        """Send a request and leave once servers have it."""
        _, writer = await connect(daemon)
        writer.write(head_of(path, "left", "Content-Length: 0"))
        async with asyncio.timeout(5.0):
            await reached.wait()
        writer.transport.abort()

    async def test_while_the_answer_is_awaited(self, cluster):
        daemon = await cluster.add_router()
        reached, gone = asyncio.Event(), asyncio.Event()

        async def behave(request):
            reached.set()
            await request.sender_left()
            gone.set()

        for server in cluster.servers:
            server.default = behave
        await self.leave(daemon, "/status/1", reached)
        async with asyncio.timeout(0.5):
            await gone.wait()

    async def test_while_it_is_repeated(self, cluster):
        daemon = await cluster.add_router()
        reached, gone = asyncio.Event(), asyncio.Event()
        seen = []

        async def behave(request):
            seen.append(request)
            if len(seen) == 1:
                return await fail(request)
            reached.set()
            await request.sender_left()
            gone.set()
            return None

        for server in cluster.servers:
            server.default = behave
        await self.leave(daemon, "/status/1", reached)
        async with asyncio.timeout(0.5):
            await gone.wait()
        assert len(seen) == 2


class TestReadiness:
    """A router that says it is ready takes connections."""

    async def test_ready_router_takes_many_connections(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.is_ready()
        opened = await asyncio.gather(*(connect(daemon) for _ in range(200)))
        for number, (reader, writer) in enumerate(opened):
            writer.write(head_of("/status/1", f"c{number}"))
        for reader, writer in opened:
            assert (await reader.read(12)) == b"HTTP/1.1 200"
            writer.close()


class TestLogOfARequest:
    """The lines of one request tell its way."""

    async def test_choice_first_part_and_end(self, cluster, monkeypatch):
        lines = []

        def note(event, **fields):
            lines.append((event, fields))

        for module in ("dispatch", "frontend"):
            name = f"boragetrail.direct.{module}.log_event"
            monkeypatch.setattr(name, note)
        daemon = await cluster.add_router()

        async def behave(request):
            fields = ("Content-Type: text/event-stream",)
            return whole_answer(request, b"id: 1\ndata: a\n\n", fields=fields)

        for server in cluster.servers:
            server.default = behave
        await cluster.call(daemon, "/resume/1")
        assert [event for event, _ in lines] == [
            Event.REQUEST_SENT,
            Event.STREAM_STARTED,
            Event.REQUEST_DONE,
        ]
        assert {fields["request"] for _, fields in lines} == {"a0000001"}
        assert len({fields["server"] for _, fields in lines}) == 1
