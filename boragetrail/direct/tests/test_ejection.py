"""Tests of the ejection of failing servers by simulated fleets."""

import collections
import random

from loguru import logger
import pytest

from boragetrail.direct.tests.ejectionfleet import (
    LOOKUP,
    RESERVATION,
    EjectionFleet,
)
from boragetrail.policy.ejection import (
    MAX_CHANCE,
    ServerEvidence,
    failing_servers,
)

WARM_UP_S = 3.0
OUTAGE_S = 6.0
# Requests that must not be repeated which a failing server may cost.
MAX_LOST = 12


@pytest.fixture(autouse=True)
def quiet():
    """Write no events, which would take most of the time of a simulation."""
    logger.disable("boragetrail")
    yield
    logger.enable("boragetrail")


def fleet_with(failure_rate, seed, seconds=OUTAGE_S, **fields):
    """Return a fleet that has played some seconds of failures.

    :param failure_rate: see :class:`EjectionFleet`
    """
    fleet = EjectionFleet(seed, **fields)
    fleet.run(WARM_UP_S)
    fleet.failure_rate = failure_rate
    fleet.run(seconds)
    return fleet


def second_fails(router, server, route):
    """Let the second server fail each request."""
    return float(server == 1)


class TestFailingServer:
    """Guard against a server that fails each request and gets more."""

    @pytest.mark.parametrize("loss", [0.0, 0.2])
    @pytest.mark.parametrize("routers", [4, 24, 330])
    def test_few_requests_are_lost(self, routers, loss):
        fleet = fleet_with(second_fails, 1, routers=routers, loss=loss)
        assert fleet.failures(1, RESERVATION) <= MAX_LOST
        assert fleet.ejected() == [["i-1"]] * routers

    @pytest.mark.parametrize("seed", range(10))
    def test_lost_connections_count(self, seed):
        fleet = EjectionFleet(seed)
        fleet.loses = True
        fleet.failure_rate = second_fails
        fleet.run(OUTAGE_S)
        assert fleet.failures(1, RESERVATION) <= MAX_LOST + 4

    def test_retries_reach_a_good_server(self):
        fleet = fleet_with(second_fails, 2)
        assert fleet.failures(1, LOOKUP) > 5
        assert LOOKUP not in fleet.failed_requests

    def test_trials_are_few_and_may_be_repeated(self):
        fleet = fleet_with(second_fails, 3, seconds=1.5)
        since_s = fleet.clock()
        fleet.run(10.0)
        assert fleet.failures(1, RESERVATION, since_s) == 0
        assert 10 <= fleet.attempts(1, since_s) <= 60

    def test_bytes(self):
        fleet = EjectionFleet(4)
        fleet.failure_rate = lambda router, server, route: 0.3
        fleet.run(20.0)
        bytes_per_s = fleet.sent_bytes / 20.0 / len(fleet.routers)
        assert bytes_per_s <= 2500


class TestReadmission:
    """Guard against servers that stay out after they have recovered."""

    @pytest.mark.parametrize("seed", range(5))
    def test_recovered_server_gets_requests(self, seed):
        fleet = fleet_with(second_fails, seed)
        fleet.fail(None)
        fleet.run(3.0)
        assert fleet.ejected() == [[]] * 24
        since_s = fleet.clock()
        fleet.run(2.0)
        assert fleet.attempts(1, since_s) > 20

    def test_age_ends_an_ejection_without_trials(self):
        fleet = fleet_with(second_fails, 1, seconds=2.0)
        fleet.fail(None)
        fleet.rates = ()
        fleet.queue = [each for each in fleet.queue if RESERVATION in each[3]]
        for router in fleet.routers:
            router.monitor.advance()
        fleet.clock.now_s += 9.0
        for router in fleet.routers:
            router.monitor.advance()
        assert fleet.ejected() == [[]] * 24


class TestGreyServer:
    """Guard against a server that fails a part of its requests unseen."""

    @pytest.mark.parametrize("seed", range(5))
    def test_it_is_ejected(self, seed):
        def failure_rate(router, server, route):
            if server == 1:
                return 0.4
            return 1 / 7 if route is LOOKUP else 0.0

        fleet = fleet_with(failure_rate, seed)
        assert fleet.ever_ejected() >= 20


class TestNoEjection:
    """Guard against ejections of servers that are not at fault."""

    @pytest.mark.parametrize("share, seeds", [(0.45, 70), (1.0, 30)])
    def test_all_servers_fail_alike(self, share, seeds):
        for seed in range(seeds):
            fleet = fleet_with(
                lambda router, server, route: share, seed, routers=4
            )
            assert fleet.ever_ejected() == 0

    def test_one_kind_fails_at_all_servers(self):
        for seed in range(60):
            fleet = fleet_with(
                lambda router, server, route: (route is LOOKUP) / 7,
                seed,
                routers=4,
            )
            assert fleet.ever_ejected() == 0

    def test_rare_failures_of_many_engines(self):
        """Eight failures in 5 s, at any of 23 engines, eject few of them."""
        rng = random.Random(1)
        ejected = 0
        for _ in range(12000):
            counts = collections.Counter(rng.choices(range(23), k=8))
            evidences = [
                ServerEvidence(str(key), 40, (counts[key], 0), counts[key])
                for key in range(23)
            ]
            ejected += bool(failing_servers(evidences))
        assert ejected <= 12000 * MAX_CHANCE

    def test_bad_link_of_one_router(self):
        for seed in range(40):
            fleet = EjectionFleet(seed, routers=2)
            fleet.loses = True
            bad = fleet.routers[0]
            fleet.failure_rate = lambda router, server, route, bad=bad: (
                0.5 * (router is bad and server == 1) + 0.002
            )
            fleet.run(OUTAGE_S)
            assert fleet.ever_ejected() == 0

    def test_last_server_stays(self):
        fleet = fleet_with(lambda router, server, route: 1.0, 1, servers=1)
        assert fleet.ever_ejected() == 0

    def test_remaining_servers_lack_slots(self):
        fleet = EjectionFleet(1, slots=1)
        fleet.run(3 * WARM_UP_S)
        fleet.failure_rate = second_fails
        fleet.run(OUTAGE_S)
        assert fleet.ever_ejected() == 0

    def test_two_of_three_at_low_load(self):
        fleet = fleet_with(
            lambda router, server, route: float(server < 2), 1, slots=20
        )
        assert fleet.ejected() == [["i-0", "i-1"]] * 24
