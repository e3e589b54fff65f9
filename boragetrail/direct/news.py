"""Collect what a router tells others."""

from boragetrail.direct.digest import Digest, News
from boragetrail.direct.loads import LoadChanges

__all__ = ["Teller"]


class Teller:
    """Write digests, and news of what has changed between them.

    Both are without the number that their sender gives them.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param choice: :class:`~boragetrail.direct.choice.ServerChoice`
    :param incarnation: id of this run of the router
    :param gossip_port: port at which the router gets datagrams
    :param relay_port: port at which it gives rows
    :param link_mbps: speed of its link in megabits a second
    """

    __slots__ = (
        "fleet",
        "choice",
        "incarnation",
        "gossip_port",
        "relay_port",
        "link_mbps",
        "changes",
        "told_s",
    )

    def __init__(
        self, fleet, choice, incarnation, gossip_port, relay_port, link_mbps
    ):
        self.fleet = fleet
        self.choice = choice
        self.incarnation = incarnation
        self.gossip_port = gossip_port
        self.relay_port = relay_port
        self.link_mbps = link_mbps
        self.changes = LoadChanges()
        self.told_s = 0.0

    def digest(self, steady_s, leaving):
        """Return all that others should know.

        :param steady_s: seconds for which the store was surely heard
        :param leaving: whether the router stops
        :returns: :class:`~boragetrail.direct.digest.Digest`
        """
        return Digest(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            relay_port=self.relay_port,
            versions_by_table=self.fleet.directory.versions(),
            loads_by_id=self.fleet.loads_by_id(),
            reports_by_id=self.fleet.reports.recent(),
            placements=self.choice.recent_placements(),
            steady_s=steady_s,
            up_s=self.fleet.peers.up_s(),
            link_mbps=self.link_mbps,
            peers=[],
            leaving=leaving,
            wants_reply=False,
        )

    def take_news(self):
        """Return :class:`~boragetrail.direct.digest.News`, or ``None``.

        There is news once a request was placed at a server that is not
        known to keep the parts of its prompt.
        """
        if not self.choice.take_news():
            return None
        since_s, self.told_s = self.told_s, self.fleet.clock()
        return News(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=self.gossip_port,
            versions_by_table=self.fleet.directory.versions(),
            loads_by_id=self.changes.take(self.fleet.loads_by_id()),
            reports_by_id=self.fleet.reports.own_since(since_s),
            placements=self.choice.recent_placements(),
        )
