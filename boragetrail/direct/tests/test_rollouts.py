"""Rollouts from the order to the status, with a store and routers."""

import asyncio
import json
import time

import pytest

from boragetrail.direct.peers import PeerTable
from boragetrail.policy.rollout import Stage
from standins.httpserver import whole_answer

ROLLOUT = {
    "exposure_ratio": 0.3,
    "exposure_margin": 50,
    "rollback_ms": 5000,
}
DURATION_S = 4.0
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
        late = await cluster.add_router(rules=["rollout"], rollout=ROLLOUT)
        # Guards against a router that reads the order after the verdict.
        for _ in range(30):
            await cluster.call(late, "/status/1")
        assert len(new.requests) == count < 50

    async def test_bad_version_with_the_store_away(self, cluster, traffic):
        # Guards against a revert that waits for the store.
        new = await cluster.add_server(version="v2")
        new.default = failing
        self.order(cluster)
        await self.until_status(cluster, "in_progress")
        cluster.store.status = OUTAGE
        await asyncio.sleep(1.5)
        count = len(new.requests)
        await asyncio.sleep(0.5)
        assert len(new.requests) == count
        # Guards against a verdict that is written once more, or lost, if the
        # response to the write is.
        cluster.store.drops_responses = True
        cluster.store.status = 0
        await self.until_status(cluster, "reverted")
        version, _ = cluster.store.rows_by_key["status", "rollout/apps"]
        await asyncio.sleep(0.7)
        assert cluster.store.rows_by_key["status", "rollout/apps"][0] == (
            version
        )

    async def test_write_for_an_order_that_was_overtaken(self, cluster):
        # Guards against two verdicts, and one for an earlier order.
        daemon = await cluster.add_router(rules=["rollout"], rollout=ROLLOUT)
        self.order(cluster, "v2")
        rollouts = daemon.parts.rollouts.rollouts_by_service
        await cluster.until(lambda: "apps" in rollouts)
        await self.until_status(cluster, "in_progress")
        first = rollouts["apps"].order
        saved = (await daemon.store.read_rollouts())["apps"]
        self.order(cluster, "v3")
        assert not await daemon.store.save_rollout(
            first, Stage.COMPLETED, saved
        )
        await self.until_status(cluster, "in_progress", "v3")
        saved = (await daemon.store.read_rollouts())["apps"]
        second = rollouts["apps"].order
        assert await daemon.store.save_rollout(second, Stage.REVERTED, saved)
        assert not await daemon.store.save_rollout(
            second, Stage.COMPLETED, saved
        )

    async def test_store_that_returns_from_a_copy(self, cluster, traffic):
        # Guards against a verdict that is lost with the store's last rows.
        new = await cluster.add_server(version="v2")
        new.default = failing
        self.order(cluster)
        await self.until_status(cluster, "in_progress")
        cluster.store.save_copy()
        await self.until_status(cluster, "reverted")
        cluster.store.return_from_copy()
        assert self.status(cluster)["state"] == "in_progress"
        await self.until_status(cluster, "reverted")
