"""Results of this router's attempts, and what other routers report."""

import collections

from boragetrail.policy.outcomes import (
    MAX_RESULTS,
    AttemptResult,
    OutcomeReport,
)

__all__ = ["AttemptResult", "OutcomeReport", "OwnOutcomes", "ReportStore"]

# Time for which results and reports count.
WINDOW_S = 5.0


class OwnOutcomes:
    """Count this router's results at one run of a server.

    :param clock: function that returns monotonic seconds
    :ivar results: (time, :class:`AttemptResult`, whether the request may be
        repeated) of each result
    :ivar counts: numbers of results by the last two
    """

    __slots__ = ("clock", "results", "counts", "successes", "failed_s")

    def __init__(self, clock):
        self.clock = clock
        self.results = collections.deque()
        self.counts = collections.Counter()
        self.successes = 0
        self.failed_s = float("-inf")

    def add(self, result, retryable):
        """Count a result.

        :param result: :class:`AttemptResult`
        :param retryable: whether the request may be repeated
        """
        now_s = self.clock()
        self.results.append((now_s, result, retryable))
        self.counts[result, retryable] += 1
        if len(self.results) > MAX_RESULTS:
            self._remove_oldest()
        if result is AttemptResult.SUCCESS:
            self.successes += 1
        else:
            self.successes = 0
            self.failed_s = now_s

    def clear(self):
        """Remove the results and successes, since the server was ejected."""
        self.clear_results()
        self.successes = 0

    def clear_results(self):
        """Remove the results, since the server was readmitted.

        Failed trials are no evidence for another ejection. The successes are
        still reported, so that other routers readmit the server too.
        """
        self.results.clear()
        self.counts.clear()

    def has_failures(self):
        """Return whether a failure is recent enough to count."""
        return self.clock() - self.failed_s < WINDOW_S

    def report(self, router, server, successes, ejected_s):
        """Return an :class:`OutcomeReport`.

        :param router: key of the run of this router
        :param server: key of the run of the server
        :param successes: consecutive successful trials to report
        :param ejected_s: monotonic time since which this router has ejected
            the server, or minus infinity
        """
        now_s = self.clock()
        while self.results and now_s - self.results[0][0] >= WINDOW_S:
            self._remove_oldest()
        return OutcomeReport(
            router,
            server,
            _pair(self.counts, AttemptResult.ERROR),
            _pair(self.counts, AttemptResult.LOST),
            len(self.results),
            successes,
            ejected_s,
            self.failed_s,
            now_s,
        )

    def _remove_oldest(self):
        _, result, retryable = self.results.popleft()
        self.counts[result, retryable] -= 1


class ReportStore:
    """Hold the newest reports of other routers.

    :param clock: function that returns monotonic seconds
    :ivar reports_by_server: :class:`OutcomeReport` by router, by server
    """

    MAX_SERVERS = 1024
    MAX_ROUTERS = 1024

    def __init__(self, clock):
        self.clock = clock
        self.reports_by_server = collections.OrderedDict()

    def add(self, report):
        """Add a report; returns whether it is the newest of its router."""
        by_router = self.reports_by_server.setdefault(report.server, {})
        known = by_router.get(report.router)
        if known is not None and known.made_s >= report.made_s:
            return False
        if known is None and len(by_router) >= self.MAX_ROUTERS:
            return False
        by_router[report.router] = report
        if len(self.reports_by_server) > self.MAX_SERVERS:
            self.reports_by_server.popitem(last=False)
        return True

    def remove(self, server):
        """Remove the reports about a server."""
        self.reports_by_server.pop(server, None)

    def recent(self, server):
        """Return the reports about a server that still count, as a list."""
        oldest_s = self.clock() - WINDOW_S
        by_router = self.reports_by_server.get(server, {})
        for router in [
            key for key, each in by_router.items() if each.made_s <= oldest_s
        ]:
            del by_router[router]
        return list(by_router.values())

    def all_recent(self):
        """Return all reports that still count, as a list."""
        servers = list(self.reports_by_server)
        reports = [each for key in servers for each in self.recent(key)]
        for key in servers:
            if not self.reports_by_server[key]:
                del self.reports_by_server[key]
        return reports


def _pair(counts, result):
    return counts[result, False], counts[result, True]
