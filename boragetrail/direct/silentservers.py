"""Attempts at silent servers that are no longer listed.

An entry is removed when its server has ended, was lost, or leaves without
saying so and still works on its requests. A server that runs may send nothing
for a while, so that an engine is queried before its attempts are aborted.
"""

from boragetrail.events import Event, log_event

__all__ = ["SilentServerMonitor"]

UNLISTED_SERVER_ERROR = "the server is no longer listed and sends nothing"


class SilentServerMonitor:
    """Abort the attempts at unlisted servers that are silent and gone.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param engines: :class:`~boragetrail.direct.interfaces.EngineClient`
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :ivar answered_s_by_server: monotonic time of the last answer to a query
        by :class:`~boragetrail.direct.serverstate.ServerState`
    :ivar queried: set of the states of servers with a query in progress
    """

    __slots__ = (
        "fleet",
        "engines",
        "tasks",
        "clock",
        "answered_s_by_server",
        "queried",
    )

    CHECK_INTERVAL_S = 0.25
    # Silence after which an attempt at a server that is gone is aborted.
    MAX_SILENCE_S = 2.0
    # Silence from which an engine is queried, so that its answer is there in
    # time, and time between two queries.
    MIN_QUERIED_SILENCE_S = 0.75
    QUERY_INTERVAL_S = 0.5
    # Age up to which an answer shows that an engine runs.
    MAX_ANSWER_AGE_S = 1.75

    def __init__(self, fleet, engines, tasks):
        self.fleet = fleet
        self.engines = engines
        self.tasks = tasks
        self.clock = fleet.clock
        self.answered_s_by_server = {}
        self.queried = set()

    def check(self):
        """Query silent engines, and abort attempts at servers that are gone.

        Call this each ``CHECK_INTERVAL_S``.
        """
        unlisted = self.fleet.unlisted_states()
        for state in self.fleet.replaced_states_in_use():
            self._abort_silent(state)
        for state in unlisted:
            if self._may_run(state):
                self._query_if_due(state)
            if self._answered_age_s(state) > self.MAX_ANSWER_AGE_S:
                self._abort_silent(state)
        self.answered_s_by_server = {
            state: answered_s
            for state, answered_s in self.answered_s_by_server.items()
            if state in unlisted
        }

    def _may_run(self, state):
        """Return whether a server is an engine whose address is not reused."""
        if not self.fleet.is_engine(state.record):
            return False
        listed = self.fleet.directory.servers_by_id.values()
        return all(
            known.record.address != state.record.address for known in listed
        )

    def _query_if_due(self, state):
        if state in self.queried:
            return
        if _silence_s(state) < self.MIN_QUERIED_SILENCE_S:
            return
        if self._answered_age_s(state) < self.QUERY_INTERVAL_S:
            return
        self.queried.add(state)
        self.tasks.start(self._query(state), "silent engine")

    async def _query(self, state):
        """Record whether the same run of an engine answers."""
        try:
            report = await self.engines.report(state.record.address)
        finally:
            self.queried.discard(state)
        if report is None or report.started_ms != state.record.started_ms:
            return
        self.answered_s_by_server[state] = self.clock()

    def _answered_age_s(self, state):
        answered_s = self.answered_s_by_server.get(state, float("-inf"))
        return self.clock() - answered_s

    def _abort_silent(self, state):
        for attempt in list(state.attempts):
            if attempt.silent_s() >= self.MAX_SILENCE_S:
                log_event(
                    Event.SERVER_UNRESPONSIVE,
                    request=attempt.request_id,
                    server=state.record.id,
                    silent_s=round(attempt.silent_s(), 2),
                )
                attempt.reset(UNLISTED_SERVER_ERROR)


def _silence_s(state):
    """Return the longest silence of the attempts at a server."""
    silences_s = [attempt.silent_s() for attempt in state.attempts]
    return max(silences_s, default=0.0)
