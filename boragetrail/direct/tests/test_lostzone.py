"""Tests of a zone that accepts no connection."""

import asyncio

import pytest

from boragetrail.direct.connection import ConnectionPool
from boragetrail.policy.reachability import ZoneReachability
from boragetrail.policy.suspicion import Standing

LOST_ZONE = "z2"
SERVERS = 6
REQUESTS = 12
TIMEOUT_S = 0.05


class LostZone:
    """Let connections to the servers of a zone time out.

    :param cluster: the cluster
    :ivar timeouts: number of requests' connections that timed out
    """

    def __init__(self, cluster):
        self.addresses = {
            server.address
            for server in cluster.servers
            if server.zone == LOST_ZONE
        }
        self.timeouts = 0
        self.is_lost = True
        self.open = ConnectionPool.open

    async def open_or_time_out(self, pool, timeout_s=None):
        """Replace :meth:`ConnectionPool.open`."""
        host, port = pool.address
        if not self.is_lost or f"{host}:{port}" not in self.addresses:
            return await self.open(pool)
        # Attempts without a timeout of their own are those of requests.
        self.timeouts += timeout_s is None
        await asyncio.sleep(TIMEOUT_S)
        raise TimeoutError


@pytest.fixture
async def lost_zone(cluster, monkeypatch):
    for _ in range(SERVERS):
        server = await cluster.add_server(zone=LOST_ZONE)
        server.zone = LOST_ZONE
    for server in cluster.servers[:-SERVERS]:
        server.zone = "z1"
    lost = LostZone(cluster)

    async def open(pool, timeout_s=None):
        return await lost.open_or_time_out(pool, timeout_s)

    monkeypatch.setattr(ConnectionPool, "open", open)
    return lost


class TestLostZone:
    """Guard against requests that each wait for a zone that is lost.

    The router has no server in its own zone, so that it prefers no zone.
    """

    async def _call(self, cluster, daemon):
        statuses = []
        for _ in range(REQUESTS):
            status, _, _ = await cluster.call(daemon, "/status/x")
            statuses.append(status)
        return statuses

    async def test_few_requests_wait(self, cluster, lost_zone):
        daemon = await cluster.add_router(zone="z3", rules=["pressure"])
        statuses = await self._call(cluster, daemon)
        assert statuses == [200] * REQUESTS
        assert lost_zone.timeouts <= ZoneReachability.MIN_SERVERS

    async def test_zone_is_used_again(self, cluster, lost_zone):
        daemon = await cluster.add_router(zone="z3", rules=["pressure"])
        await self._call(cluster, daemon)
        lost_zone.is_lost = False
        states = [
            state
            for state in daemon.fleet.ready_servers("apps")
            if state.record.zone == LOST_ZONE
        ]
        await cluster.until(
            lambda: all(
                daemon.fleet.server_view(state).standing is Standing.TRUSTED
                for state in states
            )
        )

    # The feature is off, so the standing of each server is its own.
    async def test_without_the_feature(self, cluster, lost_zone):
        daemon = await cluster.add_router(zone="z3")
        await self._call(cluster, daemon)
        assert lost_zone.timeouts > ZoneReachability.MIN_SERVERS
