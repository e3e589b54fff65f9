"""Simulation of the digests that routers exchange, without sockets.

Peer tables, digests and the registry's list are those of the direct router.
Routers have no callers, so they send no updates.
"""

import dataclasses
import random

from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.tests.test_peers import digest
from boragetrail.direct.tests.test_updates import make_record_gossip
from standins.clock import ManualClock

__all__ = ["PORT", "GossipSimulation", "SimulatedRouter"]

PORT = 7000
STEP_S = 0.1


@dataclasses.dataclass(slots=True)
class Datagram:
    """Hold a datagram that is in flight.

    :param data: encoded message
    :param source: host of the sender
    :param target: host of the receiver
    """

    data: bytes
    source: str
    target: str


class SimulatedRouter:
    """Hold the parts of one router that exchange digests.

    :param simulation: :class:`GossipSimulation`
    :param host: host of the router
    :param run: number of the run, which is part of its incarnation
    :ivar frozen: whether the process is suspended
    """

    def __init__(self, simulation, host, run):
        self.simulation = simulation
        self.host = host
        self.frozen = False
        self.next_round_s = 0.0
        self.sent_by_target = {}
        self.table = PeerTable(
            simulation.clock, random.Random(f"{simulation.seed} {host} {run}")
        )
        self.table.own_address = (host, PORT)
        self.incarnation = f"{run:08x}{simulation.number(host):08x}"
        self.socket = PeerSocket(
            self.table,
            self._digest,
            lambda: None,
            lambda message: None,
            make_record_gossip(self.table),
        )
        self.socket.transport = self

    def _digest(self):
        return digest(
            incarnation=self.incarnation,
            uptime_s=self.table.own_uptime_s(),
        )

    def sendto(self, data, address):
        """Send a datagram, like an asyncio transport."""
        target = address[0]
        self.sent_by_target[target] = self.sent_by_target.get(target, 0) + 1
        self.simulation.send(Datagram(data, self.host, target))

    def join(self, listed):
        """Read the registry's list and request digests.

        :param listed: hosts that the registry lists
        """
        addresses = [(host, PORT) for host in listed]
        self.table.add_listed(addresses)
        for address in addresses:
            if address != self.table.own_address:
                self.socket.request_digest(address)

    def advance(self):
        """Send digests if a round is due."""
        now_s = self.simulation.clock()
        if self.frozen or now_s < self.next_round_s:
            return
        jitter = self.table.random.uniform(0.8, 1.2)
        self.next_round_s = now_s + PeerSocket.DIGEST_INTERVAL_S * jitter
        self.socket.send_digests()


class GossipSimulation:
    """Play the digests of a fleet.

    :param seed: seed of all draws
    :param loss: share of the datagrams that is lost
    :ivar routers_by_host: running :class:`SimulatedRouter` by host
    :ivar is_cut: function that gets two hosts and returns whether datagrams
        from the first to the second are lost
    """

    def __init__(self, seed, loss=0.0):
        self.seed = seed
        self.loss = loss
        self.random = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.routers_by_host = {}
        self.numbers_by_host = {}
        self.listed = []
        self.runs = 0
        self.in_flight = []
        self.is_cut = lambda source, target: False

    def number(self, host):
        """Return the number of a host."""
        return self.numbers_by_host.setdefault(host, len(self.numbers_by_host))

    def register(self, hosts):
        """List hosts in the registry, as if they had run before."""
        self.listed.extend(host for host in hosts if host not in self.listed)

    def start(self, hosts):
        """Start routers at the same time.

        :param hosts: list of hosts
        """
        self.register(hosts)
        for host in hosts:
            self.runs += 1
            router = SimulatedRouter(self, host, self.runs)
            self.routers_by_host[host] = router
            router.join(self.listed)

    def kill(self, hosts):
        """End routers without notice.

        :param hosts: list of hosts
        """
        for host in hosts:
            del self.routers_by_host[host]

    def send(self, datagram):
        """Queue a datagram unless it is lost."""
        is_lost = self.random.random() < self.loss
        if not is_lost and not self.is_cut(datagram.source, datagram.target):
            self.in_flight.append(datagram)

    def run(self, duration_s):
        """Let time pass.

        :param duration_s: seconds
        """
        for _ in range(round(duration_s / STEP_S)):
            self.clock.now_s += STEP_S
            for router in self.routers_by_host.values():
                router.advance()
            self._deliver()

    def sizes(self):
        """Return how large each running router believes the fleet to be."""
        return [
            router.table.size() for router in self.routers_by_host.values()
        ]

    def tables(self):
        """Return the peer tables of the running routers, as a list."""
        return [router.table for router in self.routers_by_host.values()]

    def _deliver(self):
        """Deliver the datagrams in flight, and the replies to them."""
        while self.in_flight:
            batch, self.in_flight = self.in_flight, []
            for datagram in batch:
                router = self.routers_by_host.get(datagram.target)
                if router is not None and not router.frozen:
                    router.socket.datagram_received(
                        datagram.data, (datagram.source, PORT)
                    )
