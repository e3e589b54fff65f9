"""Measure what routers know of each other's work, by the size of a fleet.

Routers send requests to servers by chance and exchange the product's own
datagrams at its own pace. No request waits for another and no socket is
opened, so that large fleets can be played.
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

__all__ = ["Knowledge", "KnowledgeFigures", "measure_knowledge"]

PORT = 7000
LINK_MBPS = 100.0
DATAGRAM_S = 0.002
SAMPLE_S = 0.037
# Time after which no router relies on what was told at the start.
WARM_UP_S = WorkTable.MAX_AGE_S


@dataclasses.dataclass(slots=True)
class Knowledge:
    """What is played.

    :param routers: number of routers
    :param servers: number of servers
    :param seconds: time to play
    :param rate: requests a second of each router
    :param duration_s: mean time of a request at its server
    :param lost: part of datagrams that are lost
    :param observers: number of routers whose knowledge is measured
    """

    routers: int
    servers: int = 60
    seconds: float = 3.0
    rate: float = 11.0
    duration_s: float = 0.6
    lost: float = 0.01
    observers: int = 4


@dataclasses.dataclass(slots=True)
class KnowledgeFigures:
    """What came of it.

    :param error: mean of the believed load's distance from the true one,
        as a part of the mean true load of a server
    :param total: believed load of all servers, as a part of the true one
    :param datagrams_per_s: datagrams that a router sends in a second
    """

    error: float
    total: float
    datagrams_per_s: float


class WorkingRouter:
    """A router with work at servers, without sockets.

    :param number: number of the router, which gives its address
    :param time: :class:`~boragetrail.emulator.VirtualTime`
    :param seed: seed of its random generator
    """

    def __init__(self, number, time, seed):
        self.clock = time
        self.host = f"10.0.{number // 256}.{number % 256}"
        self.peers = PeerTable(time, random.Random(seed))
        self.peers.own_address = (self.host, PORT)
        self.directory = Directory(None, time)
        self.reports = ReportTable(time)
        self.placements = PlacementQueue(PrefixCacheIndex(time), time)
        self.requests_by_key = {}
        self.sequence = 0
        self.message_builder = MessageBuilder(
            self, {}, f"{number:016x}", PORT, PORT, LINK_MBPS
        )

    def work(self):
        """Return the entries of a datagram."""
        return [(key, n, 0) for key, n in self.requests_by_key.items() if n]

    def outcomes(self):
        """Return no outcomes."""
        return []

    def change(self, key, by):
        """Count a request that begins or ends."""
        self.requests_by_key[key] = self.requests_by_key.get(key, 0) + by

    def numbered(self, message):
        """Return a datagram with the next number."""
        self.sequence += 1
        message.sequence = self.sequence
        return message

    def heard(self, message, host):
        """Take over a datagram."""
        if not isinstance(message, Update):
            self.peers.apply_digest(message, host)
            return
        self.peers.apply_update(message, host)
        for row in message.relayed:
            self.peers.apply_relayed(row)


class KnowledgeRun:
    """One run.

    :param knowledge: :class:`Knowledge`
    :param seed: seed of all chance
    """

    def __init__(self, knowledge, seed):
        self.knowledge = knowledge
        self.time = VirtualClock()
        self.random = random.Random(seed)
        self.keys = [
            server_key(f"server-{n}") for n in range(knowledge.servers)
        ]
        self.routers = [
            WorkingRouter(n, self.time, seed + n)
            for n in range(knowledge.routers)
        ]
        self.routers_by_address = {
            router.peers.own_address: router for router in self.routers
        }
        self.errors = []
        self.totals = []
        self.sent = 0

    def play(self):
        """Return :class:`KnowledgeFigures`."""
        for router in self.routers:
            self._begin(router)
        for router in self.routers:
            self._greet(router)
            self._plan(PeerSocket.DIGEST_INTERVAL_S, self._round, router)
            self._plan(PeerSocket.UPDATE_INTERVAL_S, self._news, router)
            self._plan_request(router)
        self.time.after(WARM_UP_S, self._sample)
        self.time.run(self.knowledge.seconds)
        pace = len(self.routers) * self.knowledge.seconds
        return KnowledgeFigures(
            statistics.fmean(self.errors),
            statistics.fmean(self.totals),
            self.sent / pace,
        )

    def _begin(self, router):
        """Give a router the work that it has after a long time."""
        mean = self.knowledge.rate * self.knowledge.duration_s
        count = round(self.random.gauss(mean, mean**0.5))
        for _ in range(max(0, count)):
            self._work(router)

    def _greet(self, router):
        greeting = router.numbered(router.message_builder.digest(False, False))
        for other in self.routers:
            if other is not router:
                other.heard(greeting, router.host)

    def _plan(self, period_s, action, router):
        first_s = self.random.uniform(0, period_s)
        self.time.after(first_s, lambda: action(router))

    def _plan_request(self, router):
        pause_s = self.random.expovariate(self.knowledge.rate)
        self.time.after(pause_s, lambda: self._request(router))

    def _request(self, router):
        self._work(router)
        self._plan_request(router)

    def _work(self, router):
        key = self.random.choice(self.keys)
        lasts_s = self.random.expovariate(1.0 / self.knowledge.duration_s)
        router.change(key, 1)
        self.time.after(lasts_s, lambda: router.change(key, -1))

    def _round(self, router):
        digest = router.numbered(router.message_builder.digest(False, False))
        self._tell(router, digest, PeerSocket.DIGEST_FANOUT)
        self.time.after(
            PeerSocket.DIGEST_INTERVAL_S, lambda: self._round(router)
        )

    def _news(self, router):
        news = router.message_builder.take_update()
        if news is not None:
            fanout = router.peers.update_fanout()
            self._tell(router, router.numbered(news), fanout)
        self.time.after(
            PeerSocket.UPDATE_INTERVAL_S, lambda: self._news(router)
        )

    def _tell(self, router, message, fanout):
        for peer in router.peers.sample(fanout):
            self.sent += 1
            if self.random.random() < self.knowledge.lost:
                continue
            other = self.routers_by_address[peer.address]
            self.time.after(
                DATAGRAM_S,
                lambda other=other: other.heard(message, router.host),
            )

    def _sample(self):
        true = {
            key: sum(r.requests_by_key.get(key, 0) for r in self.routers)
            for key in self.keys
        }
        total = sum(true.values())
        for router in self.routers[: self.knowledge.observers]:
            believed = {
                key: router.requests_by_key.get(key, 0)
                + router.peers.work.server_totals(key)[0]
                for key in self.keys
            }
            wrong = sum(abs(believed[key] - true[key]) for key in self.keys)
            self.errors.append(wrong / total)
            self.totals.append(sum(believed.values()) / total)
        self.time.after(SAMPLE_S, self._sample)


def measure_knowledge(knowledge, seed=1):
    """Play routers that tell each other of their work.

    :param knowledge: :class:`Knowledge`
    :param seed: seed of all chance
    :returns: :class:`KnowledgeFigures`

    >>> figures = measure_knowledge(Knowledge(routers=3, seconds=2.0))
    >>> figures.error < 0.5
    True
    """
    return KnowledgeRun(knowledge, seed).play()
