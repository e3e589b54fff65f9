"""Limits on the request rate that backend servers name themselves."""

import collections
import dataclasses
import math

__all__ = ["LimitReport", "LimitTable", "parse_limit"]

# A limit of zero or below this rate still lets a request through now and
# then, since the server can only end its limit in a response.
MIN_RATE_PER_S = 0.1
MAX_RATE_PER_S = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class LimitReport:
    """Tell which limit a run of a server named.

    :param server: key of one run of the server
    :param rate_per_s: requests per second that the server takes from all
        routers together, or ``None`` if it named no limit
    :param heard_s: monotonic time of the statement: at the latest for a
        limit, at the earliest for no limit
    """

    server: int
    rate_per_s: float | None
    heard_s: float


def parse_limit(text):
    """Return the limit that a response names.

    :param text: value of the header field, in requests per second
    :returns: rate from ``MIN_RATE_PER_S`` to ``MAX_RATE_PER_S``, or ``None``
        if the value is invalid

    >>> parse_limit("2.5"), parse_limit("0"), parse_limit("soon")
    (2.5, 0.1, None)
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    if math.isnan(rate) or rate < 0:
        return None
    return min(max(rate, MIN_RATE_PER_S), MAX_RATE_PER_S)


class LimitTable:
    """Hold the newest limit of each run of a server.

    A server may name a limit in one response and none in another that was
    begun before, so the order of arrival does not tell which holds. A limit
    was named when its response arrived, or before. That a server names none
    is only sure of the time at which the request was sent, or later. By these
    times the newest statement holds, whichever router heard it.

    >>> table = LimitTable()
    >>> table.add(LimitReport(7, 2.5, 10.0)), table.rate_per_s(7)
    (True, 2.5)
    >>> table.add(LimitReport(7, None, 9.9)), table.rate_per_s(7)
    (False, 2.5)
    >>> table.add(LimitReport(7, None, 10.1)), table.rate_per_s(7)
    (True, None)
    """

    MAX_RUNS = 4096

    def __init__(self):
        self.reports_by_server = collections.OrderedDict()

    def add(self, report):
        """Add a statement.

        :param report: :class:`LimitReport`
        :returns: whether the limit of the server changed
        """
        known = self.reports_by_server.get(report.server)
        if known is None and report.rate_per_s is None:
            return False
        if known is not None and report.heard_s <= known.heard_s:
            return False
        self.reports_by_server[report.server] = report
        self.reports_by_server.move_to_end(report.server)
        if len(self.reports_by_server) > self.MAX_RUNS:
            self.reports_by_server.popitem(last=False)
        return known is None or known.rate_per_s != report.rate_per_s

    def rate_per_s(self, server):
        """Return the limit of a run of a server, or ``None``.

        :param server: key of the run
        """
        report = self.reports_by_server.get(server)
        return report.rate_per_s if report is not None else None
