"""Streams beside servers whose version a router does not know for sure."""

import asyncio

import pytest

from boragetrail.direct.tests.conftest import free_port
from boragetrail.direct.tests.test_versions import (
    begin_and_break,
    resuming,
    stream,
    streaming,
)
from standins.proxy import FaultProxy

AWAY_S = 0.3
STREAMS = 20
OUTAGE = 503
EXPIRY_GRACE_S = 2.4


async def restart(server, version):
    """Let a server crash and start again under its id and address."""
    host, _, port = server.address.partition(":")
    server.server.close()
    for writer in list(server.writers):
        writer.transport.abort()
    await asyncio.sleep(AWAY_S)
    server.server = await asyncio.start_server(server._serve, host, int(port))
    server.version = version
    server.born_ms += 1000
    server.default = streaming(version)


async def versions_of_streams(cluster, daemon):
    """Return the set of versions of each of some streams."""
    return [set((await stream(cluster, daemon))[1]) for _ in range(STREAMS)]


class TestServerBackUnderItsId:
    """ORDER: a server returns with another version while the store is away."""

    @pytest.fixture
    async def daemon(self, cluster):
        """A router before two servers of version v1."""
        for server in cluster.servers:
            server.default = streaming("v1")
            server.born_ms = 1000
            cluster.list_server(server)
        daemon = await cluster.add_router()
        while not all(server.requests for server in cluster.servers):
            await stream(cluster, daemon)
        return daemon

    async def test_stream_does_not_go_on_there(self, cluster, daemon):
        # Guards against a version that is read from the entry of an earlier
        # run of the server.
        first, second = cluster.servers
        cluster.store.status = OUTAGE
        await restart(first, "v2")
        second.default = streaming("v1", ends_after=2)
        for versions in await versions_of_streams(cluster, daemon):
            assert len(versions) <= 1

    async def test_stream_that_began_there_has_no_known_version(
        self, cluster, daemon
    ):
        first, _ = cluster.servers
        cluster.store.status = OUTAGE
        await restart(first, "v2")
        request_id, count = await begin_and_break(cluster, daemon, "v2")
        fields = resuming(request_id, count)
        _, went_on, _ = await stream(cluster, daemon, **fields)
        assert "v1" not in went_on

    async def test_it_goes_on_once_the_entry_is_written(self, cluster, daemon):
        first, second = cluster.servers
        cluster.store.status = OUTAGE
        await restart(first, "v2")
        cluster.store.status = 0
        cluster.store.put("servers", first.id, first.entry("apps"))
        await asyncio.sleep(EXPIRY_GRACE_S)
        second.behaviours.extend([streaming("v1", ends_after=2)] * 2)
        first.behaviours.extend([streaming("v2", ends_after=2)] * 2)
        for versions in await versions_of_streams(cluster, daemon):
            assert len(versions) == 1

    async def test_connections_from_before_the_outage_are_used(
        self, cluster, daemon
    ):
        # Guards against an outage that ends all streams which break.
        await asyncio.sleep(1.5)
        _, second = cluster.servers
        cluster.store.status = OUTAGE
        second.behaviours.append(streaming("v1", ends_after=2))
        for _ in range(STREAMS):
            _, events, _ = await stream(cluster, daemon)
            assert len(events) == 8
        assert not second.behaviours


class TestRouterOutOfStep:
    """ORDER: streams of a version that joined while a router was cut off."""

    async def test_take_up_at_a_router_that_was_cut_off(self, cluster):
        # Guards against "there is one version" said of an old list.
        for server in cluster.servers:
            server.default = streaming("v1")
        sound = await cluster.add_router()
        # The version in service is saved, so that the second router reads it.
        await asyncio.sleep(0.5)
        port = int(cluster.store.address.partition(":")[2])
        proxy = FaultProxy(free_port(), port)
        await proxy.open()
        cut_off = cluster.make_router(store=f"127.0.0.1:{proxy.port}")
        await cut_off.open()
        await cluster.until(cut_off.is_ready)
        await cluster.until(lambda: cut_off.peers.live_peers())
        history = cut_off.directory.version_history
        await cluster.until(lambda: "apps" in history.loaded)
        self.cut(cut_off, proxy)
        joined = await cluster.add_server(version="v2")
        joined.default = streaming("v2")
        await cluster.until(lambda: joined.id in sound.directory.servers_by_id)
        request_id, count = await begin_and_break(cluster, sound, "v2")
        fields = resuming(request_id, count)
        status, went_on, _ = await stream(cluster, cut_off, **fields)
        proxy.close()
        assert (status, went_on) == (503, [])

    def cut(self, daemon, proxy):
        """Cut a router off from the store and from other routers."""
        proxy.drop_traffic()
        proxy.refuse = True
        daemon.socket.datagram_received = lambda data, addr: None
        daemon.socket._send_data = lambda data, address: None
