"""Tests of how many requests a server holds beside the others (LIMIT)."""

import pytest

from boragetrail.direct.tests.fleetsimulation import FleetSimulation

# The page's bound is broken by so many requests of five seconds that are sent
# to servers over it, and by so large a part of them.
WINDOW_S = 5.0
MIN_REQUESTS = 20
MIN_SHARE = 0.03
SEEDS = range(12)
LIMITED_S = 8.0
# Time after the end of limits from which the bound holds again.
SETTLE_S = 1.0
AWAY_UNTIL_S = 3.5
COLD_S = 3.0
OUT_SINCE_S = 3.0


def is_broken(simulation, since_s):
    """Return whether the bound is broken in the window from a second on."""
    over, sent = simulation.over(since_s, since_s + WINDOW_S)
    return over >= MIN_REQUESTS and over > MIN_SHARE * sent


def broken_seeds(play, since_s, load=1.0):
    """Return the seeds on which the bound is broken from a second on.

    :param play: function that returns the simulation of a seed
    :param load: multiple of the usual rate of requests
    """
    broken = []
    for seed in SEEDS:
        simulation = play(seed)
        simulation.run(since_s + WINDOW_S, load)
        if is_broken(simulation, since_s):
            broken.append(seed)
    return broken


class TestLoadBound:
    """Requests are spread, whatever routers know of each other."""

    @pytest.mark.parametrize("loss", [0.0, 0.2, 1.0])
    @pytest.mark.parametrize("seed", range(4))
    def test_first_seconds(self, seed, loss):
        simulation = FleetSimulation(seed, loss=loss)
        simulation.run(10.0)
        assert not any(is_broken(simulation, start) for start in range(6))

    # Servers without a limit were crowded after the limits of others ended.
    @pytest.mark.parametrize("seed", range(12))
    def test_end_of_limits(self, seed):
        simulation = FleetSimulation(seed, loss=0.02)
        for server in range(4):
            simulation.name_limit(server, 1.0, LIMITED_S)
        simulation.run(LIMITED_S + SETTLE_S + WINDOW_S)
        assert not is_broken(simulation, LIMITED_S + SETTLE_S)

    # Doubt outranked the bound, and outlasted the cut by up to four seconds.
    def test_servers_that_can_be_reached_again(self):
        def play(seed):
            simulation = FleetSimulation(seed, loss=0.02)
            for server in range(4):
                simulation.cut(server, 1.0, AWAY_UNTIL_S)
            return simulation

        assert broken_seeds(play, AWAY_UNTIL_S) == []

    # The bound was that of the servers without a limit alone, and for seconds
    # nobody heard that the limits had ended.
    def test_end_of_small_limits(self):
        def play(seed):
            simulation = FleetSimulation(seed, loss=0.02)
            for server in range(4):
                simulation.name_limit(server, 0.3, LIMITED_S)
            return simulation

        assert broken_seeds(play, LIMITED_S) == []

    # The bound was that of the servers in the zones that were left.
    def test_zone_that_is_taken_out(self):
        def play(seed):
            simulation = FleetSimulation(seed, servers=4, loss=0.02)
            simulation.take_zone_out("z0")
            return simulation

        assert broken_seeds(play, OUT_SINCE_S, load=1.5) == []

    # A router without quota at cold servers sent to the one that was full.
    def test_servers_that_return_cold(self):
        def play(seed):
            simulation = FleetSimulation(seed, loss=0.02)
            simulation.clump = 0.93
            simulation.clumps_share_router = True
            for server in range(4):
                simulation.restart(server, 1.0, AWAY_UNTIL_S, COLD_S)
            return simulation

        assert broken_seeds(play, AWAY_UNTIL_S) == []
