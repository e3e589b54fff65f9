"""Tests of servers that cannot be reached for a time."""

import asyncio

import pytest

from boragetrail.policy.suspicion import Standing
from boragetrail.utils import split_address

IN_TIME_S = 0.5


class TestReconnector:
    """Routers find out by themselves that a server can be reached again."""

    # Routers kept away for up to 4 s after a server could be reached again.
    @pytest.mark.parametrize("failures", [1, 6])
    async def test_no_request_is_needed(self, cluster, failures):
        daemon = await cluster.add_router()
        away = cluster.servers[0]
        await away.close()
        state = next(
            each
            for each in daemon.fleet.ready_servers("apps")
            if each.record.id == away.id
        )
        for _ in range(failures):
            began_s = daemon.clock()
            daemon.fleet.record_unreachable(state, began_s)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert state.standing() is Standing.AVOIDED
        await away.open(*split_address(away.address))
        async with asyncio.timeout(IN_TIME_S):
            while state.standing() is not Standing.TRUSTED:
                await asyncio.sleep(0.01)
        assert len(state.pool.idle_connections) == 1

    # A server that is gone would have been tried for ever.
    async def test_unlisted_servers_are_forgotten(self, cluster):
        daemon = await cluster.add_router()
        away = cluster.servers[0]
        await away.close()
        state = daemon.fleet.ready_servers("apps")[0]
        daemon.fleet.record_unreachable(state, daemon.clock())
        cluster.unlist_server(away)
        await cluster.until(
            lambda: away.id not in daemon.directory.servers_by_id
        )
        daemon.fleet.remove_unlisted()
        assert daemon.fleet.servers_to_reconnect() == []
        assert not daemon.fleet.unreachable_states
