"""Simulation of routers in a rollout, without sockets.

Orders, evidence, decisions and the choice of the version are those of the
router. Servers, datagrams and the store are simulated.
"""

import heapq
import itertools
import random
import types

from boragetrail.direct.datagrams import encode_datagram
from boragetrail.direct.model import RolloutOrder, ServerRecord
from boragetrail.direct.phases import AttemptState
from boragetrail.direct.recordmessages import decode_records, encode_records
from boragetrail.direct.rollouts import (
    RolloutController,
    RolloutObserver,
    VersionFilter,
)
from boragetrail.policy.suspicion import Standing
from boragetrail.settings.direct import RolloutBounds
from standins.clock import ManualClock

__all__ = ["Attempt", "Behavior", "RolloutSimulation"]

START_S = 100.0
DELAY_S = 0.005
WRITE_INTERVAL_S = 0.2
BOUNDS = RolloutBounds(
    {"exposure_ratio": 0.1, "exposure_margin": 50, "rollback_ms": 5000}
)
# Seconds of a response, and the part that fails at any server, by route.
ROUTES = {
    "guide": (0.3, 0.01),
    "order": (0.06, 0.01),
    "status": (0.05, 1 / 7),
    "chat": (0.4, 0.0),
    "summary": (0.6, 0.0),
}


class Behavior:
    """Say how the servers of a version respond.

    :param fails: part of the responses that fail
    :param slowness: multiple of the usual time
    :param since_s: seconds after the order from which this holds
    :param until_s: seconds after the order until which it holds
    :param route: route for which it holds, or empty for all
    :param min_load: requests at a server from which it holds
    """

    def __init__(
        self,
        fails=0.0,
        slowness=1.0,
        since_s=0.0,
        until_s=1e9,
        route="",
        min_load=0,
    ):
        self.fails = fails
        self.slowness = slowness
        self.since_s = since_s
        self.until_s = until_s
        self.route = route
        self.min_load = min_load

    def holds(self, age_s, route, load):
        """Return whether it holds for a request."""
        is_time = self.since_s <= age_s < self.until_s
        is_route = self.route in ("", route)
        return is_time and is_route and load >= self.min_load


class _Peers:
    """Hold the other routers of one, which it all knows."""

    STARTUP_S = 3.0
    MIN_SIZE_WITHOUT_LIST = 64

    def __init__(self, number, simulation):
        self.simulation = simulation
        self.random = simulation.rng
        self.own_address = (f"10.0.0.{number}", 7000)
        self.others = []

    def own_uptime_s(self):
        return 100.0

    def members(self):
        return self.others

    def sample(self, count):
        return self.random.sample(self.others, min(count, len(self.others)))

    def size(self):
        return len(self.others) + 1

    def max_size(self):
        return self.size()

    def load(self, server_id):
        held = self.simulation.held[server_id]
        return types.SimpleNamespace(requests=held)


class _Router:
    """Hold the parts of one router that take part in rollouts."""

    def __init__(self, number, simulation):
        self.number = number
        self.peers = _Peers(number, simulation)
        directory = types.SimpleNamespace(
            servers_by_id=simulation.listed_by_id
        )
        fleet = types.SimpleNamespace(
            peers=self.peers,
            clock=simulation.clock,
            directory=directory,
            listed_servers=lambda service: simulation.states,
            is_cold=lambda state: False,
        )
        gossip = types.SimpleNamespace(
            tell=lambda *told: simulation.tell(self, *told),
            send_now=lambda record: simulation.tell(self, record, None),
        )
        self.controller = RolloutController(
            fleet, BOUNDS, gossip, simulation.rng, f"run-{number}"
        )
        metrics = types.SimpleNamespace(
            record_rollout_request=lambda *labels: None
        )
        self.observer = RolloutObserver(self.controller, metrics)
        self.filter = VersionFilter(self.controller, fleet)


class Attempt:
    """Simulate an attempt at a server."""

    def __init__(self, server, clock):
        self.server = server
        self.clock = clock
        self.sent_s = self.waiting_since_s = clock()
        self.state = AttemptState.RESPONDING
        self.was_reset = self.connection_lost = False
        self.progressed_s = None
        self.longest_pause_s = 0.0
        self.response = types.SimpleNamespace(status=200)

    def silent_s(self):
        return self.clock() - self.waiting_since_s


class RolloutSimulation:
    """Play a rollout and count what each version gets.

    :param seed: seed of all draws
    :param routers: number of routers
    :param loss: part of the datagrams that is lost
    :param duration_s: duration of the order
    :param rate_per_s: requests per second of all routers
    :param new: list of :class:`Behavior` of the new version
    :param both: list of :class:`Behavior` of both versions
    :param crash_s: seconds after the order at which a new server crashes
    :ivar sent_s: times of the requests to the new version
    :ivar bad_s: times of its bad responses
    :ivar requests: number of requests between the order and its end
    :ivar written: (time, stage) of the verdict in the store, or ``None``
    :ivar cut: numbers of the routers that are cut off from the others
    :ivar senders: numbers of the routers that sent the requests in ``sent_s``
    :ivar told_bytes: bytes of all datagrams
    """

    SERVERS = (12, 6)

    def __init__(
        self,
        seed,
        routers=23,
        loss=0.0,
        duration_s=20.0,
        rate_per_s=120.0,
        new=(),
        both=(),
        crash_s=None,
    ):
        self.rng = random.Random(seed)
        self.clock = ManualClock(START_S)
        self.loss = loss
        self.duration_s = duration_s
        self.rate_per_s = rate_per_s
        self.new, self.both = new, both
        self.sent_s, self.senders, self.bad_s = [], [], []
        self.requests = self.told_bytes = 0
        self.written = None
        self.cut = set()
        self.numbers = itertools.count()
        self.queue = []
        self.states, self.listed_by_id = [], {}
        self.held, self.attempts_by_id = {}, {}
        self._start_servers("v1", self.SERVERS[0])
        self.routers = [_Router(number, self) for number in range(routers)]
        self._connect()
        self._at(self.rng.expovariate(rate_per_s), self._arrive)
        for router in self.routers:
            self._at(self.rng.uniform(0, 0.1), self._advance, router, 0)
        self._at(WRITE_INTERVAL_S, self._write)
        self.crash_s = crash_s

    def _connect(self):
        self.routers_by_address = {
            router.peers.own_address: router for router in self.routers
        }
        shared = [
            types.SimpleNamespace(address=address)
            for address in self.routers_by_address
        ]
        for number, router in enumerate(self.routers):
            router.peers.others = shared[:number] + shared[number + 1 :]

    def run(self, warm_up_s=5.0, cut=(), cut_s=0.0):
        """Play up to the end of an order.

        :param warm_up_s: seconds before the order
        :param cut: numbers of routers that lose all others
        :param cut_s: seconds after the order at which they do
        """
        self._run(warm_up_s)
        self.began_s = self.clock()
        self._start_servers("v2", self.SERVERS[1])
        order = RolloutOrder("apps", "v2", self.duration_s, 7, 1, 77)
        for router in self.routers:
            self._at(self.rng.uniform(0, 0.4), self._order, router, order)
        self.requests = 0
        self._at(cut_s, self.cut.update, cut)
        if self.crash_s is not None:
            self._at(self.crash_s, self._crash)
        self._run(self.duration_s)
        return self

    def age_s(self):
        """Return the seconds since the order was written."""
        return self.clock() - getattr(self, "began_s", float("inf"))

    @property
    def stage(self):
        """Return the written verdict, or ``None``."""
        return self.written and self.written[1]

    def is_within_exposure(self):
        """Return whether the new version got no more than it may."""
        limit = BOUNDS.exposure_ratio * self.requests
        return len(self.sent_s) <= limit + BOUNDS.exposure_margin

    def sent_after_50_bad_s(self):
        """Return the seconds from the 50th bad response to the last request.

        :returns: seconds, 0 without as many
        """
        if len(self.bad_s) < 50 or not self.sent_s:
            return 0.0
        return max(0.0, self.sent_s[-1] - sorted(self.bad_s)[49])

    def tell(self, source, record, addresses):
        """Send a record to some routers, or to all."""
        message = encode_records([record], self.clock())
        size = len(encode_datagram(message))
        if addresses is None:
            addresses = list(self.routers_by_address)
        for address in addresses:
            receiver = self.routers_by_address[address]
            if receiver is source:
                continue
            self.told_bytes += size
            is_cut = bool({source.number, receiver.number} & self.cut)
            if not is_cut and self.rng.random() >= self.loss:
                self._at(DELAY_S, self._receive, receiver, message)

    def _receive(self, receiver, message):
        for record in decode_records(message, self.clock()):
            receiver.controller.apply(record)

    def _run(self, seconds):
        end_s = self.clock() + seconds
        while self.queue and self.queue[0][0] <= end_s:
            self.clock.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.clock.now_s = end_s

    def _at(self, delay_s, action, *arguments):
        item = (self.clock() + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self.queue, item)

    def _order(self, router, order):
        router.controller.order_changed("apps", order)
        rollout = router.controller.rollouts_by_service["apps"]
        rollout.is_status_known = True

    def _advance(self, router, step):
        router.controller.advance()
        if step % 3 == 0:
            router.observer.find_slow()
        self._at(0.1, self._advance, router, step + 1)

    def _write(self):
        for router in self.routers[:2]:
            rollout = router.controller.rollouts_by_service.get("apps")
            if rollout is None:
                continue
            stage = router.controller.status(rollout)
            if self.written is None and stage.is_final:
                self.written = (self.clock(), stage)
            if self.written is not None:
                router.controller.confirm(rollout, self.written[1])
        self._at(WRITE_INTERVAL_S, self._write)

    def _arrive(self):
        self.requests += 1
        router = self.rng.choice(self.routers)
        route = self.rng.choice(list(ROUTES))
        request = types.SimpleNamespace(
            service=types.SimpleNamespace(name="apps"),
            route=types.SimpleNamespace(name=route),
            deadline_s=self.clock() + 4.0,
        )
        progress = types.SimpleNamespace(
            attempt_count=0, version=None, prompt=[], room_wait_s=0.0
        )
        views = {
            key: types.SimpleNamespace(
                running=count, standing=Standing.TRUSTED, is_limited=False
            )
            for key, count in self.held.items()
        }
        left = router.filter.select(request, progress, self.states, views)
        if left:
            state = min(self.rng.sample(left, min(2, len(left))), key=_load)
            self._send(router, request, state)
        self._at(self.rng.expovariate(self.rate_per_s), self._arrive)

    def _send(self, router, request, state):
        record = state.record
        attempt = Attempt(state, self.clock)
        router.observer.attempt_began(request, attempt)
        self.held[record.id] += 1
        state.load = self.held[record.id]
        took_s, fails = ROUTES[request.route.name]
        took_s *= self.rng.lognormvariate(0.0, 0.25)
        behaviors = [*self.both, *(self.new if _is_new(state) else ())]
        is_bad = False
        for each in behaviors:
            if each.holds(self.age_s(), request.route.name, state.load):
                took_s *= each.slowness
                fails = max(fails, each.fails)
                is_bad = is_bad or each.slowness > 2
        if self.rng.random() < fails:
            attempt.response.status = 500
            is_bad = True
        if _is_new(state):
            self.sent_s.append(self.clock())
            self.senders.append(router.number)
        ending = (router, request, attempt, is_bad)
        self.attempts_by_id[record.id][attempt] = ending
        self._at(took_s, self._end, *ending)

    def _end(self, router, request, attempt, is_bad):
        key = attempt.server.record.id
        if self.attempts_by_id[key].pop(attempt, None) is None:
            return
        self.held[key] -= 1
        attempt.server.load = self.held[key]
        if not attempt.connection_lost:
            attempt.state = AttemptState.COMPLETE
            attempt.progressed_s = self.clock()
        if is_bad and _is_new(attempt.server):
            self.bad_s.append(self.clock())
        router.observer.attempt_ended(request, attempt)

    def _crash(self):
        """Let the new server with the most requests lose all of them."""
        new = filter(_is_new, self.states)
        server_id = max(new, key=_load).record.id
        for attempt, ending in list(self.attempts_by_id[server_id].items()):
            attempt.connection_lost = True
            self._end(*ending[:3], True)

    def _start_servers(self, version, count):
        for number in range(count):
            key = f"{version}-{number}"
            address = ("10.1.0.1", 80)
            record = ServerRecord(
                key, "apps", address, "z1", 64, True, 0.0, 1, version
            )
            self.states.append(
                types.SimpleNamespace(record=record, in_flight=0, load=0)
            )
            self.listed_by_id[key] = types.SimpleNamespace(record=record)
            self.held[key] = 0
            self.attempts_by_id[key] = {}


def _is_new(state):
    return state.record.version == "v2"


def _load(state):
    return state.load
