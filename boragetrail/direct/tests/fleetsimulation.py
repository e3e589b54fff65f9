"""Simulation of routers that select servers, without sockets.

Selection, loads and updates are those of the direct router. Servers take each
request at once and hold it for a time that depends on its kind.
"""

import heapq
import itertools
import json
import random

from boragetrail.direct.connection import CONNECT_TIMEOUT_S
from boragetrail.direct.directory import Directory
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.interfaces import ChangeSet, Row, Table
from boragetrail.direct.knowledge import ServerKnowledge
from boragetrail.direct.limitwatch import LimitWatch
from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.model import (
    Configuration,
    RequestKind,
    Route,
    Service,
)
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.reconnection import Reconnector
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.selector import ServerSelector
from boragetrail.platform import HEADER_NAMES, PlatformRowDecoder
from boragetrail.settings.direct import Bounds
from standins.clock import ManualClock

__all__ = ["ROUTE", "SERVICE", "FleetSimulation", "Router", "server_row"]

UPDATE_INTERVAL_S = 0.1
DIGEST_INTERVAL_S = 0.3
NETWORK_DELAY_S = 0.002
PORT = 7000
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 50,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
# (requests per second, tokens of the parts, number of shared parts of each
# place, seconds at the server)
KINDS = (
    (13.7, (2520, 6100, 580), (4, 41), 0.45),
    (8.4, (341, 1700, 360), (8, 38), 0.2),
    (6.4, (103, 500, 110), (20, 28), 1.4),
)


class Router:
    """Hold the parts of one router that select servers.

    :param slots: slots of each server
    """

    def __init__(self, number, clock, rng, server_count, slots=64):
        self.clock = clock
        peers = PeerTable(clock, random.Random(rng.random()))
        peers.own_address = (f"10.0.0.{number + 1}", PORT)
        peers.list_was_read = True
        peers.started_s = clock() - 100.0
        directory = Directory(PlatformRowDecoder(), clock)
        directory.apply(Table.SERVERS, _list(server_count, slots))
        directory.configuration = Configuration(
            1, [ROUTE], [SERVICE], {}, None, False
        )
        self.knowledge = ServerKnowledge(peers)
        self.fleet = Fleet(directory, peers, "z0", clock, self.knowledge)
        self.selector = ServerSelector(
            self.fleet,
            HEADER_NAMES,
            Bounds(BOUNDS),
            clock,
            random.Random(rng.random()),
        )
        self.builder = MessageBuilder(
            self.fleet,
            {table: StoreLiveness(clock) for table in Table},
            f"{number:016x}",
            PORT,
            PORT,
            1000.0,
        )
        self.limit_watch = LimitWatch(self.fleet, None)
        self.sequence = 0

    def messages(self, step):
        """Return what the router sends at a step of its update loop."""
        messages = [self.builder.take_update()]
        if step % round(DIGEST_INTERVAL_S / UPDATE_INTERVAL_S) == 0:
            messages.append(self.builder.digest(False, False))
        for message in filter(None, messages):
            self.sequence += 1
            message.sequence = self.sequence
            yield message

    def receive(self, message, host):
        """Apply an update or a digest of another router."""
        if hasattr(message, "wants_reply"):
            self.fleet.peers.apply_digest(message, host)
        else:
            self.fleet.peers.apply_update(message, host)
            self.fleet.apply_placements(message.placements)
        self.fleet.apply_load_reports(message)


class FleetSimulation:
    """Play requests at several routers and count what each server holds.

    :param seed: seed of all draws
    :param routers: number of routers
    :param servers: number of servers
    :param loss: part of the datagrams that is lost
    :param slots: slots of each server
    :ivar sent: (time, requests that the server held, mean of all servers) of
        each request
    """

    def __init__(self, seed, routers=4, servers=5, loss=0.0, slots=64):
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.loss = loss
        self.servers = servers
        self.routers = [
            Router(number, self.clock, self.rng, servers, slots)
            for number in range(routers)
        ]
        self.held = dict.fromkeys(map(_server_id, range(servers)), 0)
        self.limited_until_s = dict.fromkeys(self.held, 0.0)
        self.rate_per_s = 0.0
        self.kinds = KINDS
        self.hot_share = 0.0
        self.clump = 0.3
        self.clumps_share_router = False
        self.cuts_by_id = {}
        self.refused = 0
        self.sent = []
        self.numbers = itertools.count()
        self.queue = []
        for router in self.routers:
            router.knowledge.tell = lambda report, source=router: self._tell(
                source, report
            )

    def name_limit(self, server, rate_per_s, until_s):
        """Let a server name a limit for some seconds from the start on."""
        self.rate_per_s = rate_per_s
        self.limited_until_s[_server_id(server)] = 100.0 + until_s

    def cut(self, server, since_s, until_s):
        """Let no connection to a server open for some seconds."""
        span = (100.0 + since_s, 100.0 + until_s)
        self.cuts_by_id[_server_id(server)] = span

    def take_zone_out(self, zone):
        """Let no router send to the servers of a zone."""
        for router in self.routers:
            router.fleet.directory.evacuated_zones.add(zone)

    def restart(self, server, since_s, until_s, cold_s):
        """Let a server be away for some seconds and return cold."""
        self.cut(server, since_s, until_s)
        self._at(until_s, self._return_cold, server, cold_s)

    def run(self, seconds, load=1.0):
        """Play some seconds.

        :param load: multiple of the usual rate of requests
        """
        end_s = self.clock() + seconds
        for router in self.routers:
            self._at(
                self.rng.uniform(0, UPDATE_INTERVAL_S), self._update, router, 0
            )
            self._at(Reconnector.TIMEOUT_S, self._reconnect, router)
            self._at(LimitWatch.INTERVAL_S, self._watch, router)
        self._start_requests(load)
        self._play_until(end_s)

    def _start_requests(self, load):
        for kind in self.kinds:
            self._at(
                self.rng.expovariate(load * kind[0]), self._arrive, kind, load
            )

    def _play_until(self, end_s):
        while self.queue and self.queue[0][0] <= end_s:
            self.clock.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def over(self, since_s, until_s, factor=2.0, margin=3.0):
        """Return (requests to servers over the page's bound, requests)."""
        sent = [
            each for each in self.sent if since_s <= each[0] - 100.0 < until_s
        ]
        over = [each for each in sent if each[1] > factor * each[2] + margin]
        return len(over), len(sent)

    def _at(self, delay_s, action, *arguments):
        at_s = self.clock() + delay_s
        item = (at_s, next(self.numbers), action, arguments)
        heapq.heappush(self.queue, item)

    def _update(self, router, step):
        host = router.fleet.peers.own_address[0]
        for message in router.messages(step):
            for other in self.routers:
                if other is not router and self.rng.random() >= self.loss:
                    self._at(NETWORK_DELAY_S, other.receive, message, host)
        self._at(UPDATE_INTERVAL_S, self._update, router, step + 1)

    def _tell(self, source, report):
        for router in self.routers:
            if router is not source:
                self._at(NETWORK_DELAY_S, router.knowledge.apply, report)

    def _arrive(self, kind, load):
        router = self.rng.choice(self.routers)
        self._send(router, kind)
        # Requests come in groups.
        while self.rng.random() < self.clump:
            if not self.clumps_share_router:
                router = self.rng.choice(self.routers)
            self._send(router, kind)
        gap_s = self.rng.expovariate((1 - self.clump) * load * kind[0])
        self._at(gap_s, self._arrive, kind, load)

    def _send(self, router, kind):
        _, tokens, choices, held_s = kind
        number = next(self.numbers)
        is_hot = self.rng.random() < self.hot_share
        names = [
            f"p{tokens[i]}-{0 if is_hot else self.rng.randrange(choices[i])}"
            for i in range(len(choices))
        ]
        prompt = list(zip([*names, f"own-{number}"], tokens))
        request = self._request(kind)
        self._try(router, request, RequestProgress(prompt, []), held_s)

    def _request(self, kind):
        request = DirectRequest(None, self.clock())
        request.route = ROUTE
        request.service = SERVICE
        return request

    def _try(self, router, request, progress, held_s):
        state = router.selector.choose(request, progress)
        if state is None:
            self.refused += 1
            return
        record = state.record
        progress.tried_ids.add(record.id)
        router.selector.plan(request, progress, record)
        work = PendingWork(state, 0)
        if self._is_cut(record.id):
            retry = (router, request, progress, held_s)
            self._at(CONNECT_TIMEOUT_S, self._fail, state, work, retry)
            return
        mean = sum(self.held.values()) / self.servers
        self.sent.append((self.clock(), self.held[record.id], mean))
        self.held[record.id] += 1
        self._serve(router, request, progress, work, held_s)

    def _serve(self, router, request, progress, work, held_s):
        state = work.state
        held_s *= self.rng.uniform(0.6, 1.4)
        head_s = min(0.15, held_s / 2)
        self._at(head_s, self._hear, state, self.clock())
        self._at(held_s, self._end, state.record.id, work)

    def _is_cut(self, server_id):
        since_s, until_s = self.cuts_by_id.get(server_id, (0.0, 0.0))
        return since_s <= self.clock() < until_s

    def _fail(self, state, work, retry):
        work.end()
        router = retry[0]
        router.fleet.record_unreachable(
            state, self.clock() - CONNECT_TIMEOUT_S
        )
        self._try(*retry)

    def _reconnect(self, router):
        for state in router.fleet.servers_to_reconnect():
            if not self._is_cut(state.record.id):
                state.suspicion.record_connection()
        self._at(Reconnector.TIMEOUT_S, self._reconnect, router)

    def _watch(self, router):
        for state in router.limit_watch.due():
            self._at(2 * NETWORK_DELAY_S, self._hear, state, self.clock())
        self._at(LimitWatch.INTERVAL_S, self._watch, router)

    def _return_cold(self, server, cold_s):
        version = self.servers + server + 1
        row = server_row(
            server, version, born=2, coldLeftMs=int(1000 * cold_s)
        )
        for router in self.routers:
            changes = ChangeSet([row], version, False)
            router.fleet.directory.apply(Table.SERVERS, changes)

    def _hear(self, state, sent_s):
        limited = self.clock() < self.limited_until_s[state.record.id]
        state.record_limit(str(self.rate_per_s) if limited else None, sent_s)

    def _end(self, server_id, work):
        self.held[server_id] -= 1
        work.end()


def _server_id(number):
    return f"i-{number}"


def _list(count, slots):
    rows = [
        server_row(number, number + 1, slots=slots) for number in range(count)
    ]
    return ChangeSet(rows, count, True)


def server_row(number, version, born=1, **fields):
    """Return a server's row in the platform's format."""
    entry = {
        "service": "chat",
        "address": f"10.1.0.{number + 1}:80",
        "zone": f"z{number % 3}",
        "slots": 64,
        "state": "ready",
        "born": born,
        **fields,
    }
    return Row(_server_id(number), version, json.dumps(entry).encode())


ROUTE = Route(
    "chat", "h", "/", RequestKind.STREAM, [], 4.0, 0.5, 1, 1, True, True, False
)
SERVICE = Service("chat", 360, 13.0, True)
