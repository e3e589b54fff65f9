"""Observation of the attempts at servers of a service in a rollout."""

import dataclasses

import xxhash

from boragetrail.direct.attemptobserver import AttemptObserver
from boragetrail.direct.rollouts.responsetimes import (
    Outcome,
    ResponseTimes,
    classify,
)
from boragetrail.policy.rollout import Stage

__all__ = ["RolloutObserver", "route_key"]

MAX_ROUTE_KEY = 2**16 - 1


@dataclasses.dataclass(slots=True)
class _Observed:
    """Hold an attempt in progress during a rollout.

    :param side: ``"new"`` or ``"old"``
    :param was_counted: whether it was found slow before its end
    """

    rollout: object
    route: int
    side: str
    times: ResponseTimes
    was_counted: bool = False


class RolloutObserver(AttemptObserver):
    """Count the responses of both versions of a service in a rollout.

    The usual times of each route are known from the old version, also from
    before the order. Attempts that begin at a cold server are not observed.

    :param controller:
        :class:`~boragetrail.direct.rollouts.controller.RolloutController`
    :param metrics: :class:`~boragetrail.direct.metrics.DirectMetrics`
    :ivar times_by_route: :class:`ResponseTimes` by (service, route)
    :ivar observed_by_attempt: what is observed of each attempt in progress
    :ivar cold_attempts: set of attempts in progress that began at a cold
        server
    """

    # Interval at which attempts in progress are compared with usual times.
    INTERVAL_S = 0.25
    MAX_ROUTES = 256

    def __init__(self, controller, metrics):
        self.controller = controller
        self.metrics = metrics
        self.clock = controller.clock
        self.times_by_route = {}
        self.observed_by_attempt = {}
        self.cold_attempts = set()

    def attempt_began(self, request, attempt):
        """Observe an attempt; see the base class."""
        if self.controller.fleet.is_cold(attempt.server):
            self.cold_attempts.add(attempt)
            return
        service = request.service.name
        rollout = self.controller.rollouts_by_service.get(service)
        if rollout is None or rollout.stage >= Stage.REVERTING:
            return
        version = attempt.server.record.version
        if (service, version) in self.controller.gate.rejected:
            return
        self.observed_by_attempt[attempt] = _Observed(
            rollout,
            route_key(request.route.name),
            "new" if version == rollout.order.to else "old",
            self._times(request),
        )

    def attempt_ended(self, request, attempt):
        """Count an attempt; see the base class."""
        if attempt in self.cold_attempts:
            self.cold_attempts.remove(attempt)
            return
        outcome = classify(attempt, request.deadline_s)
        observed = self.observed_by_attempt.pop(attempt, None)
        if outcome is Outcome.USUAL and attempt.progressed_s is not None:
            outcome = self._compare_times(request, attempt, observed)
        if observed is None:
            return
        self._count_metric(observed, attempt, outcome)
        if outcome is not None and not observed.was_counted:
            self._count(observed, outcome)

    def find_slow(self):
        """Count the attempts that take longer than usual already."""
        for attempt, observed in self.observed_by_attempt.items():
            if not observed.was_counted and self._is_overdue(
                attempt, observed.times
            ):
                observed.was_counted = True
                self._count(observed, Outcome.BAD)

    def _compare_times(self, request, attempt, observed):
        """Return the outcome of a complete response by its times.

        Until the usual times are known, a response says nothing.
        """
        times = self._times(request)
        were_known = times.are_known()
        first_s = attempt.progressed_s - attempt.sent_s
        is_slow = times.is_slow(first_s, attempt.longest_pause_s)
        if observed is None or observed.side == "old":
            times.add(first_s, attempt.longest_pause_s)
        if not were_known:
            return None
        return Outcome.BAD if is_slow else Outcome.USUAL

    @staticmethod
    def _is_overdue(attempt, times):
        if not attempt.sent_s or attempt.waiting_since_s is None:
            return False
        if attempt.progressed_s is None:
            return times.is_slow(attempt.clock() - attempt.sent_s)
        return times.is_slow(0.0, attempt.silent_s())

    def _count(self, observed, outcome):
        side = observed.side
        increments = {side: 1}
        if outcome is Outcome.BAD:
            increments[f"{side}_bad"] = 1
        elif outcome is Outcome.LOST:
            increments[f"{side}_lost"] = 1
        observed.rollout.record(observed.route, **increments)
        if side == "new" and outcome is not Outcome.USUAL:
            service = observed.rollout.order.service
            self.controller.send_soon(service)

    def _count_metric(self, observed, attempt, outcome):
        if observed.was_counted:
            outcome = Outcome.BAD
        self.metrics.record_rollout_request(
            observed.rollout.order.service,
            attempt.server.record.version,
            outcome.value if outcome is not None else "",
        )

    def _times(self, request):
        key = (request.service.name, request.route.name)
        times = self.times_by_route.get(key)
        if times is None:
            if len(self.times_by_route) >= self.MAX_ROUTES:
                self.times_by_route.clear()
            times = self.times_by_route[key] = ResponseTimes()
        return times


def route_key(name):
    """Return the key of a route in datagrams."""
    return xxhash.xxh32_intdigest(name.encode()) & MAX_ROUTE_KEY
