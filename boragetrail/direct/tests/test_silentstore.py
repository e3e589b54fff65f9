"""Connections to the store that go silent for good, while new ones work."""

import asyncio
import time

import pytest

from boragetrail.direct.feed import Feed
from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.readers import ReaderRole, reader_role
from boragetrail.direct.relay import READ_TIMEOUT_S, PeerFetcher
from boragetrail.direct.tests.conftest import (
    Cluster,
    configuration,
    free_port,
)
from boragetrail.platform.store import CONNECT_AND_READ_TIMEOUT_S
from boragetrail.utils.calls import MAX_IDLE_S
from standins.proxy import FaultProxy

# Time after a disruption until a router has to act on confirmed changes: the
# shortest one of the deployments.
CONTACT_S = 3.0
CHANGE_DELAY_S = 0.3
SETTLE_S = 1.0
TIMEOUT_S = 12.0


class SilentStoreFleet:
    """Routers that each reach the store through a proxy of their own.

    :ivar proxies: :class:`~standins.proxy.FaultProxy` of each router
    """

    def __init__(self):
        self.cluster = Cluster()
        self.proxies = []

    @property
    def daemons(self):
        """Return the routers."""
        return self.cluster.daemons

    async def open(self, routers):
        """Start the store, two servers and some routers."""
        await self.cluster.open()
        store_port = int(self.cluster.store.address.partition(":")[2])
        for _ in range(routers):
            proxy = FaultProxy(free_port(), store_port)
            await proxy.open()
            self.proxies.append(proxy)
            address = f"127.0.0.1:{proxy.port}"
            daemon = self.cluster.make_router(store=address)
            await daemon.open()
        for daemon in self.daemons:
            await self.cluster.until(daemon.is_ready)
            await self.cluster.until(
                lambda: len(daemon.peers.live_peers()) == routers - 1
            )
        await asyncio.sleep(SETTLE_S)

    async def close(self):
        """Stop everything."""
        await self.cluster.close()
        for proxy in self.proxies:
            proxy.close()

    def roles(self):
        """Return the role of each router."""
        return [reader_role(daemon.peers) for daemon in self.daemons]

    def silence(self, role=None):
        """Silence the open connections of all routers, or of a role."""
        for proxy, own_role in zip(self.proxies, self.roles()):
            if role in (None, own_role):
                proxy.drop_traffic()

    def change(self):
        """Change the configuration, and have a server leave."""
        self.cluster.store.put("op", "config", configuration(version=2))
        server = self.cluster.servers[0]
        entry = server.entry("apps", state="draining")
        self.cluster.store.put("servers", server.id, entry)

    def is_in_force(self):
        """Return whether all routers act on the change."""
        server_id = self.cluster.servers[0].id
        return all(
            daemon.directory.configuration.version == 2
            and not daemon.directory.servers_by_id[server_id].record.ready
            for daemon in self.daemons
        )

    async def in_force_after_silence_s(self, role=None):
        """Silence connections, then change something.

        :param role: as in :meth:`silence`
        :returns: seconds from the silence until the change is in force
        """
        silent_s = time.monotonic()
        self.silence(role)
        await asyncio.sleep(CHANGE_DELAY_S)
        self.change()
        return await self.in_force_s(silent_s)

    async def in_force_s(self, since_s):
        """Return how long the change takes to be in force everywhere."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.is_in_force():
                await asyncio.sleep(0.01)
        return time.monotonic() - since_s


@pytest.fixture
async def fleet():
    """A fleet that is not open yet."""
    made = SilentStoreFleet()
    yield made
    await made.close()


class TestSilentStoreConnections:
    """CONFIG, DRAIN: changes confirmed while connections are silent."""

    async def test_all_connections_of_all_routers(self, fleet):
        # Guards against a timeout for each pooled connection that is silent.
        await fleet.open(routers=4)
        assert await fleet.in_force_after_silence_s() < CONTACT_S

    async def test_connections_of_the_readers(self, fleet):
        # Guards against readers that wait for their silent polls although
        # other routers know the change.
        await fleet.open(routers=4)
        took_s = await fleet.in_force_after_silence_s(ReaderRole.READER)
        assert took_s < CONTACT_S

    async def test_followers(self, fleet):
        # Guards against followers that wait for readers with silent polls.
        await fleet.open(routers=10)
        assert ReaderRole.FOLLOWER in fleet.roles()
        assert await fleet.in_force_after_silence_s() < CONTACT_S

    async def test_twice(self, fleet):
        # Guards against connections that are silent from their first call on.
        await fleet.open(routers=4)
        fleet.silence()
        await asyncio.sleep(1.9)
        assert await fleet.in_force_after_silence_s() < CONTACT_S

    async def test_long_pollers_without_readers(self, fleet):
        # Guards against long polls that nobody ends once the readers, which
        # tell of changes, are gone together with the connections.
        await fleet.open(routers=4)
        silent_s = time.monotonic()
        fleet.silence()
        for daemon, role in zip(list(fleet.daemons), fleet.roles()):
            if role is ReaderRole.READER:
                await daemon.close()
                fleet.daemons.remove(daemon)
        await asyncio.sleep(CHANGE_DELAY_S)
        fleet.change()
        assert await fleet.in_force_s(silent_s) < CONTACT_S

    async def test_silence_without_a_change_is_no_outage(self, fleet):
        # Guards against a first poll after a failure that waits for a change,
        # so that the store seems to have been away for the time of two polls.
        await fleet.open(routers=4)
        fleet.silence()
        await asyncio.sleep(CONTACT_S)
        for daemon in fleet.daemons:
            assert not daemon.directory.in_expiry_grace()

    async def test_silence_is_no_outage(self, fleet):
        # A server whose entry is removed stays in use for a while after an
        # outage of the store, but not after silent connections.
        await fleet.open(routers=4)
        fleet.silence()
        await asyncio.sleep(CHANGE_DELAY_S)
        server_id = fleet.cluster.servers[0].id
        fleet.cluster.store.remove("servers", server_id)
        removed_s = time.monotonic()
        async with asyncio.timeout(TIMEOUT_S):
            while any(
                server_id in daemon.directory.servers_by_id
                for daemon in fleet.daemons
            ):
                await asyncio.sleep(0.01)
        took_s = time.monotonic() - removed_s + CHANGE_DELAY_S
        assert took_s < CONTACT_S


class TestSilenceBudget:
    """Sum of the delays between a silence and a change that is in force."""

    # Factor of the random part of a delay, and of a digest's interval.
    MAX_JITTER = 1.3
    MAX_DIGEST_JITTER = 1.2
    # Time for connections, responses and busy processes, for all steps.
    PROCESSING_S = 0.2

    def reader_s(self):
        """Return the longest delay of a reader."""
        return (
            Feed.MAX_READER_WAIT_S
            + CONNECT_AND_READ_TIMEOUT_S
            + self.MAX_JITTER * Feed.MIN_RETRY_DELAY_S
        )

    def test_long_poller_that_misses_an_update_and_learns_by_a_digest(self):
        total_s = (
            self.reader_s()
            + PeerSocket.UPDATE_INTERVAL_S
            + self.MAX_DIGEST_JITTER * PeerSocket.DIGEST_INTERVAL_S
            + self.MAX_JITTER * PeerFetcher.FETCH_DELAY_S
            + self.PROCESSING_S
        )
        assert total_s < CONTACT_S

    def test_router_that_hears_from_no_reader(self):
        total_s = Feed.MAX_READER_SILENCE_S + self.PROCESSING_S
        assert total_s < CONTACT_S

    def test_one_silent_call_is_no_outage(self):
        assert self.reader_s() + self.PROCESSING_S < StoreLiveness.MIN_OUTAGE_S

    def test_a_repeated_call_uses_no_connection_from_before(self):
        assert MAX_IDLE_S < min(READ_TIMEOUT_S, CONNECT_AND_READ_TIMEOUT_S)
