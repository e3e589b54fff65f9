"""Tests of which routers count as members of the fleet."""

import pytest

from boragetrail.direct.knowledge.streams import StreamOrigins
from boragetrail.direct.streamarchive import StreamArchive
from boragetrail.direct.tests.gossipsimulation import GossipSimulation
from boragetrail.policy.quota import RateQuota

SEEDS = range(3)
LIVING = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]
# Hosts of routers that were replaced, but are still in the registry.
LOST = [f"10.0.3.{number + 1}" for number in range(64)]
# Time within which a router that is gone no longer counts anywhere.
MAX_MEMBERSHIP_S = 30.0


def restart_in_turn(simulation, pause_s=9.0):
    """Restart each of the living routers, one after the other."""
    for host in LIVING:
        simulation.run(pause_s)
        simulation.kill([host])
        simulation.start([host])


class TestReplacedRouters:
    """Routers that are gone for good, whose addresses others still hold.

    The addresses were passed on between living routers without end, so that
    most members were gone and streams could not be resumed.
    """

    @pytest.mark.parametrize("seed", SEEDS)
    def test_size_after_restarts_in_turn(self, seed):
        simulation = GossipSimulation(seed)
        simulation.register(LOST)
        simulation.start(LIVING)
        restart_in_turn(simulation)
        simulation.run(MAX_MEMBERSHIP_S)
        for _ in range(10):
            simulation.run(3.0)
            assert simulation.sizes() == [len(LIVING)] * len(LIVING)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_routers_beside_one_that_restarts(self, seed):
        # The others do not learn from it of routers that it never heard.
        simulation = GossipSimulation(seed)
        simulation.start(LIVING)
        simulation.run(33.0)
        simulation.register(LOST)
        simulation.kill(LIVING[-1:])
        simulation.start(LIVING[-1:])
        for _ in range(20):
            simulation.run(1.0)
            assert simulation.sizes()[: len(LIVING) - 1] == [4, 4, 4]

    @pytest.mark.parametrize("seed", SEEDS)
    def test_routers_that_were_members(self, seed):
        # All hear them until they are lost.
        simulation = GossipSimulation(seed)
        lost = LOST[:24]
        simulation.start(LIVING + lost)
        simulation.run(30.0)
        simulation.kill(lost)
        simulation.run(MAX_MEMBERSHIP_S)
        for _ in range(10):
            simulation.run(3.0)
            assert simulation.sizes() == [len(LIVING)] * len(LIVING)


class TestTasksBesideLostRouters:
    """What routers do in turn or share, while the registry lists lost ones.

    Tasks were left to lost routers that ranked first, and shares of what
    each router does on its own were divided among them.
    """

    KEYS = [f"key-{number}" for number in range(50)]

    def tables(self):
        """Return the tables of routers that all restarted seconds ago."""
        simulation = GossipSimulation(1)
        simulation.register(LOST)
        simulation.start(LIVING)
        simulation.run(5.0)
        return simulation.tables()

    def test_each_task_has_one_first_router(self):
        tables = self.tables()
        for key in self.KEYS:
            assert sum(table.is_first(key) for table in tables) == 1

    def test_ranks_are_those_of_living_routers(self):
        tables = self.tables()
        for key in self.KEYS:
            ranks = sorted(table.rank(key) for table in tables)
            assert ranks == [0, 1, 2, 3]

    def test_datagrams_go_to_living_routers(self):
        for table in self.tables():
            assert not table.needs_relaying()
            sampled = {peer.address[0] for peer in table.sample(100)}
            assert sampled == set(LIVING) - {table.own_address[0]}

    def test_interval_between_writes(self):
        for table in self.tables():
            origins = StreamOrigins(table)
            archive = StreamArchive(origins, Registry(), lambda: True, table)
            assert archive.interval_s() == archive.MIN_WRITE_INTERVAL_S

    def test_shares_of_limits_stay_small(self):
        # A listed router may run without being heard.
        limit_per_s = 41.0
        acquired = 0
        for table in self.tables():
            assert table.size() == len(LIVING)
            assert table.max_size() == len(LIVING + LOST)
            quota = RateQuota(table.clock)
            while quota.try_acquire(
                limit_per_s, table.max_size(), table.max_rank("s")
            ):
                acquired += 1
        assert acquired <= limit_per_s * len(LIVING) / len(LIVING + LOST) + 4


class Registry:
    """Hold nothing."""

    epoch = 1


class TestLargeFleet:
    """Routers of which most have not heard each other for seconds."""

    @pytest.mark.parametrize("count", [28, 68])
    def test_silent_routers_count(self, count):
        simulation = GossipSimulation(1)
        hosts = [
            f"10.0.{number // 250}.{number % 250}" for number in range(count)
        ]
        simulation.start(hosts)
        simulation.run(30.0)
        assert min(simulation.sizes()) >= 0.97 * count
        assert max(simulation.sizes()) == count
        simulation.kill(hosts[count // 2 :])
        simulation.run(MAX_MEMBERSHIP_S)
        assert max(simulation.sizes()) == count // 2
        assert min(simulation.sizes()) >= 0.97 * count // 2


class TestLostContact:
    """Routers that could not hear each other for longer than they count.

    Each forgot the other for good, and took all of the shared limits.
    """

    # Time after the end of a cut within which all routers are members again.
    MAX_RETURN_S = 3.0

    def cut(self, simulation, hosts):
        """Lose all datagrams between some hosts and all others."""
        simulation.is_cut = lambda source, target: (
            (source in hosts) != (target in hosts)
        )

    @pytest.mark.parametrize("count", [2, 4])
    @pytest.mark.parametrize("cut_s", [24.0, 34.0, 300.0])
    def test_two_sides(self, count, cut_s):
        simulation = GossipSimulation(1, loss=0.1)
        hosts = LIVING[:count]
        simulation.start(hosts)
        simulation.run(5.0)
        self.cut(simulation, hosts[: count // 2])
        simulation.run(cut_s)
        assert simulation.sizes() == [count // 2] * count
        self.cut(simulation, [])
        simulation.run(self.MAX_RETURN_S)
        assert simulation.sizes() == [count] * count

    def test_start_on_one_side(self):
        # The router that starts has never heard those on the other side.
        simulation = GossipSimulation(1)
        simulation.start(LIVING)
        simulation.run(5.0)
        self.cut(simulation, LIVING[:1])
        simulation.run(10.0)
        simulation.kill(LIVING[:1])
        simulation.start(LIVING[:1])
        simulation.run(10.0)
        assert simulation.routers_by_host[LIVING[0]].table.max_size() == 4
        simulation.run(20.0)
        self.cut(simulation, [])
        simulation.run(self.MAX_RETURN_S)
        assert simulation.sizes() == [4] * 4

    def test_short_cut(self):
        # A router that cannot be heard may still send requests to servers.
        simulation = GossipSimulation(1)
        simulation.start(LIVING)
        simulation.run(5.0)
        self.cut(simulation, LIVING[:1])
        simulation.run(15.0)
        assert simulation.sizes() == [4] * 4

    def test_datagrams_to_routers_that_are_gone(self):
        # Contacts cost one datagram a second, however many there are.
        simulation = GossipSimulation(1)
        simulation.register(LOST)
        simulation.start(LIVING)
        simulation.run(MAX_MEMBERSHIP_S)
        for router in simulation.routers_by_host.values():
            router.sent_by_target.clear()
        simulation.run(30.0)
        for router in simulation.routers_by_host.values():
            to_lost = sum(router.sent_by_target.get(each, 0) for each in LOST)
            assert 0 < to_lost <= 31


class TestSuspendedRouter:
    """A router whose process did not run for longer than others count.

    It believed to be alone when it went on, and took all of the limits.
    """

    FROZEN_S = 40.0

    def suspend(self, simulation):
        """Suspend a router, and let it go on; returns its table."""
        simulation.start(LIVING)
        simulation.run(5.0)
        router = simulation.routers_by_host[LIVING[0]]
        router.frozen = True
        simulation.run(self.FROZEN_S)
        router.frozen = False
        return router.table

    def test_others_still_count(self):
        simulation = GossipSimulation(1)
        table = self.suspend(simulation)
        assert table.size() == 4
        for _ in range(5):
            simulation.run(0.1)
            assert table.size() == 4
        simulation.run(3.0)
        assert simulation.sizes() == [4] * 4

    def test_others_that_are_gone_meanwhile(self):
        simulation = GossipSimulation(1)
        table = self.suspend(simulation)
        simulation.kill(LIVING[1:])
        simulation.run(table.STARTUP_S + 1.0)
        assert table.size() == 1
