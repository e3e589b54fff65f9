"""Responses to the requests of a rollout, summed over routers."""

from boragetrail.policy.rollout import Counts, compare, is_alarming

__all__ = ["EvidenceTable"]


class EvidenceTable:
    """Hold the counts of each router, and their sums.

    Counts only grow, and the larger of two is the newer one, so records may
    be lost, repeated or arrive in any order.

    :ivar counts_by_router: :class:`~boragetrail.policy.rollout.Counts` by
        (slot, key of the route), by key of the router
    :ivar sums: sums of the same over all routers
    """

    MAX_ROUTERS = 512
    MAX_STRATA = 4096

    __slots__ = ("counts_by_router", "sums", "compared")

    def __init__(self):
        self.counts_by_router = {}
        self.sums = {}
        self.compared = compare({})

    def add(self, router, cells):
        """Add what a router has counted so far.

        :param router: key of the run of the router
        :param cells: list of (slot, key of the route, counts)
        """
        known = self.counts_by_router.get(router)
        if known is None:
            if len(self.counts_by_router) >= self.MAX_ROUTERS:
                return
            known = self.counts_by_router[router] = {}
        for slot, route, counts in cells:
            self._add_cell(known, (slot, route), counts)

    def comparison(self):
        """Return the :class:`~boragetrail.policy.rollout.Comparison`."""
        if self.compared is None:
            self.compared = compare(self.sums)
        return self.compared

    def is_alarming(self, first_slot):
        """Return whether the slots from one on give rise to an alarm.

        See :func:`~boragetrail.policy.rollout.is_alarming`.
        """
        recent = [
            counts
            for (slot, _), counts in self.sums.items()
            if slot >= first_slot
        ]
        return is_alarming(_total(recent), _total(self.sums.values()))

    def _add_cell(self, known, stratum, counts):
        if stratum not in self.sums:
            if len(self.sums) >= self.MAX_STRATA:
                return
            self.sums[stratum] = Counts()
        before = known.get(stratum, Counts()).values()
        after = [max(*pair) for pair in zip(before, counts.values())]
        total = [
            old + new - was
            for old, new, was in zip(
                self.sums[stratum].values(), after, before
            )
        ]
        known[stratum] = Counts(*after)
        self.sums[stratum] = Counts(*total)
        self.compared = None


def _total(many):
    columns = zip(*(counts.values() for counts in many))
    return Counts(*map(sum, columns))
