"""Tests with servers that ask for a pause."""

import asyncio

import pytest

from boragetrail.direct.knowledge.pauses import (
    DEFAULT_PAUSE_S,
    MAX_PAUSE_S,
    parse_pause,
)
from boragetrail.direct.tests.test_leaving import send
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

PAUSE_S = 0.8
# Requests in flight that may arrive in a pause, which counts from
# REACTION_S on.
MAX_ARRIVALS = 2
REACTION_S = 0.5


def ask_for_pause(value):
    """Return a handler that refuses a request and asks for a pause."""

    async def respond(request):
        not_executed = f"{HEADER_NAMES.not_executed}: 1"
        pause = f"Retry-After: {value}"
        fields = (not_executed, pause)
        return whole_answer(request, b"", "503 Service Unavailable", fields)

    return respond


class TestPause:
    """A server gets nothing from a router that it asked for a pause."""

    async def test_other_servers_get_the_requests(self, cluster):
        daemon = await cluster.add_router()
        first, second = cluster.servers
        first.default = ask_for_pause(PAUSE_S)
        while not first.requests:
            await send(cluster, daemon, "/status/1")
        first.requests.clear()
        second.requests.clear()
        await asyncio.sleep(REACTION_S)
        await send(cluster, daemon, "/status/1", 20)
        assert len(first.requests) <= MAX_ARRIVALS
        assert not first.requests
        assert len(second.requests) >= 20

    async def test_used_again_after_the_pause(self, cluster):
        daemon = await cluster.add_router()
        first, _ = cluster.servers
        first.behaviours.append(ask_for_pause(PAUSE_S))
        while not first.requests:
            await send(cluster, daemon, "/status/1")
        first.requests.clear()
        await asyncio.sleep(PAUSE_S)
        await send(cluster, daemon, "/status/1", 20)
        assert first.requests

    async def test_all_servers_ask_for_a_pause(self, cluster):
        daemon = await cluster.add_router()
        first, second = cluster.servers
        first.default = ask_for_pause(30.0)
        second.default = ask_for_pause(PAUSE_S)
        await send(cluster, daemon, "/status/1", 3)
        for server in cluster.servers:
            server.requests.clear()
        pauses_s = set()
        for _ in range(10):
            response = await cluster.call(daemon, "/status/1")
            assert response[0] == 503
            assert b'"paused"' in response[2]
            pauses_s.add(float(response[1]["Retry-After"]))
        assert 0.0 < min(pauses_s) and max(pauses_s) <= PAUSE_S + REACTION_S
        assert len(pauses_s) > 5
        assert not first.requests + second.requests

    async def test_request_that_is_selected_but_not_sent(self, cluster):
        daemon = await cluster.add_router()
        first, second = cluster.servers
        usable = daemon.fleet.usable_servers("apps")
        (state,) = [each for each in usable if each.record.id == first.id]
        open_connection = state.pool.open

        async def open_slowly():
            state.record_pause("30")
            return await open_connection()

        state.pool.open = open_slowly
        await send(cluster, daemon, "/status/1", 6)
        assert not first.requests
        assert len(second.requests) == 6

    async def test_invalid_value_pauses_for_a_bounded_time(self, cluster):
        daemon = await cluster.add_router()
        first, _ = cluster.servers
        first.default = ask_for_pause("Fri, 04 Dec 2026 15:00:00 GMT")
        while not first.requests:
            await send(cluster, daemon, "/status/1")
        state = daemon.fleet.states_by_id[first.id]
        assert 0.0 < state.pause_left_s() <= DEFAULT_PAUSE_S
        assert len(daemon.knowledge.pauses.invalid_runs) == 1

    async def test_entry_that_vanishes_and_comes_back(self, cluster):
        daemon = await cluster.add_router()
        first, _ = cluster.servers
        first.behaviours.append(ask_for_pause(30.0))
        while not first.requests:
            await send(cluster, daemon, "/status/1")
        cluster.unlist_server(first)
        await cluster.until(lambda: len(daemon.directory.servers_by_id) == 1)
        daemon.fleet.remove_unlisted()
        cluster.list_server(first)
        await cluster.until(lambda: len(daemon.directory.servers_by_id) == 2)
        first.requests.clear()
        await send(cluster, daemon, "/status/1", 10)
        assert not first.requests

    async def test_restarted_server_is_not_paused(self, cluster):
        daemon = await cluster.add_router()
        first, _ = cluster.servers
        first.behaviours.append(ask_for_pause(30.0))
        while not first.requests:
            await send(cluster, daemon, "/status/1")
        entry = first.entry("apps", born=1_700_000_000_000)
        cluster.store.put("servers", first.id, entry)
        await cluster.until(
            lambda: daemon.directory.servers_by_id[first.id].record.started_ms
        )
        first.requests.clear()
        await send(cluster, daemon, "/status/1", 20)
        assert first.requests


class TestValues:
    """Values of the field are bounded."""

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("0", (0.0, True)),
            ("2", (2.0, True)),
            ("0.2", (0.2, True)),
            ("3600", (MAX_PAUSE_S, True)),
            ("1e300", (MAX_PAUSE_S, False)),
            ("inf", (MAX_PAUSE_S, False)),
            ("nan", (DEFAULT_PAUSE_S, False)),
            ("-1", (DEFAULT_PAUSE_S, False)),
            ("", (DEFAULT_PAUSE_S, False)),
            ("\u00b2", (DEFAULT_PAUSE_S, False)),
            ("1,5", (DEFAULT_PAUSE_S, False)),
        ],
    )
    def test_value(self, text, expected):
        assert parse_pause(text) == expected
