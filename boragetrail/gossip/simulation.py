"""In-memory gossip, for tests and for measuring traffic and delay."""

import random

from boragetrail.configuration import Change, Document, Freshness
from boragetrail.gossip.protocol import GossipProtocol, Peer
from boragetrail.wire.datagrams import Digest, NewChanges, encode_datagram

__all__ = ["GossipSimulation"]

ROUND_INTERVAL_S = 0.5
DEFAULT_ZONE_COUNT = 3
DEFAULT_SERVICE_COUNT = 3


class GossipSimulation:
    """Simulated processes whose datagrams arrive immediately or are lost.

    A snapshot offer copies the peer's document, which a real process fetches
    over HTTP.

    :param routers: number of routers
    :param agents: number of agents
    :param seed: seed of all random choices
    :param loss_rate: fraction of datagrams that are lost, 0 to 1
    :param zones: number of availability zones
    :param services: number of services that the agents belong to
    :ivar down_names: names of the processes that are down
    :ivar sent_bytes: bytes of all datagrams sent, lost ones included
    """

    def __init__(
        self,
        routers,
        agents,
        seed=1,
        loss_rate=0.0,
        zones=DEFAULT_ZONE_COUNT,
        services=DEFAULT_SERVICE_COUNT,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss_rate = loss_rate
        self.zones = zones
        self.services = services
        self.down_names = set()
        self.sent_bytes = 0
        names = [f"r{n}" for n in range(routers)]
        names += [f"a{n}" for n in range(agents)]
        self.nodes = {name: self._node(name) for name in names}
        peers = [node.local_peer for node in self.nodes.values()]
        for node in self.nodes.values():
            node.set_peers(peers)

    def run_round(self):
        """Advance the clock and run a round of each process that is up."""
        self.now += ROUND_INTERVAL_S
        for name, node in self.nodes.items():
            if name not in self.down_names:
                self.deliver(name, node.start_round())

    def commit_at(self, name):
        """Commit one change at a router, which pushes it to its peers.

        :param name: name of the router
        """
        node = self.nodes[name]
        version = node.doc.version + 1
        value = {"state": "in", "region": "r"}
        change = Change(version, f"c{version}", "op", "zone", "z1", value)
        node.doc.apply(change)
        self.deliver(name, node.push_changes([change]))

    def deliver(self, sender, messages):
        """Deliver datagrams, the replies to them, and so on.

        :param sender: name of the process that sends the datagrams
        :param messages: list of (peer, datagram)
        """
        queue = [(sender, *message_to_peer) for message_to_peer in messages]
        while queue:
            source, peer, message = queue.pop(0)
            self.sent_bytes += len(encode_datagram(message))
            is_cut = peer.name in self.down_names or source in self.down_names
            if is_cut or self.random.random() < self.loss_rate:
                continue
            replies = self._receive(self.nodes[peer.name], source, message)
            queue.extend((peer.name, *reply) for reply in replies)

    def versions(self):
        """Return the set of document versions of the processes that are up."""
        return {
            node.doc.version
            for name, node in self.nodes.items()
            if name not in self.down_names
        }

    def _receive(self, node, source, message):
        if isinstance(message, Digest):
            return node.digest_received(message)
        if isinstance(message, NewChanges):
            return node.changes_received(message)[1]
        node.doc.apply_snapshot(self.nodes[source].doc.to_snapshot())
        return []

    def _node(self, name):
        number = int(name[1:])
        role = "router" if name.startswith("r") else "agent"
        service = f"s{number % self.services}" if role == "agent" else ""
        zone = f"z{number % self.zones}"
        local_peer = Peer(name, role, service, name)
        freshness = Freshness(zone, lambda: self.now)
        return GossipProtocol(
            local_peer,
            name,
            zone,
            name,
            Document(),
            freshness,
            {},
            self.random,
        )
