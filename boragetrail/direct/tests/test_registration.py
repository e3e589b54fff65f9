"""Tests of registrations as leases."""

import random

from boragetrail.direct.peers import PeerTable
from boragetrail.direct.registration import Registration
from boragetrail.direct.registries import MemberRegistry, RegisteredRouter
from boragetrail.platform.rows import TIME
from standins.clock import ManualClock

OWN_HOST = "10.0.0.1"
PORT = 7000
LEASE_S = Registration.LEASE_S


class MemoryRegistry(MemberRegistry):
    """Hold registrations in memory.

    :param clock: function that returns monotonic seconds
    """

    def __init__(self, clock):
        self.clock = clock
        self.epoch = 1
        self.rows_by_host = {}
        self.announced = 0

    async def announce(self, host):
        """Write a row; see the base class."""
        self.announced += 1
        self.rows_by_host[host] = (self.announced, self.clock())
        return True

    async def members(self):
        """Return all rows; see the base class."""
        return [
            RegisteredRouter(
                host, None if saved_s is None else self.clock() - saved_s, row
            )
            for host, (row, saved_s) in self.rows_by_host.items()
        ]

    async def withdraw(self, routers):
        """Remove rows; see the base class."""
        for router in routers:
            if self.rows_by_host[router.host][0] != router.row_version:
                return False
        for router in routers:
            del self.rows_by_host[router.host]
        return True


class Directory:
    """Know of no epoch beside that of the registry."""

    def latest_epoch(self):
        """Return the latest epoch."""
        return 1


class Socket:
    """Record the addresses that are asked for digests.

    :param table: :class:`~boragetrail.direct.peers.PeerTable`
    """

    def __init__(self, table):
        self.table = table
        self.asked = []

    def request_digest(self, address):
        """Record an address."""
        self.asked.append(address)


class TestLeases:
    """Rows of routers that are gone stayed in the registry for good.

    Each start counted them, and so divided shared limits among them.
    """

    def setup_method(self):
        self.clock = ManualClock(1000.0)
        self.registry = MemoryRegistry(self.clock)
        self.table = PeerTable(self.clock, random.Random(1))
        self.table.own_address = (OWN_HOST, PORT)
        self.registration = Registration(
            self.registry,
            Directory(),
            Socket(self.table),
            self.table.own_address,
        )

    def list(self, count, age_s):
        """Register routers that do not run; returns their hosts."""
        hosts = [f"10.0.3.{number + 1}" for number in range(count)]
        for host in hosts:
            saved_s = None if age_s is None else self.clock() - age_s
            self.registry.rows_by_host[host] = (7, saved_s)
        return hosts

    async def run(self, duration_s):
        """Let time pass."""
        for _ in range(round(duration_s)):
            self.clock.now_s += 1.0
            await self.registration.advance()

    async def test_expired_leases_do_not_count(self):
        self.list(64, LEASE_S + 1.0)
        await self.registration.join([])
        self.clock.now_s += self.table.STARTUP_S
        assert self.table.max_size() == 1
        assert len(self.table.contacts) == 64

    async def test_valid_leases_count_for_a_while(self):
        self.list(64, LEASE_S - 1.0)
        await self.registration.join([])
        self.clock.now_s += self.table.STARTUP_S
        assert self.table.max_size() == 65
        self.clock.now_s += self.table.MEMBERSHIP_TIMEOUT_S
        assert self.table.max_size() == 1

    async def test_registration_is_renewed(self):
        await self.registration.join([])
        await self.run(LEASE_S)
        assert 3 <= self.registry.announced <= 5
        (router,) = await self.registry.members()
        assert router.age_s < LEASE_S

    async def test_expired_leases_are_removed(self):
        self.list(64, 0.0)
        await self.registration.join([])
        await self.run(LEASE_S / 2)
        assert len(self.registry.rows_by_host) == 65
        await self.run(2 * LEASE_S)
        assert list(self.registry.rows_by_host) == [OWN_HOST]

    async def test_registrations_without_a_time(self):
        # Older software writes no time; a router that is heard is kept.
        heard, *_ = self.list(3, None)
        await self.registration.join([])
        assert len(self.table.contacts.expected()) == 3
        for _ in range(round(2 * LEASE_S)):
            self.table.add_reported((heard, PORT))
            await self.run(1.0)
        assert sorted(self.registry.rows_by_host) == [OWN_HOST, heard]

    async def test_renewal_beats_removal(self):
        (host,) = self.list(1, LEASE_S)
        (listed,) = await self.registry.members()
        await self.registry.announce(host)
        assert not await self.registry.withdraw([listed])

    async def test_living_routers_that_are_not_heard_are_probed(self):
        # The other side of a cut that lasts longer than contacts are kept.
        (host,) = self.list(1, 0.0)
        await self.registration.join([])
        for _ in range(20):
            self.registry.rows_by_host[host] = (7, self.clock())
            await self.run(LEASE_S / 3)
            self.table.contacts.take_due()
        assert (host, PORT) in self.table.contacts


class TestStoredLeases:
    """Registrations in the platform's store."""

    async def test_round_trip(self, cluster):
        daemon = await cluster.add_router()
        await cluster.until(lambda: daemon.peers.list_was_read)
        (router,) = await daemon.store.members()
        assert router.host == daemon.settings.gossip.partition(":")[0]
        assert router.age_s is not None and router.age_s < 10.0
        assert not await daemon.store.withdraw(
            [RegisteredRouter(router.host, 0.0, router.row_version + 1)]
        )
        assert await daemon.store.withdraw([router])
        assert await daemon.store.members() == []

    async def test_expired_leases_do_not_count(self, cluster):
        daemon = await cluster.add_router()
        saved_ms = daemon.store._now_ms() - 1000.0 * (LEASE_S + 1.0)
        for number in range(64):
            cluster.store._write(
                "routers", f"127.0.9.{number + 1}", TIME.pack(saved_ms)
            )
        second = await cluster.add_router()
        await cluster.until(lambda: second.peers.list_was_read)
        assert second.peers.max_size() == second.peers.MIN_STARTUP_SIZE

    async def test_row_without_a_time(self, cluster):
        cluster.store._write("routers", "127.0.1.9", b"")
        daemon = await cluster.add_router()
        routers = await daemon.store.members()
        ages_s = {router.host: router.age_s for router in routers}
        assert ages_s["127.0.1.9"] is None
