"""Selection of the server to try next for a request."""

import dataclasses

from boragetrail.direct.headers import parse_prompt_parts
from boragetrail.direct.progress import ServiceSurvey
from boragetrail.policy.cap import load_bound, max_load
from boragetrail.policy.leastloaded import LeastLoadedOrder
from boragetrail.policy.prefix import PrefixPlacement, mean_running
from boragetrail.policy.suspicion import Standing
from boragetrail.utils import join_address

__all__ = ["PrefillPlan", "ServerSelector"]

# Load of a full engine per slot. Some requests wait, so that no slot is idle
# while a request is on its way.
FULL_LOAD_PER_SLOT = 1.25
# Time after which a full engine is likely to have room.
FULL_WAIT_S = 0.3


@dataclasses.dataclass(slots=True)
class PrefillPlan:
    """Hold how a server gets and processes the parts of a prompt.

    :param copy_from: address of the server from which cached parts of the
        prompt are copied, or empty
    :param prefill_tokens: work of the server before the first token, in
        prompt tokens to process; a copied token counts as a fraction
    """

    copy_from: str = ""
    prefill_tokens: int = 0


class ServerSelector:
    """Select servers by load, prompt cache and warm-up.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param bounds: :class:`~boragetrail.settings.direct.Bounds`
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar filters: list of
        :class:`~boragetrail.direct.serverfilter.ServerFilter`, applied to the
        usable servers in this order
    :ivar zones: :class:`~boragetrail.direct.zones.ZoneAffinity`, or ``None``
        if zones do not matter
    """

    def __init__(self, fleet, names, bounds, clock, random):
        self.fleet = fleet
        self.names = names
        self.bounds = bounds
        self.clock = clock
        self.prefix_placement = PrefixPlacement(fleet.prefix_index, random)
        self.least_loaded = LeastLoadedOrder(random)
        self.filters = []
        self.zones = None

    def choose(self, request, progress):
        """Return the state of the server to try next, or ``None``.

        The request is counted against the limit that the server names.
        """
        limiter = self.fleet.knowledge.limiter
        ready = self.fleet.ready_servers(request.service.name)
        waits_s_by_id = {
            state.record.id: self.fleet.server_wait_s(state)
            for state in ready
            if not state.is_leaving()
        }
        # A failure has to name the same reason as this look at the servers.
        progress.wait_s = min(waits_s_by_id.values(), default=0.0)
        usable = [
            state
            for state in ready
            if waits_s_by_id.get(state.record.id) == 0.0
            and state.record.id not in progress.tried_ids
            and progress.version in (None, state.record.version)
        ]
        views_by_id = {
            state.record.id: self.fleet.engine_view(state)
            for state in self.fleet.listed_servers(request.service.name)
        }
        progress.survey = self._survey(ready, usable, views_by_id)
        progress.room_wait_s = 0.0
        progress.refusal = None
        for each in self.filters:
            if usable:
                usable = each.select(request, progress, usable, views_by_id)
                if not usable:
                    return None
        if self.zones is not None:
            self._set_detours(request, progress, usable, views_by_id)
        chosen = self._choose(request, progress, usable, views_by_id)
        if chosen is not None:
            self._record_crossing(request, progress, chosen, usable)
            progress.counted_s = limiter.try_acquire(chosen.record)
        return chosen

    def _set_detours(self, request, progress, usable, views_by_id):
        """Draw the zone for a request, and set which zones are detours."""
        progress.detours = self.zones.detours(request.service)
        if not self.zones.applies_to(progress.prompt):
            return
        for each in usable:
            if progress.detours.rank(each.record.zone):
                view = views_by_id[each.record.id]
                view.detour_tokens = progress.detours.tokens

    def _record_crossing(self, request, progress, chosen, usable):
        progress.crossing = ""
        if self.zones is None or chosen.record.zone == self.fleet.zone:
            return
        cached = self.prefix_placement.cached_tokens_by_engine(progress.prompt)
        progress.crossing = self.zones.crossing_cause(
            progress, chosen, usable, cached
        )
        self.zones.record_crossing(request.service.name, progress.crossing)

    def _survey(self, ready, usable, views_by_id):
        """Return the :class:`ServiceSurvey` of the listed servers."""
        views = views_by_id.values()
        return ServiceSurvey(
            mean=sum(view.running for view in views) / max(1, len(views)),
            left_out=len(views) - len(usable),
            doubted=sum(view.standing > Standing.TRUSTED for view in views),
            limited=sum(view.is_limited for view in views),
            cold=sum(self.fleet.is_cold(state) for state in ready),
        )

    def _choose(self, request, progress, usable, views_by_id):
        has_cold_limit = request.service.cold_rate_per_s > 0
        cold = [
            state
            for state in usable
            if has_cold_limit and self.fleet.is_cold(state)
        ]
        warm = [state for state in usable if state not in cold]
        if not warm:
            return self._choose_cold(request, progress, cold, views_by_id)
        best = self._order(progress, warm, views_by_id)[0]
        if not cold:
            if progress.prompt and self._are_full(warm, views_by_id):
                progress.room_wait_s = FULL_WAIT_S
                return None
            return best
        view = views_by_id[best.record.id]
        mean = mean_running(list(views_by_id.values()))
        is_avoided = view.standing is Standing.AVOIDED
        if not is_avoided and view.running + 1 <= load_bound(mean):
            return best
        chosen = self._choose_cold(request, progress, cold, views_by_id)
        if chosen is not None:
            return chosen
        # The caller is better off at another router, or here in a moment.
        if is_avoided or view.running > max_load(mean):
            return None
        return best

    def _are_full(self, states, views_by_id):
        """Return whether no engine has a place, and requests wait at each.

        Engines that are avoided do not count, unless all are.
        """
        trusted = [
            state
            for state in states
            if views_by_id[state.record.id].standing is not Standing.AVOIDED
        ]
        return bool(trusted) and all(
            0
            < FULL_LOAD_PER_SLOT * state.record.slots
            <= views_by_id[state.record.id].running
            for state in trusted
        )

    def _choose_cold(self, request, progress, cold, views_by_id):
        """Return a cold server below its rate limit, or ``None``.

        Without one, the progress is told when the first takes a request.
        """
        bounds = self.bounds
        limit_per_s = request.service.cold_rate_per_s * bounds.cold_factor
        limit_per_s += bounds.cold_margin
        peers = self.fleet.peers
        waits_s = []
        for state in self._order(progress, cold, views_by_id):
            rank = peers.max_rank(state.record.id)
            place = (limit_per_s, peers.max_size(), rank)
            if state.cold_quota.try_acquire(*place):
                return state
            waits_s.append(state.cold_quota.wait_s(*place))
        # Without a cold server, a filter may have set the time.
        if waits_s:
            progress.room_wait_s = min(waits_s)
        return None

    def _order(self, progress, states, views_by_id):
        """Return states, best first.

        :param views_by_id:
            :class:`~boragetrail.policy.prefix.EngineView` by server id
        """
        by_id = {state.record.id: state for state in states}
        if progress.prompt:
            engines = [views_by_id[key] for key in by_id]
            progress.mean_load = mean_running(engines)
            service_mean = mean_running(list(views_by_id.values()))
            ordered = self.prefix_placement.order(
                progress.prompt, engines, service_mean
            )
        else:
            views = [self.fleet.server_view(state) for state in states]
            if progress.detours is not None:
                for view in views:
                    zone = by_id[view.id].record.zone
                    view.detour = progress.detours.rank(zone)
            ordered = self.least_loaded.order(views)
        return [by_id[view.id] for view in ordered]

    def prompt(self, request):
        """Return the parts of a request's prompt; empty if unknown."""
        if not request.route.prefix_affinity:
            return []
        text = request.http_request.headers.get(self.names.prompt_parts, "")
        return parse_prompt_parts(text)

    def plan(self, request, progress, record):
        """Plan the prefill at a server and record the parts as cached there.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :returns: :class:`PrefillPlan`
        """
        prompt = progress.prompt
        if not prompt:
            return PrefillPlan()
        server_id = record.id
        copy_sources = self.fleet.copy_sources(
            request.service.name, record.version
        )
        far_ids, far_cost = (), 0.0
        if self.zones is not None and self.zones.applies_to(prompt):
            far_ids = self.zones.far_ids(request.service.name, record.zone)
            far_cost = self.zones.far_copy_cost
        source_id = self.prefix_placement.copy_source(
            prompt, server_id, copy_sources, far_ids, far_cost
        )
        prefill_tokens = self.prefix_placement.prefill_tokens(
            prompt, server_id, source_id, source_id in far_ids
        )
        self.fleet.placements.add_prompt(prompt, server_id)
        self.prefix_placement.record_placement(prompt, server_id)
        if source_id is None:
            return PrefillPlan("", prefill_tokens)
        return PrefillPlan(
            join_address(*copy_sources[source_id]), prefill_tokens
        )
