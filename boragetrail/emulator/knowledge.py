"""Simulation that measures the error of the routers' load view.

The load view of a router is its estimate of the number of requests at each
server. Simulated routers send requests to random servers, and exchange
digests and updates at the intervals of :mod:`boragetrail.direct`. To keep
simulations of large fleets fast, requests are not queued and no socket is
opened.
"""

import dataclasses
import random
import statistics

from boragetrail.direct.counts import server_key
from boragetrail.direct.datagrams import Update
from boragetrail.direct.directory import Directory
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.reports import ReportTable
from boragetrail.direct.work import WorkTable
from boragetrail.emulator.virtualclock import VirtualClock
from boragetrail.policy.prefix import PrefixCacheIndex

__all__ = ["LoadViewScenario", "LoadViewResults", "measure_load_view"]

PORT = 7000
LINK_MBPS = 100.0
# One-way network delay of a datagram.
DATAGRAM_DELAY_S = 0.002
SAMPLE_INTERVAL_S = 0.037
# By then the initial digests, which reach all routers without a delay, have
# expired, and the load view rests on the periodic datagrams.
WARM_UP_S = WorkTable.MAX_AGE_S


@dataclasses.dataclass(slots=True)
class LoadViewScenario:
    """Parameters of a simulation of the load view; times in seconds.

    :param routers: number of routers
    :param servers: number of servers
    :param seconds: simulated time
    :param rate: number of requests per second of each router
    :param duration_s: mean duration of a request
    :param loss_ratio: fraction of datagrams that are lost
    :param observers: number of routers whose load view is measured
    """

    routers: int
    servers: int = 60
    seconds: float = 3.0
    rate: float = 11.0
    duration_s: float = 0.6
    loss_ratio: float = 0.01
    observers: int = 4


@dataclasses.dataclass(slots=True)
class LoadViewResults:
    """Results of a simulation, as means over samples and observers.

    :param error: mean absolute error of a server's estimated load, as a
        fraction of the mean actual load of a server
    :param total: estimated load of all servers together, as a fraction of
        their actual load
    :param datagrams_per_s: mean number of datagrams that a router sends per
        second
    """

    error: float
    total: float
    datagrams_per_s: float


class LoadViewRouter:
    """Router that keeps the number of its requests at each server.

    The message builder reads this class in place of
    :class:`~boragetrail.direct.fleet.Fleet`. Unlike
    :class:`~boragetrail.emulator.fleet.EmulatedRouter`, this router chooses no
    servers.

    :param number: number of the router, which determines its address
    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param seed: seed of the random generator
    :ivar requests_by_key: number of the router's requests by server key
    """

    def __init__(self, number, clock, seed):
        self.clock = clock
        self.host = f"10.0.{number // 256}.{number % 256}"
        self.peers = PeerTable(clock, random.Random(seed))
        self.peers.own_address = (self.host, PORT)
        self.directory = Directory(None, clock)
        self.reports = ReportTable(clock)
        self.placements = PlacementQueue(PrefixCacheIndex(clock), clock)
        self.requests_by_key = {}
        self.sequence = 0
        self.message_builder = MessageBuilder(
            self, {}, f"{number:016x}", PORT, PORT, LINK_MBPS
        )

    def work(self):
        """Return (server key, requests, prefill tokens) of busy servers.

        Prefill is not simulated, so its number of tokens is 0.
        """
        return [(key, n, 0) for key, n in self.requests_by_key.items() if n]

    def outcomes(self):
        """Return an empty list: outcomes of requests are not simulated."""
        return []

    def change_count(self, key, difference):
        """Add ``difference`` to the number of requests at a server."""
        self.requests_by_key[key] = (
            self.requests_by_key.get(key, 0) + difference
        )

    def with_sequence(self, message):
        """Number a datagram as the router's next one; return the datagram."""
        self.sequence += 1
        message.sequence = self.sequence
        return message

    def receive(self, message, host):
        """Apply a digest or an update that another router sent.

        :param host: host of the other router
        """
        if not isinstance(message, Update):
            self.peers.apply_digest(message, host)
            return
        self.peers.apply_update(message, host)
        for row in message.relayed:
            self.peers.apply_relayed(row)


class LoadViewSimulation:
    """Simulation of a fleet, sampled at regular intervals.

    :param scenario: :class:`LoadViewScenario`
    :param seed: seed of all random generators
    :ivar relative_errors: sums of the absolute errors of the servers'
        estimated loads, divided by the actual load of all servers, one value
        per sample and observer
    :ivar total_ratios: estimated loads of all servers divided by the actual
        load, one value per sample and observer
    :ivar datagrams_sent: number of digests and updates that routers sent,
        also those that are lost; initial digests do not count
    """

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.keys = [
            server_key(f"server-{n}") for n in range(scenario.servers)
        ]
        self.routers = [
            LoadViewRouter(n, self.clock, seed + n)
            for n in range(scenario.routers)
        ]
        self.routers_by_address = {
            router.peers.own_address: router for router in self.routers
        }
        self.relative_errors = []
        self.total_ratios = []
        self.datagrams_sent = 0

    def execute(self):
        """Run the simulation; return its :class:`LoadViewResults`."""
        for router in self.routers:
            self._start_initial_requests(router)
        for router in self.routers:
            self._send_initial_digest(router)
            self._schedule(
                PeerSocket.DIGEST_INTERVAL_S, self._send_digest, router
            )
            self._schedule(
                PeerSocket.UPDATE_INTERVAL_S, self._send_update, router
            )
            self._schedule_request(router)
        self.clock.call_later(WARM_UP_S, self._sample)
        self.clock.run(self.scenario.seconds)
        router_seconds = len(self.routers) * self.scenario.seconds
        return LoadViewResults(
            statistics.fmean(self.relative_errors),
            statistics.fmean(self.total_ratios),
            self.datagrams_sent / router_seconds,
        )

    def _start_initial_requests(self, router):
        """Start about as many requests as the steady state has."""
        mean = self.scenario.rate * self.scenario.duration_s
        count = round(self.random.gauss(mean, mean**0.5))
        for _ in range(max(0, count)):
            self._start_request(router)

    def _send_initial_digest(self, router):
        digest = router.with_sequence(
            router.message_builder.digest(False, False)
        )
        for other in self.routers:
            if other is not router:
                other.receive(digest, router.host)

    def _schedule(self, period_s, action, router):
        first_s = self.random.uniform(0, period_s)
        self.clock.call_later(first_s, lambda: action(router))

    def _schedule_request(self, router):
        interval_s = self.random.expovariate(self.scenario.rate)
        self.clock.call_later(interval_s, lambda: self._on_request(router))

    def _on_request(self, router):
        self._start_request(router)
        self._schedule_request(router)

    def _start_request(self, router):
        key = self.random.choice(self.keys)
        duration_s = self.random.expovariate(1.0 / self.scenario.duration_s)
        router.change_count(key, 1)
        self.clock.call_later(duration_s, lambda: router.change_count(key, -1))

    def _send_digest(self, router):
        digest = router.with_sequence(
            router.message_builder.digest(False, False)
        )
        self._send_datagram(router, digest, PeerSocket.DIGEST_FANOUT)
        self.clock.call_later(
            PeerSocket.DIGEST_INTERVAL_S, lambda: self._send_digest(router)
        )

    def _send_update(self, router):
        update = router.message_builder.take_update()
        if update is not None:
            fanout = router.peers.update_fanout()
            self._send_datagram(router, router.with_sequence(update), fanout)
        self.clock.call_later(
            PeerSocket.UPDATE_INTERVAL_S, lambda: self._send_update(router)
        )

    def _send_datagram(self, router, message, fanout):
        for peer in router.peers.sample(fanout):
            self.datagrams_sent += 1
            if self.random.random() < self.scenario.loss_ratio:
                continue
            other = self.routers_by_address[peer.address]
            self.clock.call_later(
                DATAGRAM_DELAY_S,
                lambda other=other: other.receive(message, router.host),
            )

    def _sample(self):
        actual = {
            key: sum(r.requests_by_key.get(key, 0) for r in self.routers)
            for key in self.keys
        }
        total = sum(actual.values())
        for router in self.routers[: self.scenario.observers]:
            estimated = {
                key: router.requests_by_key.get(key, 0)
                + router.peers.work.server_totals(key)[0]
                for key in self.keys
            }
            deviation = sum(
                abs(estimated[key] - actual[key]) for key in self.keys
            )
            self.relative_errors.append(deviation / total)
            self.total_ratios.append(sum(estimated.values()) / total)
        self.clock.call_later(SAMPLE_INTERVAL_S, self._sample)


def measure_load_view(scenario, seed=1):
    """Simulate a fleet and measure the error of its routers' load view.

    :param scenario: :class:`LoadViewScenario`
    :param seed: seed of all random generators
    :returns: :class:`LoadViewResults`

    >>> figures = measure_load_view(LoadViewScenario(routers=3, seconds=2.0))
    >>> figures.error < 0.5
    True
    """
    return LoadViewSimulation(scenario, seed).execute()
