"""Tests of requests at servers that are unlisted and unresponsive."""

import asyncio
import json
import time

import aiohttp
import pytest

from boragetrail.direct.silentservers import SilentServerMonitor
from boragetrail.direct.tests.conftest import configuration, route, service
from boragetrail.direct.tests.test_path import EVENTS, resume_from_header
from boragetrail.direct.tests.test_path import stream_of
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

LONG_MS = {HEADER_NAMES.deadline_ms: "10000"}
LARGE_EVENT = b"id: 1\ndata: " + b"x" * 1_000_000 + b"\n\n"
# Number of large events that exceed all buffers between a server and a caller.
LARGE_EVENT_COUNT = 24
# Longest time from the router's silence limit to the end of an attempt.
DETECTION_S = 0.8


async def send_two_events(request):
    """Stream two events, then send nothing more."""
    await stream_of(*EVENTS[:2], end=False)(request)
    await asyncio.sleep(60)


async def hang(request):
    """Never respond."""
    await asyncio.sleep(60)


async def stream_slowly(request):
    """Stream all events, in total for longer than the silence limit."""
    await stream_of(*EVENTS[:1], end=False)(request)
    for event in EVENTS[1:]:
        await asyncio.sleep(0.4 * SilentServerMonitor.MAX_SILENCE_S)
        request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    return b"0\r\n\r\n"


@pytest.fixture
def long_timeout_cluster(cluster):
    """A cluster with route timeouts far above the silence limit."""
    long = {"timeoutMs": 10000, "goalMs": 200}
    routes = [
        route("stream", "streaming", **long),
        route("resume", "streaming", resumable=True, **long),
    ]
    cluster.store.put("op", "config", configuration(routes=routes))
    return cluster


class TestSilentServers:
    """A request at an unlisted, silent server ends before its deadline."""

    async def start_call(self, cluster, daemon, path, handler):
        """Send a request and wait until a server has received it.

        :param handler: function with which servers serve the request
        :returns: (task that waits for the response, the server)
        """
        for server in cluster.servers:
            server.default = handler
        call = asyncio.create_task(cluster.call(daemon, path, headers=LONG_MS))
        await cluster.until(
            lambda: any(each.requests for each in cluster.servers)
        )
        server = next(each for each in cluster.servers if each.requests)
        return call, server

    async def test_stream_of_an_unlisted_server_is_aborted(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/stream/1", send_two_events
        )
        start_s = time.monotonic()
        long_timeout_cluster.store.remove("servers", server.id)
        with pytest.raises(aiohttp.ClientPayloadError):
            await call
        took_s = time.monotonic() - start_s
        assert took_s < SilentServerMonitor.MAX_SILENCE_S + DETECTION_S
        assert not daemon.fleet.loads_by_id().get(server.id, (0,))[0]

    async def test_request_without_a_response_fails(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/stream/1", hang
        )
        long_timeout_cluster.store.remove("servers", server.id)
        status, headers, _ = await call
        assert status == 502
        assert "Retry-After" not in headers

    async def test_resumable_stream_continues_at_another_server(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/resume/1", send_two_events
        )
        for other in long_timeout_cluster.servers:
            other.default = resume_from_header
        long_timeout_cluster.store.remove("servers", server.id)
        status, _, body = await call
        assert (status, body) == (200, b"".join(EVENTS))

    async def test_server_that_restarted(self, long_timeout_cluster):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/stream/1", hang
        )
        entry = server.entry("apps", born=time.time_ns() // 1000)
        long_timeout_cluster.store.put("servers", server.id, entry)
        known = daemon.directory.servers_by_id
        old_ms = known[server.id].record.started_ms
        await long_timeout_cluster.until(
            lambda: known[server.id].record.started_ms != old_ms
        )
        daemon.fleet.usable_servers("apps")
        status, _, _ = await call
        assert status == 502

    async def test_silent_server_that_is_listed_is_awaited(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/stream/1", hang
        )
        await asyncio.sleep(
            SilentServerMonitor.MAX_SILENCE_S + DETECTION_S / 2
        )
        assert not call.done()
        call.cancel()

    async def test_slow_caller_is_not_taken_for_a_silent_server(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        for server in long_timeout_cluster.servers:
            server.default = stream_of(*[LARGE_EVENT] * LARGE_EVENT_COUNT)
        async with long_timeout_cluster.request(
            daemon, "/stream/1", headers=LONG_MS
        ) as response:
            size = len(await response.content.readany())
            for server in long_timeout_cluster.servers:
                long_timeout_cluster.store.remove("servers", server.id)
            await asyncio.sleep(
                SilentServerMonitor.MAX_SILENCE_S + DETECTION_S
            )
            size += len(await response.read())
        assert size == LARGE_EVENT_COUNT * len(LARGE_EVENT)

    async def test_unlisted_server_that_still_sends_ends_its_streams(
        self, long_timeout_cluster
    ):
        daemon = await long_timeout_cluster.add_router()
        call, server = await self.start_call(
            long_timeout_cluster, daemon, "/stream/1", stream_slowly
        )
        long_timeout_cluster.store.remove("servers", server.id)
        status, _, body = await call
        assert (status, body) == (200, b"".join(EVENTS))


def pausing_engine(started_ms, dies_after_s=60.0):
    """Return a handler of an engine that pauses within its streams.

    :param started_ms: start of its run that its reports name
    :param dies_after_s: time from its first event after which it answers no
        query any more
    """
    dies_at_s = []

    async def serve(request):
        if request.line.startswith("GET /-/report"):
            if dies_at_s and time.monotonic() >= dies_at_s[0]:
                await asyncio.sleep(60)
            content = json.dumps({"born": started_ms}).encode()
            return whole_answer(request, content)
        dies_at_s.append(time.monotonic() + dies_after_s)
        await stream_of(*EVENTS[:1], end=False)(request)
        await asyncio.sleep(1.4 * SilentServerMonitor.MAX_SILENCE_S)
        for event in EVENTS[1:]:
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        return b"0\r\n\r\n"

    return serve


class TestPausingEngines:
    """A stream ended in a pause of an engine that leaves without a word.

    Such an engine has no entry any more, and works on its requests.
    """

    STARTED_MS = 1771646170544

    async def stream(self, cluster, handler):
        """Return the response to a stream whose engine loses its entry."""
        cluster.store.put(
            "op",
            "config",
            configuration(
                2,
                services=[service("apps", backend={"slots": 8})],
                routes=[
                    route("stream", "streaming", timeoutMs=10000, goalMs=200)
                ],
            ),
        )
        for server in cluster.servers:
            server.born_ms = self.STARTED_MS
            server.default = handler
            cluster.list_server(server)
        daemon = await cluster.add_router()
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        call = asyncio.create_task(
            cluster.call(daemon, "/stream/1", headers=LONG_MS)
        )

        def busy():
            return [
                each
                for each in cluster.servers
                if any("stream" in request.line for request in each.requests)
            ]

        await cluster.until(busy)
        cluster.unlist_server(busy()[0])
        return await call

    async def test_engine_that_runs_is_awaited(self, cluster):
        handler = pausing_engine(self.STARTED_MS)
        status, _, body = await self.stream(cluster, handler)
        assert (status, body) == (200, b"".join(EVENTS))

    async def test_engine_that_ends_in_its_pause(self, cluster):
        handler = pausing_engine(self.STARTED_MS, dies_after_s=0.2)
        began_s = time.monotonic()
        with pytest.raises(aiohttp.ClientPayloadError):
            await self.stream(cluster, handler)
        took_s = time.monotonic() - began_s
        assert took_s < SilentServerMonitor.MAX_SILENCE_S + DETECTION_S

    async def test_later_run_at_the_address(self, cluster):
        handler = pausing_engine(self.STARTED_MS + 1)
        with pytest.raises(aiohttp.ClientPayloadError):
            await self.stream(cluster, handler)
