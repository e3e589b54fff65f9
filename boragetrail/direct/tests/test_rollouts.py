"""Rollouts from the order to the status, with a store and routers."""

import asyncio
import json
import time

import pytest

from boragetrail.direct.peers import PeerTable
from standins.httpserver import whole_answer

ROLLOUT = {
    "exposure_ratio": 0.3,
    "exposure_margin": 50,
    "rollback_ms": 5000,
}
DURATION_S = 5.0
OUTAGE = 503


async def failing(request):
    """Respond with an error."""
    return whole_answer(request, status="500 Internal Server Error")


class Traffic:
    """Send requests to routers until it is stopped.

    :ivar statuses: list of (monotonic time, status)
    """

    GAP_S = 0.004

    def __init__(self, cluster, daemons):
        self.cluster = cluster
        self.daemons = daemons
        self.statuses = []
        self.task = asyncio.create_task(self._run())

    async def _run(self):
        calls = set()
        while True:
            for daemon in self.daemons:
                call = asyncio.create_task(self._call(daemon))
                calls.add(call)
                call.add_done_callback(calls.discard)
                await asyncio.sleep(self.GAP_S)

    async def _call(self, daemon):
        status, _, _ = await self.cluster.call(daemon, "/status/1")
        self.statuses.append((time.monotonic(), status))


class TestRollout:
    """Guard against orders that are never, or wrongly, answered."""

    @pytest.fixture
    async def traffic(self, cluster, monkeypatch):
        """Two routers with traffic before two servers of version v1."""
        monkeypatch.setattr(PeerTable, "STARTUP_S", 0.2)
        daemons = [
            await cluster.add_router(rules=["rollout"], rollout=ROLLOUT)
            for _ in range(2)
        ]
        await cluster.until(lambda: daemons[0].peers.live_peers())
        traffic = Traffic(cluster, daemons)
        yield traffic
        traffic.task.cancel()
        await asyncio.sleep(0.05)

    def order(self, cluster, to="v2", duration_s=DURATION_S):
        """Write an order."""
        row = {"service": "apps", "to": to, "durationS": duration_s}
        return cluster.store.put("op", "rollout/apps", row)

    def status(self, cluster):
        """Return the status in the store, or ``None``."""
        _, data = cluster.store.rows_by_key.get(
            ("status", "rollout/apps"), (0, None)
        )
        return json.loads(data) if data else None

    async def until_status(self, cluster, state, to="v2"):
        """Wait until the store holds a state; returns the seconds."""
        began_s = time.monotonic()
        async with asyncio.timeout(DURATION_S + 3.0):
            while self.status(cluster) != {"state": state, "to": to}:
                await asyncio.sleep(0.02)
        return time.monotonic() - began_s

    async def test_good_version_is_completed(self, cluster, traffic):
        # Guards against old servers that still get requests at the end, and
        # against an order that is not answered in its time.
        new = await cluster.add_server(version="v2")
        self.order(cluster)
        await self.until_status(cluster, "in_progress")
        took_s = await self.until_status(cluster, "completed")
        assert took_s < DURATION_S
        counts = [len(each.requests) for each in cluster.servers]
        await asyncio.sleep(0.3)
        assert [len(each.requests) for each in cluster.servers[:2]] == (
            counts[:2]
        )
        assert len(new.requests) > counts[2]
        assert {status for _, status in traffic.statuses} == {200}

    async def test_bad_version_is_reverted(self, cluster, traffic):
        # Guards against a bad version that gets requests after its verdict.
        new = await cluster.add_server(version="v2")
        new.default = failing
        self.order(cluster)
        took_s = await self.until_status(cluster, "reverted")
        assert took_s < 3.0
        count = len(new.requests)
        await asyncio.sleep(0.5)
        assert len(new.requests) == count < 50

    async def test_bad_version_with_the_store_away(self, cluster, traffic):
        # Guards against a revert that waits for the store.
        new = await cluster.add_server(version="v2")
        new.default = failing
        self.order(cluster)
        await self.until_status(cluster, "in_progress")
        cluster.store.status = OUTAGE
        await asyncio.sleep(2.0)
        count = len(new.requests)
        await asyncio.sleep(0.5)
        assert len(new.requests) == count
        cluster.store.status = 0
        await self.until_status(cluster, "reverted")
