"""Tests of the preference for servers in the router's zone."""

import random

import pytest

from boragetrail.direct.model import Configuration, Service
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.fleetsimulation import (
    ROUTE,
    SERVICE,
    FleetSimulation,
    Router,
)
from boragetrail.direct.zones import ZoneAffinity
from boragetrail.events import Event
from boragetrail.settings.direct import ZoneCosts
from standins.clock import ManualClock

COSTS = {"crossing_ms": 10, "ms_per_mb": 2}
# A crossing that takes longer than reading any prompt again.
HIGH_COSTS = {"crossing_ms": 300, "ms_per_mb": 2}
RULES = ["base", "pressure"]
APPLICATION = Service("chat", 360, 0.0, False)
# Servers 0, 3, ... are in the router's zone.
SERVERS = 6
PROMPT = [("system", 2500), ("deck", 3500), ("own", 400)]


def make_affinity(router, service=SERVICE, costs=COSTS, on_crossing=None):
    """Let a router prefer its zone; return its :class:`ZoneAffinity`."""
    router.fleet.directory.configuration = Configuration(
        1, [ROUTE], [service], {}, None, False
    )
    router.selector.zones = ZoneAffinity(
        router.fleet,
        ZoneCosts(costs),
        router.clock,
        random.Random(1),
        on_crossing,
    )
    return router.selector.zones


class TestSwitch:
    """Guard against zones that matter where nothing calls for it."""

    @pytest.mark.parametrize(
        "fields", [{}, {"rules": RULES}, {"zones": COSTS, "rules": ["base"]}]
    )
    async def test_off(self, cluster, fields):
        daemon = await cluster.add_router(**fields)
        assert daemon.selector.zones is None
        assert "zone_shares" not in daemon.dump()
        assert b"zone_crossings" not in daemon.metrics.render(["*/*"])[0]

    async def test_on(self, cluster):
        daemon = await cluster.add_router(rules=RULES, zones=COSTS)
        await cluster.until(lambda: "apps" in daemon.dump()["zone_shares"])
        assert (await cluster.call(daemon, "/status/1"))[0] == 200
        assert b"zone_crossings" in daemon.metrics.render(["*/*"])[0]


class TestSelection:
    """Guard against needless crossings, and against a zone above limits."""

    def setup_method(self):
        """Make a router with three zones of two servers each."""
        self.clock = ManualClock(100.0)
        self.router = Router(0, self.clock, random.Random(1), SERVERS)
        self.causes = []
        self._set_service(APPLICATION)

    def _set_service(self, service):
        self.service = service
        self.affinity = make_affinity(
            self.router,
            service,
            on_crossing=lambda name, cause: self.causes.append(cause),
        )
        self.affinity.update()

    def _state(self, number):
        states = self.router.fleet.listed_servers("chat")
        return next(each for each in states if each.record.id == f"i-{number}")

    def _zone(self, prompt=()):
        request = DirectRequest(None, 100.0)
        request.route, request.service = ROUTE, self.service
        self.progress = RequestProgress(list(prompt), [])
        state = self.router.selector.choose(request, self.progress)
        return state.record.zone

    def _hold(self, number, count):
        for _ in range(count):
            PendingWork(self._state(number), 0)

    def test_free_servers_of_the_zone_come_first(self):
        self._hold(0, 2)
        self._hold(3, 2)
        assert {self._zone() for _ in range(20)} == {"z0"}
        assert self.causes == []

    def test_service_that_is_not_known_yet(self):
        self.affinity.shares_by_service.clear()
        assert self._zone() == "z0"

    def test_full_servers_of_the_zone(self):
        self._hold(0, 12)
        self._hold(3, 12)
        assert self._zone() != "z0"
        assert self.causes == ["limits"]
        assert self.progress.crossing == "limits"

    def test_zone_that_is_evacuated(self):
        self.router.fleet.directory.evacuated_zones.add("z0")
        self.affinity.update()
        assert self._zone() != "z0"
        assert self.causes == ["no-server"]

    def test_servers_of_the_zone_that_fail(self):
        for number in (0, 3):
            self._state(number).record_failure(99.0)
        assert self._zone() != "z0"
        assert self.causes == ["limits"]

    def test_part_that_another_zone_caches(self):
        self._set_service(SERVICE)
        index = self.router.fleet.prefix_index
        for part, _ in PROMPT[:2]:
            index.add_holder(part, "i-1")
        zones = [self._zone(PROMPT) for _ in range(50)]
        assert zones.count("z1") > 35
        assert set(self.causes) == {"cached"}

    def test_prompt_that_takes_longer_to_read_than_a_crossing(self):
        # Each zone would have read the shared parts for itself.
        chosen = set()
        for number in range(3):
            self.router.fleet.zone = f"z{number}"
            self._set_service(SERVICE)
            chosen.add(self._zone(PROMPT))
            self.router.fleet.prefix_index.times_by_part.clear()
        assert len(chosen) == 1

    def test_copy_comes_from_the_zone(self):
        self._set_service(SERVICE)
        self.affinity.set_costs(ZoneCosts(HIGH_COSTS))
        index = self.router.fleet.prefix_index
        for holder in ("i-1", "i-3"):
            for part, _ in PROMPT[:2]:
                index.add_holder(part, holder)
        self._zone(PROMPT)
        request = DirectRequest(None, 100.0)
        request.service = self.service
        record = self._state(0).record
        plan = self.router.selector.plan(request, self.progress, record)
        assert plan.copy_from == "10.1.0.4:80"

    @pytest.mark.parametrize("reason", ["unreachable", "cold", "evacuated"])
    def test_zone_that_gets_no_share(self, reason):
        for number in (2, 5):
            state = self._state(number)
            if reason == "unreachable":
                state.record_unreachable(99.0)
            elif reason == "cold":
                state.record_cold(100.0)
            else:
                zones = self.router.fleet.directory.evacuated_zones
                zones.add("z2")
        self._hold(0, 100)
        self._hold(3, 100)
        for _ in range(40):
            self.clock.now_s += 0.25
            self.affinity.update()
        flow = self.affinity.shares_by_service["chat"].flow
        assert flow.share > 0.1
        assert set(flow.weights_by_zone) == {"z1"}

    def test_costs_are_reloaded(self):
        costs = ZoneCosts({"crossing_ms": 5000, "ms_per_mb": 0})
        self.affinity.set_costs(costs)
        assert self.affinity.far_copy_cost == 0
        share = self.affinity.shares_by_service["chat"]
        assert share.crossing_s == pytest.approx(5.0018)

    # The share moves in small steps, so each step would be a line.
    def test_change_is_logged_rarely(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            "boragetrail.direct.zones.log_event",
            lambda event, **fields: lines.append((event, fields["share"])),
        )
        self._hold(0, 100)
        self._hold(3, 100)
        for _ in range(100):
            self.clock.now_s += 0.25
            self.affinity.update()
        assert 1 <= len(lines) <= 3
        assert {event for event, _ in lines} == {Event.ZONE_SHARE_CHANGED}


class ZonesSimulation(FleetSimulation):
    """Play requests at routers of three zones.

    :param has_affinity: whether routers prefer their zone
    :param busy: multiple of the usual demand in the first zone
    :param costs: settings of the price of a crossing
    """

    def __init__(self, seed, has_affinity, busy=1, costs=COSTS, **options):
        super().__init__(seed, **options)
        self.affinities = []
        for number, router in enumerate(self.routers):
            router.fleet.zone = f"z{number % 3}"
            if has_affinity:
                self.affinities.append(make_affinity(router, costs=costs))
        busy_routers = self.routers[::3] * (busy - 1)
        self.entries = [*self.routers, *busy_routers]
        self.crossed = 0

    def run(self, seconds, load=1.0):
        """Play some seconds."""
        for affinity in self.affinities:
            delay_s = self.rng.uniform(0, ZoneAffinity.INTERVAL_S)
            self._at(delay_s, self._update_zones, affinity)
        super().run(seconds, load)

    def _update_zones(self, affinity):
        affinity.update()
        self._at(ZoneAffinity.INTERVAL_S, self._update_zones, affinity)

    def _send(self, router, kind):
        super()._send(self.rng.choice(self.entries), kind)

    def _try(self, router, request, progress, held_s):
        super()._try(router, request, progress, held_s)
        state = progress.tried_ids and self._tried(router, progress)
        if state:
            self.crossed += state.record.zone != router.fleet.zone

    def _tried(self, router, progress):
        return router.fleet.states_by_id[next(iter(progress.tried_ids))]


class TestFleet:
    """Guard against crossings and crowded engines in a whole fleet."""

    @pytest.mark.parametrize(("busy", "limit"), [(1, 0.3), (3, 0.45)])
    def test_engines(self, busy, limit):
        parts = {}
        for has_affinity in (False, True):
            simulation = ZonesSimulation(
                1,
                has_affinity,
                busy,
                HIGH_COSTS,
                routers=9,
                servers=15,
                loss=0.2,
            )
            simulation.run(12.0, load=2.0)
            over, sent = simulation.over(3.0, 12.0)
            assert over <= 0.03 * sent
            parts[has_affinity] = simulation.crossed / len(simulation.sent)
        assert parts[False] > 0.55
        assert parts[True] < limit
