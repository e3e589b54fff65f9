"""Server filter that keeps requests away from engines without memory."""

from boragetrail.direct.serverfilter import ServerFilter
from boragetrail.errors import Refusal
from boragetrail.policy.enginememory import (
    MemoryDemand,
    fits,
    unknown_tokens,
    wait_for_room_s,
)
from boragetrail.reasons import Executed, Reason

__all__ = ["MemoryFilter"]

# A request that no engine can hold may be sent again after the operators have
# changed the service.
TOO_LARGE_RETRY_S = 60.0


class MemoryFilter(ServerFilter):
    """Leave out engines whose memory a request would exceed.

    Services of unknown capacity are not restricted.

    :param monitor: :class:`~boragetrail.direct.capacity.CapacityMonitor`
    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    """

    def __init__(self, monitor, fleet):
        self.monitor = monitor
        self.fleet = fleet

    def select(self, request, progress, states, views_by_id):
        """Return the engines that have memory for the request."""
        capacity = request.service.token_capacity
        if not capacity:
            return states
        size = self.monitor.size(request, progress.prompt)
        if size.largest() > capacity:
            progress.refusal = _too_large(request, size, capacity)
            return []
        if not progress.tried_ids:
            self.monitor.record_demand(request.service, size)
        unknown = self._unknown_tokens(request.service, len(views_by_id))
        mean = self.monitor.mean_tokens(request.service) or size.expected()
        left, waits_s = [], []
        for state in states:
            view = views_by_id[state.record.id]
            demand = self._demand(state, view, mean, unknown)
            added = self.monitor.held.added_tokens(
                state.record.id, progress.prompt, size
            )
            if fits(demand, added, capacity):
                left.append(state)
                continue
            hold_s = self.monitor.hold_s(request.service)
            waits_s.append(wait_for_room_s(demand, added, capacity, hold_s))
        if not left:
            progress.room_wait_s = min(waits_s)
        return left

    def _unknown_tokens(self, service, engines):
        rate_per_s = self.monitor.token_rate(service)
        return unknown_tokens(rate_per_s, self.fleet.peers.size(), engines)

    def _demand(self, state, view, mean, unknown):
        """Return the :class:`MemoryDemand` of an engine.

        Requests of this router that began before tokens were counted count
        like those of other routers.

        :param mean: mean tokens of this router's requests, and before the
            first those of the request to be placed
        """
        held = self.monitor.held
        others = max(0.0, view.running - state.in_flight)
        others += max(0, state.in_flight - held.requests(state.record.id))
        return MemoryDemand(
            held.tokens(state.record.id), others * mean, unknown
        )


def _too_large(request, size, capacity):
    detail = (
        f"up to {size.largest()} tokens, an engine of service"
        f" {request.service.name!r} holds {capacity}"
    )
    return Refusal(
        Reason.PROMPT_TOO_LARGE, detail, Executed.NO, TOO_LARGE_RETRY_S
    )
