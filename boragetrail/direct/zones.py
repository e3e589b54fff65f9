"""Preference for servers in the router's zone, as far as it pays."""

import dataclasses

from boragetrail.events import Event, log_event
from boragetrail.policy.prefix import PrefixPlacement
from boragetrail.policy.suspicion import Standing
from boragetrail.policy.zones import (
    EngineZoneTime,
    QueueZoneTime,
    ZoneLoad,
    ZoneShare,
    crossing_time_s,
)

__all__ = ["Detours", "ZoneAffinity"]

# Bytes of a request and its response.
TYPICAL_BYTES = 8000
# Size of the KV cache of a token (docs/CAPACITY.md).
COPIED_BYTES_PER_TOKEN = 20000
# Slots of an application server whose entry names none.
UNKNOWN_SLOTS = 6
# Change of a share that is logged, and the least time between two lines.
LOGGED_CHANGE = 0.1
MIN_LOG_INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class Detours:
    """Hold which zone a request should be served in.

    :param home: zone of the router
    :param zone: zone that the request should be served in
    :param tokens: cost of another zone, in prefill tokens
    """

    home: str
    zone: str
    tokens: float

    def rank(self, zone):
        """Return the rank of a zone, 0 for the first.

        >>> [Detours("a", "b", 0.0).rank(zone) for zone in "abc"]
        [1, 0, 2]
        """
        if zone == self.zone:
            return 0
        return 1 if self.home in (zone, self.zone) else 2


class ZoneAffinity:
    """Decide in which zone the requests of one router are served.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param costs: :class:`~boragetrail.settings.direct.ZoneCosts`
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :param on_crossing: function that is called with the service and the cause
        of each attempt that leaves the zone
    :ivar shares_by_service: :class:`~boragetrail.policy.zones.ZoneShare` by
        name of the service
    """

    # Loads are 0.1 to 0.4 s old, so more frequent updates see the same ones.
    INTERVAL_S = 0.25

    def __init__(self, fleet, costs, clock, random, on_crossing=None):
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.on_crossing = on_crossing
        self.shares_by_service = {}
        self.logged_by_service = {}
        self.set_costs(costs)

    def set_costs(self, costs):
        """Replace the price of traffic between zones.

        :param costs: :class:`~boragetrail.settings.direct.ZoneCosts`
        """
        self.crossing_s = crossing_time_s(costs, TYPICAL_BYTES)
        tokens_per_s = EngineZoneTime.TOKENS_PER_S
        copied_mb = COPIED_BYTES_PER_TOKEN / 1e6
        self.far_copy_cost = copied_mb * costs.s_per_mb * tokens_per_s
        for share in self.shares_by_service.values():
            share.crossing_s = self.crossing_s

    def update(self):
        """Move the share of each service towards that of the known loads."""
        configuration = self.fleet.directory.configuration
        if configuration is None:
            return
        services = configuration.services_by_name
        for name in self.shares_by_service.keys() - services.keys():
            del self.shares_by_service[name]
            self.logged_by_service.pop(name, None)
        for name, service in services.items():
            share = self.shares_by_service.get(name)
            if share is None:
                time = (
                    EngineZoneTime() if service.is_model else QueueZoneTime()
                )
                share = ZoneShare(self.fleet.zone, time, self.crossing_s)
                self.shares_by_service[name] = share
            loads = self._loads(service)
            share.update(loads, self.clock())
            self._log_change(name, share.flow, loads)

    def detours(self, service):
        """Draw the zone that the next request should be served in.

        :param service: :class:`~boragetrail.direct.model.Service`
        :returns: :class:`Detours`
        """
        share = self.shares_by_service.get(service.name)
        home = self.fleet.zone
        zone = home if share is None else share.draw(self.random)
        tokens = self.crossing_s * EngineZoneTime.TOKENS_PER_S
        return Detours(home, zone, tokens)

    def applies_to(self, prompt):
        """Return whether the zone matters for the choice of an engine.

        Each zone would read the shared parts of a prompt for itself. That
        must not take longer than a crossing.

        :param prompt: parts of the prompt as (id, tokens); empty if none
        """
        shared = sum(tokens for _, tokens in prompt[:-1])
        return shared <= self.crossing_s * EngineZoneTime.TOKENS_PER_S

    def far_ids(self, service, zone):
        """Return the ids of a service's servers in other zones than one.

        :param service: name of the service
        :param zone: name of the zone
        """
        return {
            known.record.id
            for known in self.fleet.directory.servers_of(service)
            if known.record.zone != zone
        }

    def crossing_cause(self, progress, chosen, usable, cached):
        """Return why an attempt leaves the zone; empty if it stays.

        :param progress:
            :class:`~boragetrail.direct.progress.RequestProgress`
        :param chosen: :class:`~boragetrail.direct.serverstate.ServerState`
        :param usable: list of the states among which it was selected
        :param cached: cached tokens of the prompt by server id
        """
        home = self.fleet.zone
        if chosen.record.zone == home:
            return ""
        near = [each for each in usable if each.record.zone == home]
        if not near:
            return "no-server"
        if progress.detours.zone == chosen.record.zone:
            return "share"
        near_cached = max(cached.get(each.record.id, 0) for each in near)
        if cached.get(chosen.record.id, 0) > near_cached:
            return "cached"
        return "limits"

    def record_crossing(self, service, cause):
        """Count an attempt that leaves the zone.

        :param service: name of the service
        :param cause: text of :meth:`crossing_cause`
        """
        if cause and self.on_crossing is not None:
            self.on_crossing(service, cause)

    def _loads(self, service):
        """Return a :class:`ZoneLoad` by the name of the zone.

        Servers that should get no new request count neither as load nor as
        capacity.
        """
        loads_by_zone = {}
        for state in self.fleet.ready_servers(service.name):
            zone = loads_by_zone.setdefault(
                state.record.zone, ZoneLoad(0.0, 0.0)
            )
            load = self._server_load(service, state)
            zone.load += load.load
            zone.capacity += load.capacity
            zone.requests += load.requests
        return loads_by_zone

    def _server_load(self, service, state):
        limiter = self.fleet.knowledge.limiter
        if (
            not state.accepts_requests()
            or self.fleet.is_cold(state)
            or limiter.is_limited(state.record)
        ):
            return ZoneLoad(0.0, 0.0)
        if service.is_model:
            view = self.fleet.engine_view(state)
            cost = PrefixPlacement.COST_TOKENS_PER_RUNNING_REQUEST
            load = view.pending_tokens + cost * view.running
            load = ZoneLoad(load, 1.0, view.running)
        else:
            view = self.fleet.server_view(state)
            slots = state.record.slots or UNKNOWN_SLOTS
            load = ZoneLoad(view.load, slots)
        if view.standing is not Standing.TRUSTED:
            return ZoneLoad(0.0, 0.0)
        load.capacity /= view.slowness
        return load

    def _log_change(self, service, flow, loads):
        share, logged_s = self.logged_by_service.get(
            service, (0.0, float("-inf"))
        )
        now_s = self.clock()
        if (
            abs(flow.share - share) < LOGGED_CHANGE
            or now_s < logged_s + MIN_LOG_INTERVAL_S
        ):
            return
        self.logged_by_service[service] = (flow.share, now_s)
        log_event(
            Event.ZONE_SHARE_CHANGED,
            service=service,
            share=round(flow.share, 2),
            to={
                zone: round(weight, 2)
                for zone, weight in flow.weights_by_zone.items()
            },
            loads={zone: round(each.load, 1) for zone, each in loads.items()},
            capacities={
                zone: round(each.capacity, 1) for zone, each in loads.items()
            },
        )
