"""Tests of which routers count as members of the fleet."""

import pytest

from boragetrail.direct.tests.gossipsimulation import GossipSimulation

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
