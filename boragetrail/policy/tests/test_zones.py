"""Tests of the share of requests that leaves a zone."""

import random

import pytest

from boragetrail.policy.leastloaded import LeastLoadedOrder, ServerView
from boragetrail.policy.prefix import (
    EngineView,
    PrefixCacheIndex,
    PrefixPlacement,
)
from boragetrail.policy.suspicion import Standing
from boragetrail.policy.tests.zonesimulation import ZoneSimulation
from boragetrail.policy.zones import (
    EngineZoneTime,
    QueueZoneTime,
    ZoneLoad,
    ZoneShare,
    outflow,
)
from standins.clock import ManualClock

NETWORK_S = 0.0018
TIMES = (QueueZoneTime(), EngineZoneTime())
LONG_S = 40.0
LAST_S = 15.0
# Largest difference between two shares of one zone in the last seconds, by
# number of routers. The random arrival of requests alone moves the share.
MAX_SWINGS = {4: 0.2, 24: 0.16, 330: 0.12}


def flow(home, loads, crossing_s=0.01, time=TIMES[0], capacity=6):
    """Return the outflow of a zone; loads are by the name of the zone."""
    made = {zone: ZoneLoad(load, capacity) for zone, load in loads.items()}
    return outflow(home, made, time, crossing_s)


class TestOutflow:
    """Guard against requests that leave where another zone is no faster."""

    # Zones above the mean exchanged work if each looked at the others alone.
    @pytest.mark.parametrize("home", ["a", "b"])
    def test_zones_above_the_mean_exchange_nothing(self, home):
        made = flow(home, {"a": 9, "b": 7, "c": 1}, crossing_s=0.0)
        assert made.share > 0.15
        assert made.weights_by_zone == {"c": 1.0}

    def test_zone_that_gets_load_gives_none(self):
        loads = {"a": 9, "b": 7, "c": 1}
        assert flow("c", loads, crossing_s=0.0).share == 0.0

    @pytest.mark.parametrize("time", TIMES)
    def test_equal_zones(self, time):
        loads = dict.fromkeys("abc", 7)
        assert flow("a", loads, crossing_s=0.0, time=time).share == 0.0

    # The inverse of the wait divided by 0 at the largest number of slots that
    # a row of the store may name.
    @pytest.mark.parametrize("capacity", [1e8, 1e16, 2.0**63])
    def test_zone_of_very_many_slots(self, capacity):
        made = {"a": ZoneLoad(9, 6), "b": ZoneLoad(1, capacity)}
        assert outflow("a", made, TIMES[0], 0.01).weights_by_zone == {"b": 1.0}
        assert outflow("b", made, TIMES[0], 0.01).share == 0.0

    def test_no_request_leaves_free_slots(self):
        loads = {"a": 3, "b": 0, "c": 0}
        assert flow("a", loads, crossing_s=NETWORK_S).share == 0.0

    def test_price(self):
        shares = [
            flow("a", {"a": 12, "b": 2, "c": 2}, price).share
            for price in (0.0, 0.05, 0.2, 10.0)
        ]
        assert shares == sorted(shares, reverse=True)
        assert shares[0] > 0.5 and shares[-1] == 0.0

    # The level was that of zones that exchange load without a price.
    @pytest.mark.parametrize("time", TIMES)
    def test_waits_differ_by_the_price(self, time):
        loads = {"a": ZoneLoad(9e4, 6), "b": ZoneLoad(8e4, 6)}
        loads["c"] = ZoneLoad(1e3, 6)
        price_s = time.time_s(1e4, 6)
        flows = {zone: outflow(zone, loads, time, price_s) for zone in loads}
        moved = sum(flows[zone].share * loads[zone].load for zone in loads)
        loads["c"].load += moved
        low_s = time.time_s(loads["c"].load, 6)
        for zone in "ab":
            kept = (1 - flows[zone].share) * loads[zone].load
            assert time.time_s(kept, 6) - low_s == pytest.approx(
                price_s, rel=0.01
            )

    @pytest.mark.parametrize("time", TIMES)
    def test_times_are_inverted(self, time):
        for wait_s in (0.001, 0.02, 0.5):
            load = time.load_at(wait_s, 6)
            assert time.time_s(load, 6) == pytest.approx(wait_s)

    def test_zones_without_capacity(self):
        loads = {"a": ZoneLoad(12, 6), "b": ZoneLoad(0, 0)}
        assert outflow("a", loads, TIMES[0], 0.0).share == 0.0
        assert outflow("b", loads, TIMES[0], 0.0).share == 0.0
        assert outflow("z", loads, TIMES[0], 0.0).share == 0.0


class TestLimitOfRequests:
    """Guard against a zone whose engines exceed the limits on their load."""

    def _flow(self, requests, crossing_s):
        loads = {
            zone: ZoneLoad(60.0 * count, 15, count)
            for zone, count in zip("abc", requests)
        }
        return outflow("a", loads, EngineZoneTime(), crossing_s)

    # 3.4% of the requests came to engines above twice the mean + 3.
    def test_limit_outranks_the_price(self):
        made = self._flow((180, 60, 30), 10.0)
        assert made.share == pytest.approx(1 - (1.35 * 90 + 7.5) / 180)
        assert made.weights_by_zone == {"b": 1 / 3, "c": 2 / 3}

    def test_few_requests(self):
        assert self._flow((9, 3, 3), 10.0).share == 0.0

    def test_no_other_zone(self):
        loads = {"a": ZoneLoad(60.0, 15, 100), "b": ZoneLoad(60.0, 0)}
        assert outflow("a", loads, EngineZoneTime(), 0.0).share == 0.0


class TestShareOverTime:
    """Guard against a share that swings between routers with old news."""

    def _check(self, simulation, zones="abc", last_s=LAST_S):
        limit = MAX_SWINGS[len(simulation.routers)]
        for zone in zones:
            low, high = simulation.swing(zone, last_s)
            assert high - low <= limit, zone

    @pytest.mark.parametrize("loss", [0.0, 0.2])
    @pytest.mark.parametrize("routers", [4, 24])
    @pytest.mark.parametrize("demand", [(9, 2, 2), (6, 6, 1.5), (4.3, 1, 1)])
    def test_uneven_demand(self, routers, loss, demand):
        simulation = ZoneSimulation(routers, loss, demand, NETWORK_S)
        simulation.run(LONG_S)
        self._check(simulation)
        assert simulation.swing("a", LAST_S)[0] > 0.02
        assert simulation.swing("c", LAST_S)[1] < 0.1

    @pytest.mark.parametrize("loss", [0.0, 0.2])
    def test_very_many_routers(self, loss):
        simulation = ZoneSimulation(330, loss, (9, 2, 2), NETWORK_S)
        simulation.run(15.0)
        self._check(simulation, last_s=7.0)
        assert simulation.mean_load("a", 7.0) < 6

    @pytest.mark.parametrize("routers", [4, 24])
    def test_even_demand(self, routers):
        demand = (2.5, 2.5, 2.5) if routers == 24 else (1.7, 2.5, 2.5)
        simulation = ZoneSimulation(routers, 0.2, demand, NETWORK_S)
        simulation.run(LONG_S)
        assert simulation.crossed < 0.03 * simulation.sent

    def test_very_high_price(self):
        simulation = ZoneSimulation(24, 0.2, (9, 2, 2), 10.0)
        simulation.run(LONG_S)
        assert simulation.crossed == 0

    # The share started from the load that its own decision had left.
    def test_share_returns_to_zero(self):
        simulation = ZoneSimulation(24, 0.2, (9, 2, 2), NETWORK_S)
        simulation.run(LONG_S)
        simulation.demand["a"] = 2
        simulation.run(12.0)
        assert simulation.swing("a", 2.0)[1] < 0.05

    def test_surge_is_met_within_seconds(self):
        simulation = ZoneSimulation(24, 0.2, (2, 2, 2), NETWORK_S)
        simulation.run(10.0)
        simulation.demand["a"] = 9
        simulation.run(8.0)
        assert simulation.swing("a", 1.0)[0] > 0.35

    def test_zone_that_cannot_be_reached(self):
        simulation = ZoneSimulation(24, 0.2, (9, 2, 2), NETWORK_S)
        simulation.run(10.0)
        simulation.capacities["a", "c"] = 0
        simulation.run(LONG_S)
        for router in simulation.routers:
            if router.home == "a":
                assert set(router.flow.weights_by_zone) <= {"b"}
        self._check(simulation)

    def test_evacuated_zone(self):
        simulation = ZoneSimulation(24, 0.2, (3, 3, 3), NETWORK_S)
        simulation.run(10.0)
        for zone in "abc":
            simulation.capacities[zone, "c"] = 0
        simulation.run(LONG_S)
        self._check(simulation)
        for router in simulation.routers:
            assert "c" not in router.flow.weights_by_zone
            assert router.home != "c" or router.flow.share == 0.0

    def test_zone_out_gets_nothing_from_then_on(self):
        share = ZoneShare("a", TIMES[0], 0.0)
        loads = {"a": ZoneLoad(12, 6), "b": ZoneLoad(1, 6)}
        for second in range(10):
            share.update(loads, float(second))
        assert share.draw(random.Random(4)) in "ab"
        assert share.flow.share > 0.3
        share.update({"a": loads["a"]}, 10.0)
        assert share.flow.share == 0.0
        # The mean shares of zones that had left were kept forever.
        for second in range(11, 60):
            share.update({"a": loads["a"]}, float(second))
        assert set(share.sent_by_zone) == {"a"}


class TestServerOrder:
    """Guard against a zone that outranks limits and failures."""

    def _first(self, **fields):
        """Return the first of a near and two far servers.

        :param fields: fields of the near server
        """
        near = {"load": 2, "in_zone": True, "standing": Standing.TRUSTED}
        views = [
            ServerView("near", **{**near, **fields}),
            ServerView("far-1", 1, False, Standing.TRUSTED, detour=1),
            ServerView("far-2", 0, False, Standing.TRUSTED, detour=1),
        ]
        return LeastLoadedOrder(random.Random(1)).order(views)[0].id

    def test_near_server_comes_first(self):
        assert self._first() == "near"

    @pytest.mark.parametrize(
        "fields",
        [
            {"load": 9},
            {"standing": Standing.ON_TRIAL},
            {"standing": Standing.AVOIDED},
            {"failure_rate": 0.6},
        ],
    )
    def test_limits_come_first(self, fields):
        assert self._first(**fields) == "far-2"


class TestEngineOrder:
    """Guard against parts that are read or sent to other zones needlessly."""

    PROMPT = [("system", 2500), ("deck", 3500), ("own", 400)]

    def setup_method(self):
        """Make a placement with a part that is cached in another zone."""
        self.index = PrefixCacheIndex(ManualClock())
        self.placement = PrefixPlacement(self.index, random.Random(1))

    def _engines(self, detour_tokens=400.0, **fields):
        return [
            EngineView(
                f"e{number}",
                **{"running": 0, "pending_tokens": 0, "standing": 0, **fields},
                detour_tokens=detour_tokens if number >= 5 else 0.0,
            )
            for number in range(15)
        ]

    def _firsts(self, engines, count=300):
        return [
            self.placement.order(self.PROMPT, engines)[0].id
            for _ in range(count)
        ]

    def test_part_without_holder_stays_in_the_zone(self):
        firsts = set(self._firsts(self._engines()))
        assert len(firsts) == 1
        assert int(firsts.pop()[1:]) < 5

    # Each request went to the only holder, or each zone read all parts.
    def test_few_requests_read_what_another_zone_caches(self):
        self.placement.record_placement(self.PROMPT[:2], "e9")
        firsts = self._firsts(self._engines())
        stay = sum(each != "e9" for each in firsts) / len(firsts)
        assert 0.02 < stay < 0.15

    def test_expensive_detour(self):
        self.placement.record_placement(self.PROMPT[:2], "e9")
        assert "e9" not in self._firsts(self._engines(9000.0))

    # The holder has less work than reading takes, but not with the detour.
    @pytest.mark.parametrize("pending_tokens", [5800, 9000])
    def test_busy_holder_elsewhere(self, pending_tokens):
        self.placement.record_placement(self.PROMPT[:2], "e9")
        engines = self._engines()
        engines[9].pending_tokens = pending_tokens
        assert "e9" not in self._firsts(engines)

    def test_near_holder_comes_first(self):
        self.placement.record_placement(self.PROMPT[:2], "e9")
        self.placement.record_placement(self.PROMPT[:2], "e2")
        assert set(self._firsts(self._engines())) == {"e2"}

    def test_avoided_zone(self):
        engines = self._engines()
        for engine in engines[:5]:
            engine.standing = Standing.AVOIDED
        assert not set(self._firsts(engines)) & {f"e{n}" for n in range(5)}


class TestCopySources:
    """Guard against copies between zones that cost more than they save."""

    PROMPT = TestEngineOrder.PROMPT

    def _source(self, holders, far_cost=0.0):
        index = PrefixCacheIndex(ManualClock())
        placement = PrefixPlacement(index, random.Random(1))
        for part, engine in holders:
            index.add_holder(part, engine)
        return placement.copy_source(
            self.PROMPT, "e0", {"near", "far"}, {"far"}, far_cost
        )

    BOTH = [
        ("system", "far"),
        ("deck", "far"),
        ("system", "near"),
        ("deck", "near"),
    ]

    def test_near_source_comes_first(self):
        assert self._source(self.BOTH) == "near"

    def test_far_source_that_pays(self):
        assert self._source(self.BOTH[:2]) == "far"

    def test_far_source_that_is_too_expensive(self):
        assert self._source(self.BOTH[:2], far_cost=1.6) is None

    # A negative saving at a negative value of a token looked like a gain.
    def test_far_source_with_less_than_the_engine(self):
        holders = [*self.BOTH[:1], ("system", "e0"), ("deck", "e0")]
        assert self._source(holders, far_cost=1.6) is None

    def test_far_copy_takes_longer(self):
        index = PrefixCacheIndex(ManualClock())
        placement = PrefixPlacement(index, random.Random(1))
        index.add_holder("system", "far")
        near, far = (
            placement.prefill_tokens(self.PROMPT, "e0", "far", is_far)
            for is_far in (False, True)
        )
        assert far - near == 1.2 * 2500
