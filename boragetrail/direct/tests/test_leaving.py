"""Tests with servers that say in their responses that they leave."""

import asyncio

import aiohttp
import pytest

from boragetrail.direct.tests.conftest import configuration, route
from boragetrail.direct.tests.test_trouble import chunk, stream_head
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

LEAVING = f"{HEADER_NAMES.leaving}: 1"
NOT_EXECUTED = f"{HEADER_NAMES.not_executed}: 1"
PARTS = {HEADER_NAMES.prompt_parts: "base:100,own:10"}


def say(status, *fields):
    """Return a handler that says in its response that the server leaves."""

    async def respond(request):
        return whole_answer(request, b"body", status, (LEAVING, *fields))

    return respond


async def stream(request):
    """Say so in the head of a stream."""
    head = stream_head(request)[:-2] + f"{LEAVING}\r\n\r\n".encode()
    return head + chunk(b"id: 1\ndata: e\n\n") + chunk(b"")


async def broken_stream(request):
    """Say so in the head of a stream that is then broken."""
    head = stream_head(request)[:-2] + f"{LEAVING}\r\n\r\n".encode()
    request.writer.write(head + chunk(b"id: 1\ndata: e\n\n"))
    await request.writer.drain()


RESPONSES = {
    "success": ("/status/1", say("200 OK")),
    "failure": ("/status/1", say("500 Internal Server Error")),
    "refusal": ("/status/1", say("503 Service Unavailable", NOT_EXECUTED)),
    "misdirected": ("/status/1", say("421 Misdirected", NOT_EXECUTED)),
    "stream": ("/stream/1", stream),
    "broken stream": ("/stream/1", broken_stream),
    "resumed stream": ("/resume/1", broken_stream),
}


async def send(cluster, daemon, path, count=1):
    """Send requests; broken responses are ignored."""
    for _ in range(count):
        try:
            await cluster.call(daemon, path, headers=PARTS)
        except aiohttp.ClientError:
            pass


async def hear(cluster, daemon):
    """Let the first server tell the router that it leaves."""
    first, second = cluster.servers
    first.default = say("200 OK")
    while not first.requests:
        await send(cluster, daemon, "/status/1")
    first.requests.clear()
    second.requests.clear()
    return first, second


class TestLeavingServer:
    """A router sends nothing new to a server that said that it leaves."""

    @pytest.mark.parametrize("name", RESPONSES)
    async def test_any_response(self, cluster, name):
        daemon = await cluster.add_router()
        path, respond = RESPONSES[name]
        first, second = cluster.servers
        first.default = respond
        while not first.requests:
            await send(cluster, daemon, path)
        first.requests.clear()
        await send(cluster, daemon, "/status/1", 10)
        assert not first.requests
        assert len(second.requests) >= 10

    async def test_newer_row_that_says_ready(self, cluster):
        daemon = await cluster.add_router()
        first, _ = await hear(cluster, daemon)
        for number in range(3):
            entry = first.entry("apps", sequence=number)
            cluster.store.put("servers", first.id, entry)
            await asyncio.sleep(0.05)
        await send(cluster, daemon, "/status/1", 10)
        assert not first.requests

    async def test_entry_that_vanishes_and_comes_back(self, cluster):
        daemon = await cluster.add_router()
        first, _ = await hear(cluster, daemon)
        cluster.unlist_server(first)
        await cluster.until(lambda: len(daemon.directory.servers_by_id) == 1)
        daemon.fleet.remove_unlisted()
        cluster.list_server(first)
        await cluster.until(lambda: len(daemon.directory.servers_by_id) == 2)
        await send(cluster, daemon, "/status/1", 10)
        assert not first.requests

    async def test_server_that_starts_again_is_used(self, cluster):
        daemon = await cluster.add_router()
        first, _ = await hear(cluster, daemon)
        first.default = whole_answer_handler
        entry = first.entry("apps", born=1_700_000_000_000)
        cluster.store.put("servers", first.id, entry)
        await cluster.until(
            lambda: daemon.directory.servers_by_id[first.id].record.started_ms
        )
        await send(cluster, daemon, "/status/1", 10)
        assert first.requests

    async def test_all_servers_leave(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = say("503 Service Unavailable", NOT_EXECUTED)
        await send(cluster, daemon, "/status/1", 4)
        response = await cluster.call(daemon, "/status/1")
        assert response[0] == 503
        assert b'"leaving"' in response[2]
        assert float(response[1]["Retry-After"]) > 0

    async def test_request_that_is_selected_but_not_sent(self, cluster):
        daemon = await cluster.add_router()
        first, second = cluster.servers
        for state in daemon.fleet.usable_servers("apps"):
            if state.record.id == first.id:
                slow = state.pool
        open_connection = slow.open

        async def open_slowly():
            state = daemon.fleet.states_by_id[first.id]
            state.record_leaving()
            return await open_connection()

        slow.open = open_slowly
        await send(cluster, daemon, "/status/1", 6)
        assert not first.requests
        assert len(second.requests) == 6

    async def test_source_of_cache_copies(self, cluster):
        daemon = await cluster.add_router()
        first, second = await hear(cluster, daemon)
        assert set(daemon.fleet.copy_sources("apps", "v1")) == {second.id}

    async def test_probe(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = say("503 Service Unavailable", NOT_EXECUTED)
        engines = daemon.platform.PlatformEngineClient(daemon.session)
        host, _, port = cluster.servers[0].address.partition(":")
        content = await engines.cache_content((host, int(port)))
        assert content.leaving

    async def test_exit_is_not_taken_for_a_crash(self, cluster):
        daemon = await cluster.add_router()
        routes = [route("stream", "streaming", sticky=True)]
        cluster.store.put("op", "config", configuration(2, routes=routes))
        await cluster.until(lambda: daemon.directory.configuration.version > 1)
        for server in cluster.servers:
            server.default = exit_after_head(server)
        await send(cluster, daemon, "/stream/1", 2)
        await cluster.until(lambda: not daemon.fleet.usable_servers("apps"))
        await asyncio.sleep(0.1)
        assert not daemon.quarantine.reports_by_key

    async def test_other_routers_prefer_other_servers(self, cluster):
        first_router = await cluster.add_router()
        other = await cluster.add_router()
        await cluster.until(lambda: other.peers.live_peers())
        first, _ = await hear(cluster, first_router)
        await cluster.until(lambda: other.knowledge.leaving.hinted_runs)
        await send(cluster, other, "/status/1", 10)
        assert not first.requests


def exit_after_head(server):
    """Return a handler that says so in a head and lets the server exit."""

    async def respond(request):
        head = stream_head(request)[:-2] + f"{LEAVING}\r\n\r\n".encode()
        request.writer.write(head)
        await request.writer.drain()
        await asyncio.sleep(0.02)
        server.crash()
        return b""

    return respond


async def whole_answer_handler(request):
    """Return a complete response."""
    return whole_answer(request)


class TestRetryAtLeavingServer:
    """A retry does not go to a server that said that it leaves."""

    async def test_resumable_stream_of_two_servers(self, cluster):
        routes = [route("resume", "streaming", resumable=True, maxAttempts=4)]
        cluster.store.put("op", "config", configuration(2, routes=routes))
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = broken_stream
        await send(cluster, daemon, "/resume/1")
        await send(cluster, daemon, "/resume/1")
        assert [len(each.requests) for each in cluster.servers] == [1, 1]
