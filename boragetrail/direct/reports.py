"""What servers themselves say of their load."""

import dataclasses

from boragetrail.direct.counts import server_key

__all__ = ["LoadReport", "ReportTable", "parse_load"]


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Hold what a server said of its load.

    :param requests: requests that run or wait there, of all callers
    :param seen_s: monotonic time at which it said so
    :param is_own: whether it said so to this router
    """

    requests: int
    reported_s: float
    is_own: bool


def parse_load(text):
    """Return running and waiting requests of a server, or ``None``.

    >>> parse_load("3,1,8")
    4
    """
    parts = text.split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return int(parts[0]) + int(parts[1])


class ReportTable:
    """Keep the newest report of each server, heard from it or from others.

    :param clock: function that returns monotonic seconds
    """

    # A report that is older says nothing of the load now.
    MAX_AGE_S = 0.8

    def __init__(self, clock):
        self.clock = clock
        self.reports_by_key = {}

    def record(self, server_id, requests):
        """Take over what a server said just now."""
        report = LoadReport(requests, self.clock(), True)
        self.reports_by_key[server_key(server_id)] = report

    def record_from_peer(self, key, requests, age_s):
        """Take over what a router told unless something newer is known.

        :param key: :func:`~boragetrail.direct.counts.server_key`
        """
        reported_s = self.clock() - age_s
        known = self.reports_by_key.get(key)
        if known is None or known.reported_s < reported_s:
            report = LoadReport(requests, reported_s, False)
            self.reports_by_key[key] = report

    def requests(self, server_id):
        """Return the requests that a server lately reported, or 0."""
        report = self.reports_by_key.get(server_key(server_id))
        if report is None or self.clock() - report.reported_s > self.MAX_AGE_S:
            return 0
        return report.requests

    def recent(self):
        """Return (server key, requests, age in ms) of each fresh report.

        Old ones are dropped.
        """
        now = self.clock()
        fresh = {
            key: report
            for key, report in self.reports_by_key.items()
            if now - report.reported_s <= self.MAX_AGE_S
        }
        self.reports_by_key = fresh
        return _told(fresh, now)

    def own_since(self, since_s):
        """Return those of :meth:`recent` that servers told this router.

        :param since_s: monotonic time before which they are left out
        """
        own = {
            key: report
            for key, report in self.reports_by_key.items()
            if report.is_own and report.reported_s >= since_s
        }
        return _told(own, self.clock())


def _told(reports_by_key, now):
    return [
        (key, report.requests, int((now - report.reported_s) * 1000))
        for key, report in reports_by_key.items()
    ]
