"""Filter of servers by software version, during and after rollouts."""

import math

import xxhash

from boragetrail.direct.crashes import shared_parts
from boragetrail.direct.serverfilter import ServerFilter
from boragetrail.policy.cap import max_load
from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.prefix import mean_running
from boragetrail.policy.rollout import Stage
from boragetrail.policy.suspicion import Standing

__all__ = ["VersionFilter"]


class VersionFilter(ServerFilter):
    """Leave the servers of the version at which a request belongs.

    :param controller:
        :class:`~boragetrail.direct.rollouts.controller.RolloutController`
    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    """

    # Seconds until a request that may get no server of any version can expect
    # one.
    WAIT_S = 0.5
    # Time without a listed server of an old version after which its servers
    # are gone, and their entries not just expired.
    OLD_GONE_S = 10.0

    def __init__(self, controller, fleet):
        self.controller = controller
        self.fleet = fleet

    def select(self, request, progress, states, views_by_id):
        """Return the servers of a version; see the base class."""
        service = request.service.name
        listed = self.fleet.listed_servers(service)
        self.controller.gate.record_listed(
            service, {state.record.version for state in listed}
        )
        rollout = self.controller.rollouts_by_service.get(service)
        if rollout is None:
            left = self._without_closed(service, states, listed)
        else:
            left = self._by_rollout(
                rollout, request, progress, states, listed, views_by_id
            )
        if not left:
            progress.room_wait_s = self.WAIT_S
        return left

    def _without_closed(self, service, states, listed):
        """Leave out versions that wait for an order or were rejected."""
        is_open = self.controller.gate.is_open
        if not any(is_open(service, each.record.version) for each in listed):
            return states
        return [
            state for state in states if is_open(service, state.record.version)
        ]

    def _by_rollout(
        self, rollout, request, progress, states, listed, views_by_id
    ):
        if not progress.attempt_count:
            rollout.quota.record_request()
        to = rollout.order.to
        new = [state for state in states if state.record.version == to]
        old = [state for state in states if self._is_old(rollout, state)]
        listed_old = sum(self._is_old(rollout, state) for state in listed)
        if listed_old:
            rollout.old_listed_s = self.controller.clock()
        elif self._are_old_gone(rollout):
            return states
        if not rollout.may_send(self.controller.others(rollout)):
            return old
        if progress.version is not None:
            return old or (new if self._may_take(rollout, request) else [])
        if rollout.share() == 1.0:
            return new or old
        if not old:
            return new if new and self._may_take(rollout, request) else []
        if progress.attempt_count:
            return old
        return self._sample(rollout, request, progress, new, views_by_id) or (
            old
        )

    def _are_old_gone(self, rollout):
        gone_s = self.controller.clock() - rollout.old_listed_s
        return gone_s >= self.OLD_GONE_S

    def _is_old(self, rollout, state):
        version = state.record.version
        if version == rollout.order.to:
            return False
        return (rollout.order.service, version) not in (
            self.controller.gate.rejected
        )

    def _may_take(self, rollout, request):
        """Count a request that no old server can take against the quota."""
        if rollout.stage is not Stage.CANARY:
            return True
        routers = self.fleet.peers.max_size()
        return rollout.try_acquire(request.route.name, routers)

    def _sample(self, rollout, request, progress, new, views_by_id):
        """Return the new servers for a request that is due there, if any."""
        is_canary = rollout.stage is Stage.CANARY
        mean = mean_running(list(views_by_id.values()))
        if is_canary and not self.controller.participates(rollout):
            return []
        position = _position(rollout.order.key, progress.prompt)
        route = request.route.name
        if not rollout.takes_sample(route, position):
            return []
        free = [
            state
            for state in new
            if self._is_free(state, views_by_id[state.record.id], mean)
        ]
        if not free:
            return []
        routers = self.fleet.peers.max_size()
        if is_canary and not rollout.try_acquire(route, routers):
            return []
        return self._concentrate(rollout, free, len(new))

    def _is_free(self, state, view, mean):
        """Return whether a server is as good a choice as an old one.

        :param mean: mean number of requests at the servers of the service
        """
        if self.fleet.is_cold(state) or view.standing is Standing.AVOIDED:
            return False
        slots = state.record.slots
        if slots and view.running >= slots:
            return False
        return view.running + 1 <= max_load(mean)

    def _concentrate(self, rollout, states, count):
        """Return so few servers that each has its load of the last stage.

        Otherwise a version that fails under load would seem good until all
        requests are at it.

        :param count: number of usable servers of the new version
        """
        count = math.ceil(rollout.share() * count)
        key = f"canary/{rollout.order.key}"
        ranked = sorted(
            states, key=lambda each: -rendezvous_score(key, each.record.id)
        )
        chosen = {state.record.id for state in ranked[: max(1, count)]}
        return [state for state in states if state.record.id in chosen]


def _position(order, prompt):
    """Return the position of a session from 0 to 1, or ``None``.

    :param order: key of the order, so that each draws other sessions
    :param prompt: parts of the prompt
    """
    parts = shared_parts(prompt)
    if not parts:
        return None
    digest = xxhash.xxh64_intdigest(f"{order}/{parts[-1]}".encode())
    return digest / 2**64
