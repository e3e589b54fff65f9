"""Knowledge of the runs of servers, whoever heard it."""

from boragetrail.direct.counts import run_key
from boragetrail.direct.knowledge.leaving import LeavingServers
from boragetrail.direct.knowledge.pauses import PauseTable
from boragetrail.events import Event, log_event
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

    :param clock: function that returns monotonic seconds
    :param on_leaving: function that is called with the
        :class:`~boragetrail.direct.model.ServerRecord` of each server that
        says to this router for the first time that it leaves
    :ivar leaving:
        :class:`~boragetrail.direct.knowledge.leaving.LeavingServers`
    :ivar pauses: :class:`~boragetrail.direct.knowledge.pauses.PauseTable`
    :ivar limits: :class:`~boragetrail.policy.serverlimits.LimitTable`
    """

    def __init__(self, clock, on_leaving=lambda record: None):
        self.clock = clock
        self.leaving = LeavingServers(on_leaving)
        self.pauses = PauseTable(clock)
        self.limits = LimitTable()

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
                log_event(
                    Event.LIMIT_INVALID,
                    server=record.id,
                    value=text[:MAX_LOGGED_LENGTH],
                )
                return
            report = LimitReport(run, rate_per_s, self.clock())
        if self.limits.add(report):
            log_event(
                Event.LIMIT_CHANGED,
                server=record.id,
                rate_per_s=report.rate_per_s,
            )
