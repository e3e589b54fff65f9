"""Limits on the request rate that backend servers name themselves.

A limit applies to all routers together, and none of them sees all requests.
Each router keeps a part of it, without asking the others.
"""

import collections
import dataclasses
import math

__all__ = [
    "MAX_RATE_PER_S",
    "LimitQuota",
    "LimitReport",
    "LimitTable",
    "parse_limit",
]

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
    :param began_s: monotonic time since which this router has known of a
        limit, or of none, of the run
    """

    server: int
    rate_per_s: float | None
    heard_s: float
    began_s: float = -math.inf


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

    :param clock: function that returns monotonic seconds
    :ivar reports_by_server: newest :class:`LimitReport` by key of the run

    >>> table = LimitTable(lambda: 11.0)
    >>> table.add(LimitReport(7, 2.5, 10.0)), table.rate_per_s(7)
    (True, 2.5)
    >>> table.add(LimitReport(7, None, 9.9)), table.rate_per_s(7)
    (False, 2.5)
    >>> table.add(LimitReport(7, None, 10.1)), table.rate_per_s(7)
    (True, None)
    """

    MAX_RUNS = 4096
    # Age up to which limits, and ends of limits, are told to other routers.
    MAX_LIMIT_AGE_S = 60.0
    MAX_END_AGE_S = 10.0
    # Time for which a server is asked again after the end of its limit.
    CONFIRM_S = 1.2

    def __init__(self, clock):
        self.clock = clock
        self.reports_by_server = collections.OrderedDict()

    def add(self, report):
        """Add a statement.

        :param report: :class:`LimitReport`
        :returns: whether the limit of the server changed
        """
        server = report.server
        known = self.reports_by_server.get(server)
        if known is None and report.rate_per_s is None:
            return False
        if known is not None and report.heard_s <= known.heard_s:
            return False
        had_limit = known is not None and known.rate_per_s is not None
        began_s = self.clock()
        if known is not None and had_limit == (report.rate_per_s is not None):
            began_s = known.began_s
        report = dataclasses.replace(report, began_s=began_s)
        self.reports_by_server[server] = report
        self.reports_by_server.move_to_end(server)
        if len(self.reports_by_server) > self.MAX_RUNS:
            self.reports_by_server.popitem(last=False)
        return known is None or known.rate_per_s != report.rate_per_s

    def report(self, server):
        """Return the :class:`LimitReport` of a limit in force, or ``None``.

        :param server: key of one run of the server
        """
        report = self.reports_by_server.get(server)
        if report is None or report.rate_per_s is None:
            return None
        return report

    def runs_to_query(self):
        """Return the keys of the runs that have a limit, or just had one.

        Other routers may have heard of a limit later than this one, and take
        its end for older news. They have to be told of it again.
        """
        now_s = self.clock()
        return {
            server
            for server, report in self.reports_by_server.items()
            if report.rate_per_s is not None
            or now_s - report.began_s < self.CONFIRM_S
        }

    def rate_per_s(self, server):
        """Return the limit of a run of a server, or ``None``."""
        report = self.report(server)
        return report.rate_per_s if report is not None else None

    def recent(self):
        """Return the reports that other routers may not know, as a list."""
        now_s = self.clock()
        return [
            report
            for report in self.reports_by_server.values()
            if now_s - report.heard_s < self.MAX_LIMIT_AGE_S
            and (
                report.rate_per_s is not None
                or now_s - report.began_s < self.MAX_END_AGE_S
            )
        ]


class LimitQuota:
    """A router's part of the limit of one run of a server.

    The requests of a window are divided among the routers; those with the
    lowest ranks get what is left over. The window is the shortest in which
    each router has a request, up to the last of ``WINDOWS_S``, so that
    requests arrive evenly. What a router sent before it knew the limit counts
    as well. In long windows the routers take turns, since all of them hear of
    a limit at the same time, and its end is only said in a response.

    The server's silence says nothing about its limit. If no router has heard
    from it for long, one after another sends a request, by rank.

    :param clock: function that returns monotonic seconds

    >>> quota = LimitQuota(lambda: 0.0)
    >>> report = LimitReport(7, 5.0, 0.0)
    >>> [quota.try_acquire(report, 4, 0) for _ in range(3)]
    [0.0, 0.0, None]
    """

    # Windows that are tried, before they are stretched.
    WINDOWS_S = (1.0, 2.0, 4.0)
    # The windows are longer than a server's, since requests that are sent in
    # two windows can arrive in one.
    STRETCH = 1.1
    # Silence of the server after which the router of the first rank sends a
    # request; that of the next rank waits as long again.
    SILENCE_S = 10.0

    __slots__ = ("clock", "sent_s")

    def __init__(self, clock):
        self.clock = clock
        self.sent_s = collections.deque()

    def try_acquire(self, report, routers, rank):
        """Count one more request if the quota allows it.

        :param report: :class:`LimitReport` in force, or ``None``
        :param routers: number of routers that may send
        :param rank: this router's rank among them; 0 is the first
        :returns: monotonic time at which it was counted, or ``None`` if it
            must not be sent
        """
        if report is not None and self.wait_s(report, routers, rank):
            return None
        self._trim(self._longest_window_s(report))
        now_s = self.clock()
        self.sent_s.append(now_s)
        return now_s

    def give_back(self, sent_s):
        """Remove a request that was counted but not sent.

        :param sent_s: monotonic time at which it was counted
        """
        if sent_s in self.sent_s:
            self.sent_s.remove(sent_s)

    def wait_s(self, report, routers, rank):
        """Return the seconds until the quota allows a request, or 0.

        A router without a part of the limit is one window away from it at the
        most, since callers that return come to another router.

        :param report: :class:`LimitReport` in force
        :param routers: number of routers that may send
        :param rank: this router's rank among them
        """
        total, window_s = self._window(report.rate_per_s, routers)
        share = total // routers + (rank < total % routers)
        now_s = self.clock()
        last_s = self.sent_s[-1] if self.sent_s else -math.inf
        since_s = max(report.heard_s, last_s)
        silence_s = since_s + (rank + 1) * self._silence_s(report) - now_s
        wait_s = max(0.0, min(silence_s, window_s))
        if share:
            due_s = self._due_s(share, window_s, now_s)
            is_long = window_s > self.STRETCH * self.WINDOWS_S[0]
            if is_long and last_s <= report.began_s:
                first_s = max(report.began_s, last_s + window_s)
                due_s = first_s + window_s * rank / routers
            wait_s = min(wait_s, max(0.0, due_s - now_s))
        return wait_s

    def _due_s(self, share, window_s, now_s):
        """Return from when on a window has room for a request."""
        recent = [each for each in self.sent_s if now_s - each < window_s]
        if len(recent) < share:
            return now_s
        return recent[-share] + window_s

    def _window(self, rate_per_s, routers):
        """Return (requests of all routers in a window, its length)."""
        for window_s in self.WINDOWS_S:
            length_s = self.STRETCH * window_s
            total = math.ceil(rate_per_s * length_s)
            if total >= routers:
                break
        if rate_per_s * length_s < 1:
            return 1, self.STRETCH / rate_per_s
        return total, length_s

    def _silence_s(self, report):
        return max(self.SILENCE_S, self.STRETCH / report.rate_per_s)

    def _longest_window_s(self, report):
        longest_s = self.STRETCH * self.WINDOWS_S[-1]
        if report is None:
            return longest_s
        return max(longest_s, self.STRETCH / report.rate_per_s)

    def _trim(self, window_s):
        oldest_s = self.clock() - window_s
        while self.sent_s and self.sent_s[0] <= oldest_s:
            self.sent_s.popleft()
