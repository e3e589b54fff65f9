"""Tests of how many requests a server holds beside the others (LIMIT)."""

import pytest

from boragetrail.direct.tests.fleetsimulation import FleetSimulation

# The page's bound is broken by so many requests of five seconds that are sent
# to servers over it, and by so large a part of them.
WINDOW_S = 5.0
MIN_REQUESTS = 20
MIN_SHARE = 0.03
LIMITED_S = 8.0
# Time after the end of limits from which the bound holds again.
SETTLE_S = 1.0


def is_broken(simulation, since_s):
    """Return whether the bound is broken in the window from a second on."""
    over, sent = simulation.over(since_s, since_s + WINDOW_S)
    return over >= MIN_REQUESTS and over > MIN_SHARE * sent


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
