"""Tests with servers of several software versions in one service."""

import asyncio
import random

import aiohttp
import pytest

from boragetrail.direct.knowledge.streams import StreamOrigins, stream_key
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.tests.test_trouble import chunk, stream_head
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.policy.versionhistory import VersionHistory
from standins.clock import ManualClock

COUNT = 8
STREAM_LIFE_S = VersionHistory.STREAM_LIFE_S


def event(number, version):
    """Return an event of a stream with the version that wrote it."""
    return b"id: %d\ndata: %s\n\n" % (number, version.encode())


def streaming(version, ends_after=None):
    """Return a handler that streams events after the one that is named.

    :param ends_after: number of events after which the connection breaks
    """

    async def respond(request):
        last = request.headers.get(HEADER_NAMES.last_event_id.lower(), "0")
        request.writer.write(stream_head(request))
        numbers = range(int(last) + 1, COUNT + 1)
        for number in numbers[:ends_after]:
            request.writer.write(chunk(event(number, version)))
        await request.writer.drain()
        if ends_after is not None:
            return None
        return chunk(b"")

    return respond


async def stream(cluster, daemon, **fields):
    """Send a request to a stream.

    :returns: (status, data of the events that arrived, request id)
    """
    data = b""
    headers = cluster.fields(**fields)
    try:
        async with cluster.request(
            daemon, "/resume/1", headers=headers
        ) as response:
            async for piece in response.content.iter_any():
                data += piece
            status = response.status
    except aiohttp.ClientError:
        status = None
    if status not in (200, None):
        data = b""
    versions = [
        line.removeprefix(b"data: ").decode()
        for line in data.split(b"\n")
        if line.startswith(b"data: ")
    ]
    return status, versions, headers[HEADER_NAMES.request_id]


def resuming(request_id, count):
    """Return the header fields of a client that resumes a stream."""
    return {
        HEADER_NAMES.last_event_id: str(count),
        HEADER_NAMES.resumed_request: request_id,
    }


@pytest.fixture
async def versions(cluster):
    """Two servers of each of the versions v1 and v2, which is younger."""
    for server in cluster.servers:
        server.default = streaming("v1")
    for _ in range(2):
        server = await cluster.add_server(version="v2")
        server.default = streaming("v2")
    return cluster


async def begin_and_break(cluster, daemon, version):
    """Let a stream begin at a version and break off after two events.

    :returns: request id of the stream
    """
    names = [server.default for server in cluster.servers]
    for server in cluster.servers:
        server.default = streaming(server.version, ends_after=2)
    for _ in range(40):
        _, began, request_id = await stream(cluster, daemon)
        if began and set(began) == {version} and len(began) < COUNT:
            break
    for server, default in zip(cluster.servers, names):
        server.default = default
    assert began and set(began) == {version}
    return request_id, len(began)


class TestOneResponse:
    """A router goes on with a stream at the version that began it."""

    # Guards against streams joined from two versions in one response (ORDER).
    async def test_broken_stream_goes_on_at_its_version(self, versions):
        daemon = await versions.add_router()
        for server in versions.servers:
            server.behaviours.append(streaming(server.version, ends_after=2))
        for _ in range(20):
            _, seen, _ = await stream(versions, daemon)
            assert len(set(seen)) == 1

    async def test_no_other_server_of_its_version(self, cluster):
        first, second = cluster.servers
        cluster.store.put(
            "servers", second.id, second.entry("apps", version="v2")
        )
        first.default = streaming("v1", ends_after=2)
        second.default = streaming("v2")
        daemon = await cluster.add_router()
        for _ in range(20):
            _, seen, _ = await stream(cluster, daemon)
            assert len(set(seen)) == 1


class TestResumingClient:
    """A client resumes a stream at the version that began it."""

    # Guards against streams joined over a client's tries (ORDER).
    @pytest.mark.parametrize("version", ["v1", "v2"])
    async def test_at_the_same_router(self, versions, version):
        daemon = await versions.add_router()
        request_id, count = await begin_and_break(versions, daemon, version)
        for _ in range(10):
            status, seen, _ = await stream(
                versions, daemon, **resuming(request_id, count)
            )
            assert (status, set(seen)) == (200, {version})

    @pytest.mark.parametrize("version", ["v1", "v2"])
    async def test_at_another_router(self, versions, version):
        first = await versions.add_router()
        second = await versions.add_router()
        request_id, count = await begin_and_break(versions, first, version)
        for _ in range(10):
            status, seen, _ = await stream(
                versions, second, **resuming(request_id, count)
            )
            assert (status, set(seen)) == (200, {version})

    # Guards against knowledge that dies with the router that had it (LOST).
    async def test_router_that_began_the_stream_is_gone(self, versions):
        daemons = [await versions.add_router() for _ in range(3)]
        await versions.until(
            lambda: all(len(each.peers.live_peers()) == 2 for each in daemons)
        )
        request_id, count = await begin_and_break(versions, daemons[0], "v2")
        await daemons[0].close()
        for daemon in daemons[1:]:
            for _ in range(10):
                status, seen, _ = await stream(
                    versions, daemon, **resuming(request_id, count)
                )
                assert (status, set(seen)) == (200, {"v2"})


class TestAllRoutersGone:
    """All routers are killed at once and start again."""

    # Guards against a version that is guessed after a restart (ORDER).
    async def test_unknown_stream_is_refused(self, versions):
        daemon = await versions.add_router()
        request_id, count = await begin_and_break(versions, daemon, "v1")
        await daemon.close()
        started = await versions.add_router()
        for _ in range(10):
            status, seen, _ = await stream(
                versions, started, **resuming(request_id, count)
            )
            assert status == 503 or set(seen) == {"v1"}

    # Guards against streams that are refused after a restart (LOST).
    @pytest.mark.parametrize("version", ["v1", "v2"])
    async def test_saved_stream_goes_on(self, versions, version):
        daemon = await versions.add_router()
        request_id, count = await begin_and_break(versions, daemon, version)
        await asyncio.sleep(0.5)
        await daemon.close()
        started = await versions.add_router()
        for _ in range(5):
            status, seen, _ = await stream(
                versions, started, **resuming(request_id, count)
            )
            assert (status, set(seen)) == (200, {version})

    # Guards against streams that began just before the kill (LOST).
    async def test_origin_is_saved_before_the_first_event(self, versions):
        daemon = await versions.add_router()
        rows_at_first_event = []

        async def begin_late(request):
            await asyncio.sleep(0.6)
            rows_at_first_event.extend(await daemon.store.read_streams())
            return await streaming("v1")(request)

        for server in versions.servers:
            server.default = begin_late
        _, _, request_id = await stream(versions, daemon)
        assert stream_key(request_id) in dict(rows_at_first_event)

    async def test_stream_expected_from_two_versions_is_unknown(self):
        origins = StreamOrigins(PeerTable(ManualClock(5.0), random.Random(1)))
        origins.add_saved([(1, "v1"), (2, "v1"), (1, "v2"), (2, "v1")])
        assert list(origins.origins_by_stream) == [2]

    # Guards against callers that are told to come back in vain.
    async def test_retry_after_of_an_unknown_stream(self, versions):
        daemon = await versions.add_router()
        fields = resuming("of-another-fleet", 2)
        status, headers, _ = await versions.call(
            daemon, "/resume/1", headers=fields
        )
        assert status == 503
        assert float(headers["Retry-After"]) > STREAM_LIFE_S / 2

    # Guards against the version whose servers have just left (ORDER).
    async def test_servers_of_its_version_have_left(self, versions):
        daemon = await versions.add_router()
        request_id, count = await begin_and_break(versions, daemon, "v1")
        await asyncio.sleep(0.2)
        await daemon.close()
        for server in versions.servers[:2]:
            versions.unlist_server(server)
        started = versions.make_router()
        await started.open()
        await versions.until(started.is_ready)
        await asyncio.sleep(0.3)
        for _ in range(10):
            status, _, _ = await stream(
                versions, started, **resuming(request_id, count)
            )
            assert status == 503

    # Guards against refusals where there is but one version (LOST).
    async def test_only_one_version_was_in_service(self, cluster):
        for server in cluster.servers:
            server.default = streaming("v1")
        daemon = await cluster.add_router()
        request_id, count = await begin_and_break(cluster, daemon, "v1")
        await asyncio.sleep(0.2)
        await daemon.close()
        started = await cluster.add_router()
        await asyncio.sleep(0.3)
        for _ in range(5):
            status, seen, _ = await stream(
                cluster, started, **resuming(request_id, count)
            )
            assert (status, set(seen)) == (200, {"v1"})


class TestCopies:
    """Cached prompt parts are copied between servers of one version only."""

    async def test_sources_have_the_version(self, versions):
        daemon = await versions.add_router()
        for version in ("v1", "v2"):
            sources = daemon.fleet.copy_sources("apps", version)
            expected = {
                server.id
                for server in versions.servers
                if server.version == version
            }
            assert set(sources) == expected
