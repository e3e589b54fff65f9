"""Spread configuration, freshness and loads between all processes.

The logic has no sockets: it returns the datagrams to send. A new change is
pushed at once to a few peers, who push it on when it is new to them. In
every round each process exchanges digests with one peer, which mends what
the pushes missed.
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

PUSH_FANOUT = 4
# Changes that one datagram may carry.
CHANGES_PER_DATAGRAM = 16
# Changes that are kept for peers that are behind.
KEPT_CHANGES = 256
# Load entries in one digest.
LOADS_PER_DIGEST = 12
# Peers that hear at once of a changed load.
NEWS_FANOUT = 4
# One round in this many goes to processes of other kinds.
OTHERS_EVERY_BY_ROLE = {"router": 2, "agent": 4}


class Peer:
    """One other process that can be reached by datagrams.

    :param name: name of the process
    :param role: ``router`` or ``agent``
    :param service: service of an agent, empty for a router
    :param address: address for datagrams
    """

    __slots__ = ("name", "role", "service", "address")

    def __init__(self, name, role, service, address):
        self.name = name
        self.role = role
        self.service = service
        self.address = address


class GossipProtocol:
    """Decide what to tell which peer.

    :param me: :class:`Peer` that describes this process
    :param incarnation: incarnation of this process
    :param zone: its availability zone
    :param admin: address at which others fetch the whole document
    :param doc: :class:`~boragetrail.configuration.Document`
    :param freshness: :class:`~boragetrail.configuration.Freshness`
    :param loads_by_service: load tables; an agent has its service's only
    :param random: random generator
    """

    def __init__(
        self,
        local_peer,
        incarnation,
        zone,
        admin,
        doc,
        freshness,
        loads_by_service,
        random,
    ):
        self.local_peer = local_peer
        self.incarnation = incarnation
        self.zone = zone
        self.admin = admin
        self.doc = doc
        self.freshness = freshness
        self.loads_by_service = loads_by_service
        self.random = random
        self.leaving = False
        self.peers_by_name = {}
        self.recent = collections.deque(maxlen=KEPT_CHANGES)
        self.rounds = 0
        self.asked_round = -1
        self.told_load = None

    def set_peers(self, peers):
        """Replace the known peers; the own entry is left out."""
        others = (peer for peer in peers if peer.name != self.local_peer.name)
        self.peers_by_name = {peer.name: peer for peer in others}

    def start_round(self):
        """Start one round.

        :returns: list of (peer, datagram)
        """
        self.rounds += 1
        peer = self._partner()
        if peer is None:
            return []
        return [(peer, self.digest(True, peer.service))]

    def load_updates(self):
        """Tell the own load to a few agents of the service if it changed.

        :returns: list of (peer, datagram)
        """
        table = self.loads_by_service.get(self.local_peer.service)
        entry = table and table.entries_by_server.get(self.local_peer.name)
        if not entry or entry.load == self.told_load:
            return []
        self.told_load = entry.load
        own = self.local_peer.service
        peers = self.peers_by_name.values()
        peers = [peer for peer in peers if peer.service == own]
        news = LoadUpdate(entry.to_list(table.clock()))
        chosen = self.random.sample(peers, min(NEWS_FANOUT, len(peers)))
        return [(peer, news) for peer in chosen]

    def merge_load_update(self, news):
        """Merge a load that an agent told."""
        table = self.loads_by_service.get(self.local_peer.service)
        if table is not None:
            table.merge_lists([news.load])

    def digest(self, wants_reply, service=""):
        """Return the own digest.

        :param service: service whose loads the receiver wants
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

        :returns: list of (peer, datagram) to answer with
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
        sends = []
        if digest.version < self.doc.version:
            sends.append((peer, self._catch_up(peer, digest.version)))
        if digest.wants_reply:
            sends.append((peer, self.digest(False, peer.service)))
        if digest.version > self.doc.version:
            sends.extend(self._ask(peer))
        return [send for send in sends if send[1] is not None]

    def push_changes(self, changes):
        """Keep changes that were just applied and push them to some peers.

        :param changes: changes in order, already in the document
        :returns: list of (peer, datagram)
        """
        if not changes:
            return []
        self.recent.extend(changes)
        targets = self._push_targets()
        return [(peer, self._cut(peer, changes)) for peer in targets]

    def changes_received(self, message):
        """Apply a peer's changes.

        :returns: (changes that were new, list of (peer, datagram))
        """
        applied = []
        for fields in message.changes:
            change = Change.from_list(fields)
            if self.doc.apply(change):
                applied.append(change)
        sends = self.push_changes(applied)
        newest = message.changes[-1][0] if message.changes else 0
        if newest > self.doc.version:
            # Changes before these were missed.
            self.freshness.record_newer_version(newest)
            sender = self.peers_by_name.get(message.name)
            sends += self._ask(sender) if sender else []
        return applied, sends

    def _ask(self, ahead):
        """Ask for changes, once in a round whatever comes meanwhile.

        Without this bound two processes, of which one cannot give what the
        other lacks, would send digests to and fro for ever.
        """
        if self.asked_round == self.rounds:
            return []
        self.asked_round = self.rounds
        if self.local_peer.role == "router" and ahead.role == "agent":
            peers = self.peers_by_name.values()
            routers = [peer for peer in peers if peer.role == "router"]
            if not routers:
                return []
            ahead = self.random.choice(routers)
        return [(ahead, self.digest(True, ahead.service))]

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

    def _partner(self):
        # Most rounds are for those who can give most: to a router the other
        # routers, to an agent the agents of its service, with whom it
        # exchanges loads.
        peers = self._reachable()
        others_every = OTHERS_EVERY_BY_ROLE[self.local_peer.role]
        own = self.local_peer.service
        is_own_round = self.rounds % others_every
        chosen = [p for p in peers if (p.service == own) == bool(is_own_round)]
        chosen = chosen or peers
        return self.random.choice(chosen) if chosen else None

    def _reachable(self):
        peers = self.peers_by_name.values()
        if self.local_peer.role == "router":
            return list(peers)
        own = self.local_peer.service
        return [p for p in peers if p.role == "router" or p.service == own]

    def _push_targets(self):
        # An agent holds a part only, which serves no router.
        own = self.local_peer.service
        peers = self._reachable()
        groups = [[peer for peer in peers if peer.service == own]]
        if self.local_peer.role == "router":
            groups.append([peer for peer in peers if peer.role == "agent"])
        return [
            peer
            for group in groups
            for peer in self.random.sample(group, min(PUSH_FANOUT, len(group)))
        ]

    def _catch_up(self, peer, version):
        if (
            self.local_peer.role == "agent"
            and peer.service != self.local_peer.service
        ):
            return None
        missing = [c for c in self.recent if c.version > version]
        complete = missing and missing[0].version == version + 1
        if complete and len(missing) <= CHANGES_PER_DATAGRAM:
            return self._cut(peer, missing)
        return SnapshotOffer(self.doc.version, self.admin)

    def _cut(self, peer, changes):
        if peer.role == "agent" and self.local_peer.role == "router":
            changes = [subset_for_service(c, peer.service) for c in changes]
        return NewChanges(self.local_peer.name, [c.to_list() for c in changes])

    def _loads(self, service):
        loads = self.loads_by_service.get(service or self.local_peer.service)
        return [] if loads is None else loads.freshest(LOADS_PER_DIGEST)
