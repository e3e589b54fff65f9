"""Collect what other routers should hear soon."""

from boragetrail.direct.digest import News
from boragetrail.direct.loads import LoadChanges

__all__ = ["NewsCollector"]


class NewsCollector:
    """Remember what was told, and find out what is new.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param choice: :class:`~boragetrail.direct.choice.ServerChoice`
    :param incarnation: id of this run of the router
    """

    __slots__ = ("fleet", "choice", "incarnation", "changes", "told_s")

    def __init__(self, fleet, choice, incarnation):
        self.fleet = fleet
        self.choice = choice
        self.incarnation = incarnation
        self.changes = LoadChanges()
        self.told_s = 0.0

    def take(self, gossip_port):
        """Return :class:`~boragetrail.direct.digest.News`, or ``None``.

        There is news once a request was placed at a server that is not
        known to keep the parts of its prompt.

        :param gossip_port: port at which this router gets datagrams
        """
        if not self.choice.take_news():
            return None
        since_s, self.told_s = self.told_s, self.fleet.clock()
        return News(
            incarnation=self.incarnation,
            sequence=0,
            gossip_port=gossip_port,
            versions_by_table=self.fleet.directory.versions(),
            loads_by_id=self.changes.take(self.fleet.loads_by_id()),
            reports_by_id=self.fleet.reports.own_since(since_s),
            placements=self.choice.recent_placements(),
        )
