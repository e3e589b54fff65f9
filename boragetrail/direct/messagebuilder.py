"""Collect what a router tells others."""

from boragetrail.direct.datagrams import Digest, Update
from boragetrail.direct.relayedshards import RelayedShard
from boragetrail.direct.work import split_work

__all__ = ["MessageBuilder"]


class MessageBuilder:
    """Write digests, and news of work between them.

    Both are without the number that their sender gives them.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param hearing_by_table:
        :class:`~boragetrail.direct.liveness.StoreHearing` by table
    :param incarnation: id of this run of the router
    :param gossip_port: port at which the router gets datagrams
    :param relay_port: port at which it gives rows
    :param link_mbps: speed of its link in megabits a second
    """

    __slots__ = (
        "fleet",
        "liveness_by_table",
        "incarnation",
        "gossip_port",
        "relay_port",
        "link_mbps",
        "last_update",
        "last_update_s",
        "row",
    )

    # Most servers whose outcomes and reports a digest tells.
    MOST_SERVERS = 40
    # Rows of other routers that news pass on.
    RELAYED = 3

    def __init__(
        self,
        fleet,
        liveness_by_table,
        incarnation,
        gossip_port,
        relay_port,
        link_mbps,
    ):
        self.fleet = fleet
        self.liveness_by_table = liveness_by_table
        self.incarnation = incarnation
        self.gossip_port = gossip_port
        self.relay_port = relay_port
        self.link_mbps = link_mbps
        self.last_update = None
        self.last_update_s = 0.0
        self.row = 0

    def digest(self, turned_away, leaving):
        """Return all that others should know.

        :param turned_away: whether the store does not answer this router
        :param leaving: whether the router stops
        :returns: :class:`~boragetrail.direct.datagrams.Digest`
        """
        part, parts, work = self._next_row(self.fleet.work())
        return Digest(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            relay_port=self.relay_port,
            versions_by_table=self.fleet.directory.versions(),
            part=part,
            parts=parts,
            work=work,
            outcomes=self._some(self.fleet.outcomes()),
            reports=self._some(self.fleet.reports.recent()),
            store=self._store(),
            turned_away=turned_away,
            up_s=self.fleet.peers.up_s(),
            link_mbps=self.link_mbps,
            peers=[],
            leaving=leaving,
            wants_reply=False,
        )

    def take_update(self):
        """Return :class:`~boragetrail.direct.datagrams.News`, or ``None``.

        There is news once this router's work at servers has changed, a part
        of a prompt has a new place or rows of the platform are newer.
        """
        versions = self.fleet.directory.versions()
        work = self.fleet.work()
        placements = self.fleet.placements.take_batch()
        if not placements and self.last_update == (versions, work):
            return None
        self.last_update = (versions, work)
        since_s, self.last_update_s = self.last_update_s, self.fleet.clock()
        part, parts, work = self._next_row(work)
        return Update(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            versions_by_table=versions,
            store=self._store(),
            part=part,
            parts=parts,
            work=work,
            relayed=self._relayed(),
            reports=self._some(self.fleet.reports.own_since(since_s)),
            placements=placements,
        )

    def _store(self):
        """Return [age in ms, steady time in ms] by table."""
        return {
            table.value: [
                int(liveness.age_s() * 1000),
                int(liveness.uptime_s() * 1000),
            ]
            for table, liveness in self.liveness_by_table.items()
        }

    def _next_row(self, work):
        """Return (part, parts, entries) of the rows of work in turn."""
        rows = split_work(work)
        self.row += 1
        part = self.row % len(rows)
        return part, len(rows), rows[part]

    def _relayed(self):
        """Return rows of other routers, if they need help to reach all."""
        peers = self.fleet.peers
        if not peers.needs_relaying():
            return []
        now = self.fleet.clock()
        return [
            RelayedShard(
                *row.address,
                row.incarnation,
                row.sequence,
                int((now - row.sent_s) * 1000),
                row.part,
                row.parts,
                row.entries,
            )
            for row in peers.work.sample_for_relay(self.RELAYED)
        ]

    def _some(self, entries):
        """Return entries of a bounded number of servers, by chance."""
        if len(entries) <= self.MOST_SERVERS:
            return entries
        return self.fleet.peers.random.sample(entries, self.MOST_SERVERS)
