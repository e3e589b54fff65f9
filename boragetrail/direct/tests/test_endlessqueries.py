"""Tests of the routers' own calls to processes that send without end."""

import asyncio
import json
import resource

import pytest

from boragetrail.agent.backend import BackendClient
from boragetrail.direct.interfaces import SourceFailure, Table
from boragetrail.direct.knowledge.epochs import RowPosition
from boragetrail.direct.relay import PeerSource
from boragetrail.direct.tests.test_endless import (
    IN_TIME_S,
    MAX_SENT_BYTES,
    PIECE,
    REPEATED,
    STARTS,
    Endless,
    head,
)
from boragetrail.errors import PlatformFailure
from boragetrail.platform import PlatformEngineClient, PlatformStoreClient
from boragetrail.store.transport import call
from boragetrail.utils import split_address
from standins.httpserver import HttpServer, whole_answer

BODY_OF_JSON = b'{"held": [["", "part", 1, "m"]], "rows": [], "ver": 1}'
# A process of a small deployment may use 200 MB.
MAX_GROWTH_BYTES = 64 * 1024 * 1024
SERVERS = 8
# Shorter than the time for which a session keeps an idle connection.
IDLE_S = 0.05


def read_cache(session, address):
    """Query an engine's cache."""
    engines = PlatformEngineClient(session)
    return engines.cache_content(split_address(address))


def read_report(session, address):
    """Query an engine's report."""
    return PlatformEngineClient(session).report(split_address(address))


def read_peer(session, address):
    """Read rows of another router."""
    source = PeerSource(session, *split_address(address))
    return source.changes(Table.SERVERS, RowPosition(-1), 0.0)


def read_store(session, address):
    """Read rows of the store."""
    return PlatformStoreClient(session, address).read(Table.SERVERS)


def call_service(session, address):
    """Call a service of the platform as agents do."""
    return call(session, "GET", f"http://{address}/")


async def ask_backend(session, address):
    """Ask a backend server for its state as agents do."""
    client = BackendClient(f"http://{address}")
    await client.open()
    try:
        return await client.get_json("/status")
    finally:
        await client.close()


CALLS = {
    "cache": read_cache,
    "report": read_report,
    "peer": read_peer,
    "store": read_store,
    "service": call_service,
    "backend": ask_backend,
}


def is_failure(result):
    """Return whether a call says that it failed, or found nothing."""
    if isinstance(result, (SourceFailure, PlatformFailure)):
        return True
    return result is None or getattr(result, "parts", None) == []


class TestEndlessResponses:
    """A call ends after a bounded number of bytes."""

    # An engine's list of cached parts took a router from 34 to 693 MB.
    @pytest.mark.parametrize("call", CALLS)
    @pytest.mark.parametrize("name", STARTS)
    async def test_bytes_that_do_not_end(self, server, session, call, name):
        await self.check_ended(server, session, call, Endless(STARTS[name]))

    # Sessions of processes kept informational responses without end.
    @pytest.mark.parametrize("call", CALLS)
    @pytest.mark.parametrize("name", REPEATED)
    async def test_lines_that_do_not_end(self, server, session, call, name):
        starts = {
            "fields": lambda request: head(request) + b"\r\n",
            "trailers": lambda request: (
                head(request, "Transfer-Encoding: chunked") + b"\r\n\r\n0\r\n"
            ),
        }
        start = starts.get(name, lambda request: b"")
        endless = Endless(start, REPEATED[name])
        await self.check_ended(server, session, call, endless)

    async def check_ended(self, server, session, call, endless):
        """Check that a call fails and closes its connection."""
        server.default = endless.respond
        async with asyncio.timeout(IN_TIME_S):
            result = await CALLS[call](session, server.address)
            await endless.closed.wait()
        assert is_failure(result)
        assert endless.sent_bytes < MAX_SENT_BYTES


class TestIdleConnection:
    """A connection that is kept for the next call is closed as well."""

    # An idle connection of a session kept all that arrived on it.
    async def test_bytes_after_a_complete_response(self, server, session):
        endless = Endless(lambda request: b"")

        async def respond(request):
            request.writer.write(whole_answer(request, BODY_OF_JSON))
            await request.writer.drain()
            await asyncio.sleep(IDLE_S)
            await endless.respond(request)

        server.default = respond
        content = await read_cache(session, server.address)
        assert content.parts == ["part"]
        async with asyncio.timeout(IN_TIME_S):
            await endless.closed.wait()
        assert endless.sent_bytes < MAX_SENT_BYTES


class TestMemory:
    """What all queries of a start hold together is bounded."""

    # A router that started kept the lists of all engines that it asked.
    async def test_several_engines_at_once(self, session):
        start = STARTS["body with a length"]
        endless = [Endless(start) for _ in range(SERVERS)]
        servers = [HttpServer() for _ in endless]
        engines = PlatformEngineClient(session)
        for server, each in zip(servers, endless):
            await server.open()
            server.default = each.respond
        before = peak_bytes()
        await asyncio.gather(
            *(
                engines.cache_content(split_address(server.address))
                for server in servers
            )
        )
        assert peak_bytes() - before < MAX_GROWTH_BYTES
        assert sum(each.sent_bytes for each in endless) < MAX_GROWTH_BYTES
        for server in servers:
            await server.close()

    # Nested brackets ended the task that had asked for the list.
    async def test_deep_json(self, server, session):
        async def respond(request):
            return whole_answer(request, b"[" * 200_000)

        server.default = respond
        assert is_failure(await read_cache(session, server.address))
        assert is_failure(await read_report(session, server.address))


class TestSoundResponses:
    """Responses below the limits are read whole."""

    async def test_cache_of_many_parts(self, server, session):
        held = [["", f"part-{n}", 100, "m"] for n in range(10_000)]
        body = json.dumps({"epoch": 1, "next": 1, "held": held}).encode()
        assert len(body) > 4 * len(PIECE)

        async def respond(request):
            return whole_answer(request, body)

        server.default = respond
        content = await read_cache(session, server.address)
        assert len(content.parts) == 10_000


def peak_bytes():
    """Return the largest memory of this process so far."""
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
