"""Load reports that servers send with their responses."""

import dataclasses
import math

from boragetrail.direct.counts import server_key

__all__ = ["LoadReport", "ReportTable", "parse_load", "reports_speed"]


# Fields of a load header with running and waiting requests, slots, and the
# time that work takes.
SPEED_FIELDS = 4


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Holds the load that a server reported.

    :param requests: number of running and waiting requests, from all routers
    :param reported_s: monotonic time of the report
    :param is_own: whether this router itself received the report
    """

    requests: int
    reported_s: float
    is_own: bool


def parse_load(text):
    """Return the number of requests that a load header reports.

    :param text: header value, ``RUNNING,WAITING`` and further numbers
    :returns: sum of the running and the waiting requests, or ``None`` if the
        value is malformed

    >>> parse_load("3,1,8")
    4
    >>> parse_load("\u00b2,1,8")
    """
    parts = text.split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    try:
        return int(parts[0]) + int(parts[1])
    except ValueError:
        # Some characters are digits but no decimals, and the length is
        # limited.
        return None


def reports_speed(text):
    """Return whether a load header has a figure about the server's speed.

    :param text: header value

    >>> reports_speed("3,1,8,100"), reports_speed("3,1,8")
    (True, False)
    >>> reports_speed("x,1,8,100")
    False
    """
    fields = text.split(",")
    return len(fields) == SPEED_FIELDS and all(
        field.isdecimal() for field in fields
    )


class ReportTable:
    """Holds the newest load report of each server.

    A report comes from the server itself or from another router.

    :param clock: function that returns monotonic seconds
    """

    # Age up to which reports are used. Older reports say nothing about the
    # current load.
    MAX_AGE_S = 0.8

    def __init__(self, clock):
        self.clock = clock
        self.reports_by_key = {}

    def record(self, server_id, requests):
        """Record a report that a server has just sent to this router.

        :param server_id: id of the server
        :param requests: running and waiting requests
        """
        report = LoadReport(requests, self.clock(), True)
        self.reports_by_key[server_key(server_id)] = report

    def record_from_peer(self, key, requests, age_s):
        """Record a peer's report unless a newer report is known.

        :param key: :func:`~boragetrail.direct.counts.server_key`
        :param requests: running and waiting requests
        :param age_s: age of the report in seconds
        """
        reported_s = self.clock() - age_s
        known = self.reports_by_key.get(key)
        if known is None or known.reported_s < reported_s:
            report = LoadReport(requests, reported_s, False)
            self.reports_by_key[key] = report

    def requests(self, server_id):
        """Return the number of requests that a server recently reported.

        :returns: number, or 0 if there is no recent report
        """
        report = self.reports_by_key.get(server_key(server_id))
        if report is None or self.clock() - report.reported_s > self.MAX_AGE_S:
            return 0
        return report.requests

    def reported_s(self, server_id):
        """Return the monotonic time of a server's newest report.

        :returns: time, or minus infinity if there is no report
        """
        report = self.reports_by_key.get(server_key(server_id))
        return report.reported_s if report is not None else -math.inf

    def recent(self):
        """Return the recent reports and remove all older ones.

        :returns: list of (server key, requests, age in ms)
        """
        now_s = self.clock()
        fresh = {
            key: report
            for key, report in self.reports_by_key.items()
            if now_s - report.reported_s <= self.MAX_AGE_S
        }
        self.reports_by_key = fresh
        return _to_counts(fresh, now_s)

    def own_since(self, since_s):
        """Return reports that servers sent to this router since a time.

        :param since_s: monotonic time
        :returns: list of (server key, requests, age in ms)
        """
        own = {
            key: report
            for key, report in self.reports_by_key.items()
            if report.is_own and report.reported_s >= since_s
        }
        return _to_counts(own, self.clock())


def _to_counts(reports_by_key, now_s):
    return [
        (key, report.requests, int((now_s - report.reported_s) * 1000))
        for key, report in reports_by_key.items()
    ]
