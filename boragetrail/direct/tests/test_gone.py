"""Tests of answers that servers owe which are gone."""

import asyncio
import time

import aiohttp
import pytest

from boragetrail.direct.fleet import Fleet
from boragetrail.direct.tests.conftest import configuration, route
from boragetrail.direct.tests.test_path import EVENTS, resume_from_header
from boragetrail.direct.tests.test_path import stream_of
from boragetrail.platform.names import HEADER_NAMES

LONG_MS = {HEADER_NAMES.deadline_ms: "10000"}
# More than all buffers between a server and a caller hold.
LARGE_EVENT = b"id: 1\ndata: " + b"x" * 1_000_000 + b"\n\n"
LARGE_EVENTS = 24
# Time in which a router finds out, beyond the silence that it waits for.
NOTICE_S = 0.8


async def silent_after_two(request):
    """Stream two events, then say nothing."""
    await stream_of(*EVENTS[:2], end=False)(request)
    await asyncio.sleep(60)


async def never(request):
    """Say nothing at all."""
    await asyncio.sleep(60)


async def slow_to_the_end(request):
    """Stream the events with pauses, for longer than a silence."""
    await stream_of(*EVENTS[:1], end=False)(request)
    for event in EVENTS[1:]:
        await asyncio.sleep(0.4 * Fleet.MAX_UNLISTED_SILENCE_S)
        request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    return b"0\r\n\r\n"


@pytest.fixture
def patient(cluster):
    """A site whose routes allow much more time than a silence."""
    long = {"timeoutMs": 10000, "goalMs": 200}
    routes = [
        route("stream", "streaming", **long),
        route("resume", "streaming", resumable=True, **long),
    ]
    cluster.store.put("op", "config", configuration(routes=routes))
    return cluster


class TestSilentServers:
    """A server that is gone is not waited for until the deadline."""

    async def ask(self, cluster, daemon, path, behaviour):
        """Send a request and wait until a server has it.

        :returns: (task of the call, the server)
        """
        for server in cluster.servers:
            server.default = behaviour
        call = asyncio.create_task(cluster.call(daemon, path, headers=LONG_MS))
        await cluster.until(
            lambda: any(each.requests for each in cluster.servers)
        )
        server = next(each for each in cluster.servers if each.requests)
        return call, server

    async def test_stream_of_a_server_that_is_gone_is_cut(self, patient):
        daemon = await patient.add_router()
        call, server = await self.ask(
            patient, daemon, "/stream/1", silent_after_two
        )
        began_s = time.monotonic()
        patient.store.remove("servers", server.id)
        with pytest.raises(aiohttp.ClientPayloadError):
            await call
        took_s = time.monotonic() - began_s
        assert took_s < Fleet.MAX_UNLISTED_SILENCE_S + NOTICE_S
        assert not daemon.fleet.loads_by_id().get(server.id, (0,))[0]

    async def test_request_without_an_answer_gets_an_error(self, patient):
        daemon = await patient.add_router()
        call, server = await self.ask(patient, daemon, "/stream/1", never)
        patient.store.remove("servers", server.id)
        status, headers, _ = await call
        assert status == 502
        assert "Retry-After" not in headers

    async def test_resumable_stream_goes_on_at_a_server_that_lives(
        self, patient
    ):
        daemon = await patient.add_router()
        call, server = await self.ask(
            patient, daemon, "/resume/1", silent_after_two
        )
        for other in patient.servers:
            other.default = resume_from_header
        patient.store.remove("servers", server.id)
        status, _, body = await call
        assert (status, body) == (200, b"".join(EVENTS))

    async def test_another_run_of_a_server_is_listed(self, patient):
        daemon = await patient.add_router()
        call, server = await self.ask(patient, daemon, "/stream/1", never)
        entry = server.entry("apps", born=time.time_ns() // 1000)
        patient.store.put("servers", server.id, entry)
        known = daemon.directory.servers_by_id
        old_ms = known[server.id].record.started_ms
        await patient.until(
            lambda: known[server.id].record.started_ms != old_ms
        )
        daemon.fleet.usable_servers("apps")
        status, _, _ = await call
        assert status == 502

    async def test_silent_server_that_is_listed_is_waited_for(self, patient):
        daemon = await patient.add_router()
        call, server = await self.ask(patient, daemon, "/stream/1", never)
        await asyncio.sleep(Fleet.MAX_UNLISTED_SILENCE_S + NOTICE_S / 2)
        assert not call.done()
        call.cancel()

    async def test_caller_that_reads_slowly_is_no_silent_server(self, patient):
        daemon = await patient.add_router()
        for server in patient.servers:
            server.default = stream_of(*[LARGE_EVENT] * LARGE_EVENTS)
        async with patient.request(
            daemon, "/stream/1", headers=LONG_MS
        ) as answer:
            size = len(await answer.content.readany())
            for server in patient.servers:
                patient.store.remove("servers", server.id)
            await asyncio.sleep(Fleet.MAX_UNLISTED_SILENCE_S + NOTICE_S)
            size += len(await answer.read())
        assert size == LARGE_EVENTS * len(LARGE_EVENT)

    async def test_server_that_leaves_ends_its_streams(self, patient):
        daemon = await patient.add_router()
        call, server = await self.ask(
            patient, daemon, "/stream/1", slow_to_the_end
        )
        patient.store.remove("servers", server.id)
        status, _, body = await call
        assert (status, body) == (200, b"".join(EVENTS))
