"""Knowledge of the runs of servers, whoever heard it."""

import dataclasses

from boragetrail.direct.counts import run_key
from boragetrail.direct.knowledge.leaving import Leaving, LeavingServers
from boragetrail.direct.knowledge.limiter import RequestLimiter
from boragetrail.direct.knowledge.pauses import PauseTable
from boragetrail.direct.knowledge.streams import StreamOrigins
from boragetrail.events import Event, log_event
from boragetrail.policy.reachability import ZoneReachability
from boragetrail.policy.serverlimits import (
    LimitReport,
    LimitTable,
    parse_limit,
)

__all__ = ["ServerKnowledge"]

MAX_LOGGED_LENGTH = 80


class ServerKnowledge:
    """Hold what each run of a server has said of itself.

    A run is a server from one start to the next; a later run has said
    nothing yet. What is known of a run does not depend on its entry in the
    platform's store, which may vanish and come back.

    What one router hears, all routers need. News are passed to :attr:`tell`,
    those of other routers come to :meth:`apply`, and a router that starts
    gets a :meth:`snapshot`.

    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :ivar leaving:
        :class:`~boragetrail.direct.knowledge.leaving.LeavingServers`
    :ivar pauses: :class:`~boragetrail.direct.knowledge.pauses.PauseTable`
    :ivar limits: :class:`~boragetrail.policy.serverlimits.LimitTable`
    :ivar limiter:
        :class:`~boragetrail.direct.knowledge.limiter.RequestLimiter`
    :ivar streams:
        :class:`~boragetrail.direct.knowledge.streams.StreamOrigins`
    :ivar reachability:
        :class:`~boragetrail.policy.reachability.ZoneReachability` from this
        router
    :ivar tell: function that sends a record to all other routers at once
    :ivar on_result: function that is called with the
        :class:`~boragetrail.direct.model.ServerRecord`, the
        :class:`~boragetrail.direct.ejection.outcomes.AttemptResult` and
        whether the request may be repeated, for each result of an attempt
    """

    # Longest time for which a datagram of another router is on its way.
    MAX_DELAY_S = 0.5

    def __init__(self, peers):
        self.clock = peers.clock
        self.random = peers.random
        self.tell = lambda record: None
        self.on_result = lambda record, result, retryable: None
        self.leaving = LeavingServers(self._server_leaves)
        self.pauses = PauseTable(peers.clock)
        self.limits = LimitTable(peers.clock)
        self.invalid_limit_runs = set()
        self.limiter = RequestLimiter(self.limits, peers)
        self.streams = StreamOrigins(peers)
        self.reachability = ZoneReachability(peers.clock)

    def accepts_requests(self, record):
        """Return whether a server wants new requests of this router.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        if record in self.leaving:
            return False
        return not self.pauses.left_s(record)

    def hear_limit(self, record, text, sent_s):
        """Record the limit that a response of a server names.

        An invalid value leaves the known limit as it is.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :param text: value of the header field, or ``None`` without it
        :param sent_s: monotonic time at which the request was sent
        """
        run = run_key(record)
        if text is None:
            report = LimitReport(run, None, sent_s)
        else:
            rate_per_s = parse_limit(text)
            if rate_per_s is None:
                self._log_invalid_limit(record, text)
                return
            report = LimitReport(run, rate_per_s, self.clock())
        if self.limits.add(report):
            log_event(
                Event.LIMIT_CHANGED,
                server=record.id,
                rate_per_s=report.rate_per_s,
            )
            self.tell(report)

    def tell_end(self, record):
        """Tell all routers again that a server has ended its limit.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        report = self.limits.reports_by_server.get(run_key(record))
        if report is not None and report.rate_per_s is None:
            self.tell(report)

    def apply(self, record):
        """Add a record that another router heard.

        :param record: :class:`~boragetrail.direct.knowledge.leaving.Leaving`
            or :class:`~boragetrail.policy.serverlimits.LimitReport`
        :returns: whether it is new
        """
        if isinstance(record, Leaving):
            return self.leaving.add_hint(record)
        if record.rate_per_s is None:
            # Its age does not include the time on the way.
            heard_s = record.heard_s - self.MAX_DELAY_S
            record = dataclasses.replace(record, heard_s=heard_s)
        return self.limits.add(record)

    def snapshot(self, count=None):
        """Return the records that a router that starts needs.

        :param count: size of a random sample, or ``None`` for all
        :returns: list
        """
        records = self.limits.recent()
        if count is None or len(records) <= count:
            return records
        return self.random.sample(records, count)

    def _log_invalid_limit(self, record, text):
        """Log an invalid limit once for each run of a server."""
        run = run_key(record)
        if run in self.invalid_limit_runs:
            return
        if len(self.invalid_limit_runs) >= LimitTable.MAX_RUNS:
            self.invalid_limit_runs.clear()
        self.invalid_limit_runs.add(run)
        log_event(
            Event.LIMIT_INVALID,
            server=record.id,
            value=text[:MAX_LOGGED_LENGTH],
        )

    def _server_leaves(self, record):
        log_event(Event.SERVER_SAYS_LEAVING, server=record.id)
        self.tell(Leaving(run_key(record)))
