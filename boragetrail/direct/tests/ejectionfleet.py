"""Simulation of routers that eject failing servers, without sockets."""

import dataclasses
import random

from boragetrail.direct.datagrams import encode_datagram
from boragetrail.direct.ejection import EjectionFilter, EjectionMonitor
from boragetrail.direct.metrics import DirectMetrics
from boragetrail.direct.model import RequestKind
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.recordgossip import RecordGossip
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.fleetsimulation import (
    DIGEST_INTERVAL_S,
    NETWORK_DELAY_S,
    ROUTE,
    SERVICE,
    UPDATE_INTERVAL_S,
    FleetSimulation,
)
from boragetrail.policy.quarantine import PromptQuarantine

__all__ = ["LOOKUP", "RESERVATION", "EjectionFleet"]

RESERVATION = dataclasses.replace(
    ROUTE, kind=RequestKind.AT_MOST_ONCE, prefix_affinity=False
)
LOOKUP = dataclasses.replace(
    ROUTE, kind=RequestKind.IDEMPOTENT, prefix_affinity=False, max_attempts=2
)
# Requests per second of all routers, as on the page of the requirements.
RATES = ((RESERVATION, 43.0), (LOOKUP, 10.0))
WORK_S = 0.06
# Bytes of the headers of a datagram.
HEADER_BYTES = 28
DIGEST_STEPS = round(DIGEST_INTERVAL_S / UPDATE_INTERVAL_S)


class EjectionFleet(FleetSimulation):
    """Play short requests, some of which servers fail.

    :ivar failure_rate: function of (router, number of the server, route) that
        returns the probability that a request fails
    :ivar loses: whether responses are lost instead of errors
    :ivar results: (monotonic time, number of the server, route, whether it
        failed) of each attempt
    :ivar failed_requests: routes of the requests that failed for good
    :ivar sent_bytes: bytes of the records that the routers have sent
    """

    def __init__(self, seed, routers=24, servers=3, loss=0.0, slots=6):
        super().__init__(seed, routers, servers, loss, slots)
        self.failure_rate = lambda router, server, route: 0.0
        self.loses = False
        self.results = []
        self.failed_requests = []
        self.sent_bytes = 0
        self.rates = RATES
        self.by_address = {
            each.fleet.peers.own_address: each for each in self.routers
        }
        for number, router in enumerate(self.routers):
            add_ejection(self, router, number)
            delay_s = self.rng.uniform(0, UPDATE_INTERVAL_S)
            self._at(delay_s, self._update, router, 0)

    def run(self, seconds):
        """Play some seconds."""
        if not self.results:
            for route, rate_per_s in self.rates:
                self._at(0.0, self._come, route, rate_per_s)
        self._play_until(self.clock() + seconds)

    def fail(self, server, rate=1.0):
        """Let a server fail a part of all requests from now on."""
        self.failure_rate = lambda router, number, route: (
            rate if number == server else 0.0
        )

    def failures(self, server, route, since_s=0.0):
        """Return how many requests of a route failed at a server."""
        return sum(
            failed and at_s >= since_s
            for at_s, number, kind, failed in self.results
            if number == server and kind is route
        )

    def attempts(self, server, since_s):
        """Return how many requests a server got."""
        return sum(
            at_s >= since_s and number == server
            for at_s, number, _, _ in self.results
        )

    def ejected(self):
        """Return the ids of the ejected servers of each router, as a list."""
        return [router.monitor.ejected_ids() for router in self.routers]

    def ever_ejected(self):
        """Return the number of routers that have ejected a server."""
        return sum(
            bool(
                router.monitor.ejections_by_server
                or router.monitor.ended_by_server
            )
            for router in self.routers
        )

    def send_records(self, source, message, addresses):
        """Send a message of a router, with loss and delay."""
        size = len(encode_datagram(message)) + HEADER_BYTES
        sender = source.fleet.peers.own_address
        for address in addresses:
            self.sent_bytes += size
            if self.rng.random() >= self.loss:
                apply = self.by_address[address].gossip.apply
                self._at(NETWORK_DELAY_S, apply, message, sender)

    def _update(self, router, step):
        peers = router.fleet.peers
        for message in router.gossip.take_messages():
            targets = peers.sample(peers.update_fanout())
            addresses = [each.address for each in targets]
            self.send_records(router, message, addresses)
        if step % DIGEST_STEPS == 0:
            (target,) = peers.sample(PeerSocket.SNAPSHOT_FANOUT)
            for message in router.gossip.snapshot(PeerSocket.SAMPLE_SIZE):
                self.send_records(router, message, [target.address])
        for message in router.messages(step):
            is_digest = hasattr(message, "wants_reply")
            count = (
                PeerSocket.DIGEST_FANOUT
                if is_digest
                else peers.update_fanout()
            )
            for peer in peers.sample(count):
                if self.rng.random() >= self.loss:
                    target = self.by_address[peer.address]
                    host = peers.own_address[0]
                    self._at(
                        NETWORK_DELAY_S, self._receive, target, message, host
                    )
        router.monitor.advance()
        self._at(UPDATE_INTERVAL_S, self._update, router, step + 1)

    def _receive(self, router, message, host):
        router.receive(message, host)
        for shard in getattr(message, "relayed", ()):
            router.fleet.peers.apply_relayed(shard)

    def _come(self, route, rate_per_s):
        request = DirectRequest(None, self.clock())
        request.route, request.service = route, SERVICE
        router = self.rng.choice(self.routers)
        self._place(router, request, RequestProgress([], []))
        gap_s = self.rng.expovariate(rate_per_s)
        self._at(gap_s, self._come, route, rate_per_s)

    def _place(self, router, request, progress):
        state = router.selector.choose(request, progress)
        if state is None:
            self.failed_requests.append(request.route)
            return
        progress.tried_ids.add(state.record.id)
        progress.attempt_count += 1
        progress.attempts_sent += 1
        work = PendingWork(state, 0)
        work_s = WORK_S * self.rng.uniform(0.6, 1.4)
        attempt = (router, request, progress, state, work)
        self._at(work_s, self._finish, *attempt)

    def _finish(self, router, request, progress, state, work):
        work.end()
        route = request.route
        number = int(state.record.id.removeprefix("i-"))
        rate = self.failure_rate(router, number, route)
        failed = self.rng.random() < rate
        self.results.append((self.clock(), number, route, failed))
        if failed and self.loses:
            state.record_failure(self.clock(), route.retryable)
        else:
            state.record_response(failed, route.retryable)
        if not failed:
            return
        if route.retryable and progress.attempt_count < route.max_attempts:
            self._place(router, request, progress)
        else:
            self.failed_requests.append(route)


def add_ejection(fleet, router, number):
    """Let a router of a simulated fleet exchange results and eject servers."""
    peers = router.fleet.peers
    for address in fleet.by_address:
        peers.add_reported(address)
    quarantine = PromptQuarantine(
        fleet.clock, random.Random(1), lambda held, released: None
    )
    router.gossip = RecordGossip(
        quarantine, router.knowledge, peers, fleet.clock
    )
    router.gossip.send = lambda message: fleet.send_records(
        router, message, peers.peers_by_address
    )
    metrics = DirectMetrics()
    router.monitor = EjectionMonitor(
        router.fleet, router.gossip, metrics, f"{number:016x}"
    )
    router.selector.filters.append(
        EjectionFilter(router.monitor, router.fleet, metrics)
    )
