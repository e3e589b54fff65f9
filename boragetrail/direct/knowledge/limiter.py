"""Keeping of the limits that servers name, as far as this router sends."""

import collections

from boragetrail.direct.counts import run_key
from boragetrail.policy.serverlimits import LimitQuota

__all__ = ["RequestLimiter"]


class RequestLimiter:
    """Hold this router's quota of the limit of each run of a server.

    :param table: :class:`~boragetrail.policy.serverlimits.LimitTable`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    """

    MAX_RUNS = 4096
    # Time for which the number of routers and the own rank are kept, since
    # both take a look at each peer.
    PLACE_LIFE_S = 0.5

    def __init__(self, table, peers):
        self.table = table
        self.peers = peers
        self.quotas_by_run = collections.OrderedDict()
        self.places_by_run = {}
        self.places_until_s = 0.0

    def is_limited(self, record):
        """Return whether a server limits its rate."""
        return self.table.report(run_key(record)) is not None

    def wait_s(self, record):
        """Return the seconds until a server may get a request, or 0."""
        run = run_key(record)
        report = self.table.report(run)
        if report is None:
            return 0.0
        return self._quota(run).wait_s(report, *self._place(record))

    def try_acquire(self, record):
        """Count a request to a server if its limit allows it.

        :returns: monotonic time at which it was counted, or ``None`` if it
            must not be sent
        """
        run = run_key(record)
        report = self.table.report(run)
        place = self._place(record) if report is not None else (1, 0)
        return self._quota(run).try_acquire(report, *place)

    def confirm(self, record, acquired_s):
        """Count a request anew that is only sent now.

        Its server may have named a limit since, or the time at which it was
        counted may be long ago.

        :param acquired_s: monotonic time at which it was counted
        :returns: whether the request may still be sent
        """
        self._quota(run_key(record)).give_back(acquired_s)
        return self.try_acquire(record) is not None

    def _quota(self, run):
        quota = self.quotas_by_run.get(run)
        if quota is None:
            quota = LimitQuota(self.peers.clock)
            self.quotas_by_run[run] = quota
            if len(self.quotas_by_run) > self.MAX_RUNS:
                self.quotas_by_run.popitem(last=False)
        return quota

    def _place(self, record):
        """Return (number of routers, rank of this router at a server)."""
        now_s = self.peers.clock()
        if now_s >= self.places_until_s:
            self.places_by_run.clear()
            self.places_until_s = now_s + self.PLACE_LIFE_S
        run = run_key(record)
        place = self.places_by_run.get(run)
        if place is None:
            place = self.peers.max_size(), self.peers.max_rank(record.id)
            self.places_by_run[run] = place
        return place
