"""Tests of the admission by priority, at simulated routers and servers."""

import pytest

from boragetrail.direct.tests.overloadsimulation import (
    Kind,
    OverloadSimulation,
)
from boragetrail.policy.prioritygate import FLOOR_PART

ROUTERS = [1, 4, 24]
# The smallest and the largest fleet, for the longer tests.
EXTREMES = [1, 24]
CUSTOMERS = {f"customer-{number}": 0.05 for number in range(20)}
LARGE_CUSTOMER = "customer-0"
GOAL_S = 0.3
# Time until a surge has reached all windows, and time that is measured.
SETTLE_S = 2.5
MEASURED_S = 6.0


def kinds(work_s=0.2):
    """Return kinds that need two thirds of 18 slots at 0.2 s of work."""
    return [
        Kind("guide", 0, 15, work_s),
        Kind("ticket", 1, 18, work_s),
        Kind("look", 2, 20, work_s),
    ]


def make_simulation(routers, played=None, seed=1, **options):
    """Return a simulation after some seconds of the usual load."""
    fields = {"servers": 3, "slots": 6, **options}
    made = OverloadSimulation(
        seed, played or kinds(), CUSTOMERS, routers=routers, **fields
    )
    made.play(5.0)
    return made


def surge(simulation, seconds=MEASURED_S):
    """Play on with changed rates; returns the second it is measured from."""
    since_s = simulation.clock() - 100.0 + SETTLE_S
    simulation.play(SETTLE_S + seconds)
    return since_s


class TestSurgeOfOneKind:
    """Guard against urgent kinds that pay for a less urgent one."""

    @pytest.mark.parametrize("routers", ROUTERS)
    @pytest.mark.parametrize("surging", [0, 2])
    def test_three_times_the_usual(self, routers, surging):
        simulation = make_simulation(routers)
        simulation.kinds[surging].factor = 3.0
        since_s = surge(simulation)
        served = [
            simulation.served(since_s, priority=priority)[0]
            for priority in range(3)
        ]
        all_served, _ = simulation.served(since_s)
        assert served[0] >= 0.8
        assert served[0] >= served[1] - 0.05
        assert served[1] >= served[2] - 0.05
        assert min(served) >= all_served / 4
        assert (
            max(call.waited_s for call in simulation.calls)
            <= 0.3 * GOAL_S + 1e-6
        )

    # Loads are older, and routers disagree more about the share.
    def test_lost_datagrams(self):
        simulation = make_simulation(24, loss=0.2)
        simulation.kinds[2].factor = 3.0
        since_s = surge(simulation)
        served = [
            simulation.served(since_s, priority=priority)[0]
            for priority in range(3)
        ]
        assert served[0] >= 0.8
        assert served[0] >= served[1] - 0.05
        assert served[1] >= served[2] - 0.05

    # Without the gate, no request is served within the time that it is good
    # for: each waits behind 24 others.
    @pytest.mark.parametrize("routers", EXTREMES)
    def test_urgent_requests_are_served_soon(self, routers):
        simulation = make_simulation(routers)
        simulation.kinds[2].factor = 8.0
        since_s = surge(simulation)
        urgent = [
            call.end_s - call.at_s
            for call in simulation.calls
            if call.at_s >= 100.0 + since_s
            and call.served
            and call.tries == 1
            and not call.is_large
            and call.kind.priority == 0
        ]
        assert sorted(urgent)[int(0.9 * len(urgent))] < 0.6

    # Less urgent kinds and large requests would starve.
    @pytest.mark.parametrize("routers", EXTREMES)
    def test_the_least_urgent_keep_their_floor(self, routers):
        simulation = make_simulation(routers)
        for kind in simulation.kinds[:2]:
            kind.factor = 4.0
        since_s = surge(simulation)
        all_served, _ = simulation.served(since_s)
        least, _ = simulation.served(since_s, priority=2)
        assert least >= 0.25 * all_served

    @pytest.mark.parametrize("routers", EXTREMES)
    def test_large_requests_are_served_half_as_often(self, routers):
        simulation = make_simulation(routers)
        simulation.kinds[1].factor = 5.0
        since_s = surge(simulation, 2 * MEASURED_S)
        served, _ = simulation.served(since_s, priority=1)
        large, count = simulation.served(since_s, priority=1, is_large=True)
        assert count > 50
        assert large >= 0.5 * served


class TestSurgeOfOneCustomer:
    """Guard against customers that pay for the surge of another one."""

    @pytest.mark.parametrize("routers", ROUTERS)
    def test_six_times_the_usual(self, routers):
        simulation = make_simulation(routers)
        simulation.customers[LARGE_CUSTOMER] = 0.9
        simulation.kinds[0].factor = 1.5
        since_s = surge(simulation, 2 * MEASURED_S)
        all_served, _ = simulation.served(since_s)
        parts = {
            name: simulation.served(since_s, customer=name)[0]
            for name in CUSTOMERS
        }
        large = parts.pop(LARGE_CUSTOMER)
        assert min(parts.values()) >= all_served / 4
        assert large >= all_served / 4
        assert sum(parts.values()) / len(parts) >= large + 0.05

    # His own urgent requests come before his own others.
    @pytest.mark.parametrize("routers", EXTREMES)
    def test_order_of_his_own_requests(self, routers):
        simulation = make_simulation(routers)
        simulation.customers[LARGE_CUSTOMER] = 0.9
        since_s = surge(simulation, 2 * MEASURED_S)
        served = [
            simulation.served(
                since_s, customer=LARGE_CUSTOMER, priority=priority
            )[0]
            for priority in range(3)
        ]
        assert served[0] > served[2]


class TestCalmSeconds:
    """Guard against a gate that acts while there is room."""

    @pytest.mark.parametrize("routers", ROUTERS)
    def test_nothing_waits_or_is_refused(self, routers):
        simulation = make_simulation(routers, kinds(0.06))
        for kind in simulation.kinds:
            kind.factor = 2.0
        simulation.play(MEASURED_S)
        calls = simulation.calls
        assert not any(call.waited_s or call.tries > 1 for call in calls)

    # Bursts of three times the usual rate leave slots free.
    @pytest.mark.parametrize("routers", EXTREMES)
    def test_bursts_with_free_slots(self, routers):
        simulation = make_simulation(routers, kinds(0.06))
        for _ in range(6):
            for factor in (3.0, 1.0):
                for kind in simulation.kinds:
                    kind.factor = factor
                simulation.play(0.7)
        held = [c for c in simulation.calls if c.waited_s or c.tries > 1]
        assert not any(call.free_slots > 2 for call in held)

    # A share that has fallen in a surge must not refuse anything after it.
    @pytest.mark.parametrize("routers", ROUTERS)
    def test_after_a_surge(self, routers):
        simulation = make_simulation(routers)
        simulation.kinds[2].factor = 6.0
        simulation.play(3.0)
        for kind in simulation.kinds:
            kind.factor = 0.6
        simulation.play(3.0)
        since_s = simulation.clock()
        simulation.play(4.0)
        late = [c for c in simulation.calls if c.at_s >= since_s]
        assert not any(c.tries > 1 for c in late if c.free_slots > 5)


class TestRetryAfter:
    """Guard against callers that are told to return too soon or too late."""

    @pytest.mark.parametrize("routers", EXTREMES)
    def test_callers_of_a_short_surge_are_served_when_they_return(
        self, routers
    ):
        simulation = make_simulation(routers)
        simulation.kinds[2].factor = 12.0
        simulation.play(0.6)
        # The requests of the surge that were admitted end in this time.
        until_s = simulation.clock() + 0.6
        simulation.kinds[2].factor = 0.4
        simulation.play(10.0)
        retried = [call for call in simulation.calls if call.tries > 1]
        assert max(call.retry_after_s for call in retried) <= 5.15
        late = [call for call in retried if call.returned_s > until_s]
        assert len(late) > 20
        served = [call for call in late if call.served]
        assert len(served) >= 0.6 * len(late)

    @pytest.mark.parametrize("routers", EXTREMES)
    def test_urgent_callers_return_first(self, routers):
        simulation = make_simulation(routers)
        for kind in simulation.kinds:
            kind.factor = 5.0
        simulation.play(4.0)
        means = []
        for priority in range(3):
            waits_s = [
                call.retry_after_s
                for call in simulation.calls
                if call.retry_after_s and call.kind.priority == priority
            ]
            means.append(sum(waits_s) / len(waits_s))
        assert means == sorted(means)


def test_floor_leaves_room_for_errors():
    """Guard against a floor below the quarter that each kind must get."""
    assert FLOOR_PART > 0.25
