"""Simulation of requests that compete for the places of one service."""

import collections
import dataclasses

import aioprometheus

from boragetrail.direct.admission import (
    AdmissionGate,
    AdmissionMetrics,
    WaitingRequest,
)
from boragetrail.direct.attempt import Attempt
from boragetrail.direct.model import (
    Configuration,
    Customer,
    RequestKind,
    Route,
    Service,
)
from boragetrail.direct.phases import AttemptState
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.fleetsimulation import FleetSimulation
from boragetrail.platform import HEADER_NAMES

__all__ = ["Kind", "OverloadSimulation"]

SERVICE = Service("chat", 360, 0.0, False)
LARGE_PART = 0.1
LARGE_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class Kind:
    """Describe requests; ``work_s`` is the mean work at a server."""

    name: str
    priority: int
    rate_per_s: float
    work_s: float
    goal_s: float = 0.3
    timeout_s: float = 1.5
    factor: float = 1.0


@dataclasses.dataclass(slots=True)
class Call:
    """Hold a caller's request with its retry."""

    at_s: float
    kind: Kind
    customer: str
    is_large: bool
    served: bool = False
    tries: int = 0
    waited_s: float = 0.0
    retry_after_s: float = 0.0
    returned_s: float = 0.0
    server_refusals: int = 0
    free_slots: int = 0
    end_s: float = 0.0


class OverloadSimulation(FleetSimulation):
    """Play requests at servers that queue what exceeds their slots.

    :param kinds: list of :class:`Kind`
    :param customers: weights of the customers by name
    :param places: requests that a server takes, with those that queue
    :ivar calls: list of :class:`Call`
    """

    def __init__(self, seed, kinds, customers, places=24, **options):
        super().__init__(seed, **options)
        self.kinds = kinds
        self.customers = dict(customers)
        self.places = places
        self.slots = options["slots"]
        # A gate forgets the work and the goals of routes that are not listed.
        routes = [_route(kind) for kind in kinds]
        for router in self.routers:
            router.fleet.directory.configuration = Configuration(
                1, routes, [SERVICE], {}, None, False
            )
        self.calls = []
        self.running = dict.fromkeys(self.held, 0)
        self.queued = {key: collections.deque() for key in self.held}
        self.gates = [
            AdmissionGate(
                router.fleet,
                AdmissionMetrics(aioprometheus.Registry()),
                self.clock,
                self.rng,
            )
            for router in self.routers
        ]

    def play(self, seconds):
        """Play some more seconds."""
        if not self.calls:
            self.run(0.0)
        self._play_until(self.clock() + seconds)

    def served(self, since_s=0.0, **values):
        """Return the part of some calls that were served, and their number.

        :param values: values of attributes of :class:`Call`, or ``priority``
        """
        found = [
            call
            for call in self.calls
            if call.at_s >= 100.0 + since_s
            and call.end_s
            and all(
                (
                    call.kind.priority
                    if key == "priority"
                    else getattr(call, key)
                )
                == value
                for key, value in values.items()
            )
        ]
        return sum(c.served for c in found) / max(1, len(found)), len(found)

    def _check(self, gate):
        gate.check()
        self._at(gate.CHECK_INTERVAL_S, self._check, gate)

    def _start_requests(self, load):
        for gate in self.gates:
            self._at(self.rng.random(), self._check, gate)
        for kind in self.kinds:
            self._at(0.0, self._next, kind)

    def _next(self, kind):
        names = list(self.customers)
        weights = list(self.customers.values())
        name = self.rng.choices(names, weights)[0]
        call = Call(self.clock(), kind, name, self.rng.random() < LARGE_PART)
        if kind.factor:
            self.calls.append(call)
            self._call(call)
        # A customer that sends more than usual adds to the rate.
        rate = (kind.factor or 1.0) * kind.rate_per_s * sum(weights)
        self._at(self.rng.expovariate(rate), self._next, kind)

    def _call(self, call):
        number = self.rng.randrange(len(self.routers))
        request = DirectRequest(None, self.clock())
        kind = call.kind
        request.route = _route(kind)
        request.service = SERVICE
        request.customer = Customer(call.customer, None)
        request.deadline_s = self.clock() + kind.timeout_s
        call.tries += 1
        self._offer(number, request, RequestProgress([], []), call)

    def _offer(self, number, request, progress, call):
        gate = self.gates[number]
        place = (number, request, progress, call)
        began_s = self.clock()

        def wake(has_place):
            gate.leave(request, result)
            call.waited_s = max(call.waited_s, self.clock() - began_s)
            if has_place:
                self._send_to_server(*place)
            else:
                self._refuse(call, gate.refuse(request, progress))

        result = gate.offer(request, progress, wake)
        if result is None:
            self._send_to_server(*place)
            return
        busy = sum(self.running.values())
        call.free_slots = self.servers * self.slots - busy
        if isinstance(result, WaitingRequest):
            self._poll(gate, result)
        else:
            self._refuse(call, result)

    def _poll(self, gate, waiting):
        gate.poll(SERVICE)
        service = gate.services_by_name[SERVICE.name]
        if waiting in service.queue.requests:
            left_s = waiting.until_s - self.clock()
            delay_s = min(gate.POLL_INTERVAL_S, max(0.0, left_s))
            self._at(delay_s, self._poll, gate, waiting)

    def _refuse(self, call, failure):
        if call.tries < 2:
            call.retry_after_s = failure.retry_after_s
            call.returned_s = self.clock() + failure.retry_after_s
            self._at(failure.retry_after_s, self._call, call)
        else:
            call.end_s = self.clock()

    def _send_to_server(self, number, request, progress, call):
        router = self.routers[number]
        state = router.selector.choose(request, progress)
        if state is None:
            call.end_s = self.clock()
            return
        key = state.record.id
        progress.tried_ids.add(key)
        work = progress.pending_work = PendingWork(state, 0)
        progress.attempt = Attempt(state, HEADER_NAMES, "", self.clock, [])
        item = (number, request, progress, call, work)
        if self.held[key] >= self.places:
            work.end()
            call.server_refusals += 1
            self._offer(number, request, progress, call)
            return
        self.held[key] += 1
        self.queued[key].append(item)
        self._start_work(key)

    def _start_work(self, key):
        while self.queued[key] and self.running[key] < self.slots:
            item = self.queued[key].popleft()
            call = item[3]
            self.running[key] += 1
            work_s = call.kind.work_s * self.rng.uniform(0.6, 1.4)
            if call.is_large:
                work_s *= LARGE_FACTOR
            self._at(work_s, self._finish, key, item)

    def _finish(self, key, item):
        number, request, progress, call, work = item
        self.held[key] -= 1
        self.running[key] -= 1
        work.end()
        call.end_s = self.clock()
        call.served = self.clock() <= request.deadline_s
        progress.attempt.state = AttemptState.COMPLETE
        self.gates[number].attempt_ended(request, progress)
        self._start_work(key)


def _route(kind):
    return Route(
        kind.name,
        "h",
        "/",
        RequestKind.AT_MOST_ONCE,
        [],
        kind.timeout_s,
        kind.goal_s,
        1,
        kind.priority,
        True,
        False,
        False,
    )
