"""Gossip protocol for configuration, freshness and loads.

The protocol performs no I/O: its methods return the datagrams to send. A new
change is pushed immediately to a few peers, which push it on if they did not
have it. Pushes can miss a process. Therefore each process also exchanges
digests with one peer in each round, and the one that is behind gets the
missing changes (anti-entropy).
"""

import collections

from boragetrail.configuration.document import Change, subset_for_service
from boragetrail.wire.datagrams import (
    SnapshotOffer,
    Digest,
    LoadUpdate,
    NewChanges,
)

__all__ = ["Peer", "GossipProtocol", "PUSH_FANOUT"]

# Peers of each group that get a new change. A group is all routers, or all
# agents of one service; a router treats all agents as one group.
PUSH_FANOUT = 4
MAX_CHANGES_PER_DATAGRAM = 16
# Changes that are kept for peers that are behind.
MAX_RECENT_CHANGES = 256
MAX_LOADS_PER_DIGEST = 12
# Peers that get a load update.
LOAD_UPDATE_FANOUT = 4
# In every Nth round the peer is from outside the group of this process.
CROSS_GROUP_INTERVAL_ROUNDS_BY_ROLE = {"router": 2, "agent": 4}


class Peer:
    """A process that receives datagrams.

    :param name: name of the process
    :param role: ``router`` or ``agent``
    :param service: service of an agent, empty for a router
    :param address: address at which the process receives datagrams
    """

    __slots__ = ("name", "role", "service", "address")

    def __init__(self, name, role, service, address):
        self.name = name
        self.role = role
        self.service = service
        self.address = address


class GossipProtocol:
    """State of the gossip protocol of one process.

    :param local_peer: :class:`Peer` that describes this process
    :param incarnation: incarnation of this process
    :param zone: availability zone of this process
    :param admin_address: address of this process's administration port, at
        which peers fetch the whole document
    :param doc: :class:`~boragetrail.configuration.Document`
    :param freshness: :class:`~boragetrail.configuration.Freshness`
    :param loads_by_service: load table of each service; an agent has just
        that of its own service
    :param random: random generator
    """

    def __init__(
        self,
        local_peer,
        incarnation,
        zone,
        admin_address,
        doc,
        freshness,
        loads_by_service,
        random,
    ):
        self.local_peer = local_peer
        self.incarnation = incarnation
        self.zone = zone
        self.admin_address = admin_address
        self.doc = doc
        self.freshness = freshness
        self.loads_by_service = loads_by_service
        self.random = random
        self.leaving = False
        self.peers_by_name = {}
        self.recent_changes = collections.deque(maxlen=MAX_RECENT_CHANGES)
        self.rounds = 0
        self.last_request_round = -1
        self.last_sent_load = None

    def set_peers(self, peers):
        """Replace the known peers.

        :param peers: list of :class:`Peer`, which may include this process
        """
        others = (peer for peer in peers if peer.name != self.local_peer.name)
        self.peers_by_name = {peer.name: peer for peer in others}

    def start_round(self):
        """Start a gossip round with one peer.

        :returns: list of (peer, datagram) to send
        """
        self.rounds += 1
        peer = self._choose_peer()
        if peer is None:
            return []
        return [(peer, self.digest(True, peer.service))]

    def load_updates(self):
        """Return load updates for a few other agents of the service.

        There are none if this agent's load has not changed since the last
        update.

        :returns: list of (peer, datagram) to send
        """
        table = self.loads_by_service.get(self.local_peer.service)
        entry = table and table.entries_by_server.get(self.local_peer.name)
        if not entry or entry.load == self.last_sent_load:
            return []
        self.last_sent_load = entry.load
        own_service = self.local_peer.service
        peers = self.peers_by_name.values()
        peers = [peer for peer in peers if peer.service == own_service]
        update = LoadUpdate(entry.to_list(table.clock()))
        chosen = self.random.sample(peers, min(LOAD_UPDATE_FANOUT, len(peers)))
        return [(peer, update) for peer in chosen]

    def merge_load_update(self, update):
        """Merge a load update of another agent."""
        table = self.loads_by_service.get(self.local_peer.service)
        if table is not None:
            table.merge_lists([update.load])

    def digest(self, wants_reply, service=""):
        """Return the digest of this process.

        :param wants_reply: whether the receiver should send its digest
        :param service: service whose loads are included; if empty, the
            service of this process
        """
        age = self.freshness.store_age_s()
        ages = self.freshness.ages_s_by_zone()
        return Digest(
            self.local_peer.name,
            self.incarnation,
            self.local_peer.role,
            self.local_peer.service,
            self.zone,
            self.doc.version,
            -1 if age is None else int(1000 * age),
            {zone: int(1000 * age) for zone, age in ages.items()},
            self.leaving,
            wants_reply,
            self._loads(service),
        )

    def digest_received(self, digest):
        """Merge a peer's digest.

        :returns: list of (peer, datagram) to send in reply
        """
        loads = self.loads_by_service.get(
            digest.service or self.local_peer.service
        )
        if loads is not None:
            loads.merge_lists(digest.loads)
        self._merge_freshness(digest)
        peer = self.peers_by_name.get(digest.name)
        if peer is None:
            return []
        messages = []
        if digest.version < self.doc.version:
            messages.append(
                (peer, self._catch_up_datagram(peer, digest.version))
            )
        if digest.wants_reply:
            messages.append((peer, self.digest(False, peer.service)))
        if digest.version > self.doc.version:
            messages.extend(self._request_changes(peer))
        return [each for each in messages if each[1] is not None]

    def push_changes(self, changes):
        """Return datagrams that push new changes to a few peers.

        The changes are also kept for peers that are behind.

        :param changes: changes in order of their versions, already applied
            to the document
        :returns: list of (peer, datagram) to send
        """
        if not changes:
            return []
        self.recent_changes.extend(changes)
        targets = self._push_targets()
        return [
            (peer, self._changes_datagram(peer, changes)) for peer in targets
        ]

    def changes_received(self, message):
        """Apply the changes that a peer sent.

        :returns: (list of the applied changes, list of (peer, datagram) to
            send)
        """
        applied = []
        for fields in message.changes:
            change = Change.from_list(fields)
            if self.doc.apply(change):
                applied.append(change)
        messages = self.push_changes(applied)
        newest = message.changes[-1][0] if message.changes else 0
        if newest > self.doc.version:
            # The changes before those in the datagram are missing.
            self.freshness.record_newer_version(newest)
            sender = self.peers_by_name.get(message.name)
            messages += self._request_changes(sender) if sender else []
        return applied, messages

    def _request_changes(self, target):
        """Send this process's digest to a peer that knows newer changes.

        The digest's version is lower than the peer's, therefore the peer
        replies with the missing changes or a snapshot offer.

        At most one request is made in each round. Otherwise two processes
        would exchange digests endlessly if neither can supply the changes
        that the other lacks. A router sends its request to a router, because
        an agent holds just a subset of the configuration.

        :param target: peer that knows a newer version
        :returns: list of (peer, digest) to send, with at most one element
        """
        if self.last_request_round == self.rounds:
            return []
        self.last_request_round = self.rounds
        if self.local_peer.role == "router" and target.role == "agent":
            peers = self.peers_by_name.values()
            routers = [peer for peer in peers if peer.role == "router"]
            if not routers:
                return []
            target = self.random.choice(routers)
        return [(target, self.digest(True, target.service))]

    def _merge_freshness(self, digest):
        if digest.version > self.doc.version:
            self.freshness.record_newer_version(digest.version)
            return
        age = digest.store_age_ms
        self.freshness.record_peer_report(
            digest.zone,
            None if age < 0 else age / 1000,
            {z: ms / 1000 for z, ms in digest.ages_ms_by_zone.items()},
        )

    def _choose_peer(self):
        # A router's group is the other routers, an agent's group the other
        # agents of its service. The members of a group hold the same subset
        # of the configuration, so each can supply what another lacks. Agents
        # of a group also exchange the loads of their service.
        peers = self._reachable()
        interval_rounds = CROSS_GROUP_INTERVAL_ROUNDS_BY_ROLE[
            self.local_peer.role
        ]
        own_service = self.local_peer.service
        is_own_group_round = self.rounds % interval_rounds
        chosen = [
            p
            for p in peers
            if (p.service == own_service) == bool(is_own_group_round)
        ]
        chosen = chosen or peers
        return self.random.choice(chosen) if chosen else None

    def _reachable(self):
        peers = self.peers_by_name.values()
        if self.local_peer.role == "router":
            return list(peers)
        own_service = self.local_peer.service
        return [
            p for p in peers if p.role == "router" or p.service == own_service
        ]

    def _push_targets(self):
        # An agent pushes nothing to routers, because it holds just a subset of
        # the configuration.
        own_service = self.local_peer.service
        peers = self._reachable()
        groups = [[peer for peer in peers if peer.service == own_service]]
        if self.local_peer.role == "router":
            groups.append([peer for peer in peers if peer.role == "agent"])
        return [
            peer
            for group in groups
            for peer in self.random.sample(group, min(PUSH_FANOUT, len(group)))
        ]

    def _catch_up_datagram(self, peer, version):
        """Return a datagram with what a peer at a version lacks, or ``None``.

        An agent's subset is of use just to agents of its own service. Many
        missing changes are replaced by an offer of the whole document.
        """
        if (
            self.local_peer.role == "agent"
            and peer.service != self.local_peer.service
        ):
            return None
        missing = [c for c in self.recent_changes if c.version > version]
        complete = missing and missing[0].version == version + 1
        if complete and len(missing) <= MAX_CHANGES_PER_DATAGRAM:
            return self._changes_datagram(peer, missing)
        return SnapshotOffer(self.doc.version, self.admin_address)

    def _changes_datagram(self, peer, changes):
        if peer.role == "agent" and self.local_peer.role == "router":
            changes = [subset_for_service(c, peer.service) for c in changes]
        return NewChanges(self.local_peer.name, [c.to_list() for c in changes])

    def _loads(self, service):
        loads = self.loads_by_service.get(service or self.local_peer.service)
        return (
            [] if loads is None else loads.newest_lists(MAX_LOADS_PER_DIGEST)
        )
