"""State of one run of a server, from this router's requests to it."""

from boragetrail.direct.connection import ConnectionPool
from boragetrail.policy.outcomes import AttemptResult, OutcomeWindow
from boragetrail.policy.quota import RateQuota
from boragetrail.policy.suspicion import Standing, Suspicion

__all__ = ["ServerState"]


class ServerState:
    """Holds this router's connections, requests and results at one server.

    :param record: :class:`~boragetrail.direct.model.ServerRecord`
    :param clock: function that returns monotonic seconds
    :param knowledge:
        :class:`~boragetrail.direct.knowledge.ServerKnowledge`
    :ivar attempts: set of :class:`~boragetrail.direct.attempt.Attempt` in
        progress
    :ivar in_flight: requests that this router has in flight there
    :ivar pending_tokens: prompt tokens of the requests in flight that the
        server has not yet processed
    :ivar outcomes: :class:`~boragetrail.policy.outcomes.OutcomeWindow` of
        the recent requests
    :ivar suspicion: :class:`~boragetrail.policy.suspicion.Suspicion`
    :ivar cold_until_s: monotonic time until which the server is cold by its
        own responses
    :ivar cold_quota: :class:`~boragetrail.policy.quota.RateQuota` of the
        requests that it gets while it is cold
    """

    def __init__(self, record, clock, knowledge):
        self.record = record
        self.clock = clock
        self.knowledge = knowledge
        self.pool = ConnectionPool(record.address, clock)
        self.attempts = set()
        self.in_flight = 0
        self.pending_tokens = 0
        self.outcomes = OutcomeWindow(clock)
        self.suspicion = Suspicion(clock)
        self.cold_until_s = 0.0
        self.cold_quota = RateQuota(clock)

    def record_failure(self, started_s, retryable=False):
        """Record that the server did not finish a response.

        :param started_s: monotonic time at which the attempt began
        :param retryable: whether the request may be executed more than once
        """
        self._record_result(AttemptResult.LOST, retryable)
        self.suspicion.record_failure(started_s)

    def record_unreachable(self, started_s, retryable=False):
        """Record that the server accepted no connection.

        :param started_s: monotonic time at which the attempt began
        :param retryable: whether the request may be executed more than once
        """
        self._record_result(AttemptResult.LOST, retryable)
        self.suspicion.record_unreachable(started_s)

    def record_connection_failure(self, error, started_s):
        """Record for the server's zone why a connection was not opened.

        A server that refuses a connection shows that its zone is reachable.

        :param error: the exception
        :param started_s: monotonic time at which the attempt began
        """
        reachability = self.knowledge.reachability
        zone = self.record.zone
        if isinstance(error, ConnectionError):
            reachability.record_life(zone)
        else:
            reachability.record_timeout(zone, self.record.id, started_s)

    def record_life(self):
        """Record for the server's zone that the server has answered."""
        self.knowledge.reachability.record_life(self.record.zone)

    def record_response(self, failed=False, retryable=False):
        """Record a complete response.

        :param failed: whether the response reports an error of the server
        :param retryable: whether the request may be executed more than once
        """
        result = AttemptResult.ERROR if failed else AttemptResult.SUCCESS
        self._record_result(result, retryable)
        self.suspicion.record_response()

    def _record_result(self, result, retryable):
        self.outcomes.add(result is not AttemptResult.SUCCESS)
        self.knowledge.on_result(self.record, result, retryable)

    def standing(self):
        """Return the :class:`~boragetrail.policy.suspicion.Standing`.

        A server that may be leaving is avoided.
        """
        if self.knowledge.leaving.is_hinted(self.record):
            return Standing.AVOIDED
        return self.suspicion.standing()

    def is_suspect(self):
        """Return whether the server failed recently or may be leaving."""
        return self.standing() is not Standing.TRUSTED

    def has_connection(self):
        """Return whether a connection to the server is open."""
        in_use = [each.connection for each in self.attempts]
        return any(
            connection is not None and connection.is_connected()
            for connection in [*self.pool.idle_connections, *in_use]
        )

    def record_leaving(self):
        """Record that the server says that it leaves."""
        self.knowledge.leaving.add(self.record)

    def record_pause(self, text):
        """Record that the server asked for a pause.

        :param text: value of its ``Retry-After`` field
        """
        self.knowledge.pauses.add(self.record, text)

    def record_limit(self, text, sent_s):
        """Record the limit that a response names.

        :param text: value of the field, or ``None`` without it
        :param sent_s: monotonic time at which the request was sent
        """
        self.knowledge.hear_limit(self.record, text, sent_s)

    def pause_left_s(self):
        """Return the seconds that are left of a pause, or 0."""
        return self.knowledge.pauses.left_s(self.record)

    def is_leaving(self):
        """Return whether the server told this router that it leaves."""
        return self.record in self.knowledge.leaving

    def accepts_requests(self):
        """Return whether the server wants new requests of this router."""
        return self.knowledge.accepts_requests(self.record)

    def record_cold(self, cold_s):
        """Record the remaining cold time that the server reported.

        :param cold_s: remaining time in seconds
        """
        self.cold_until_s = self.clock() + cold_s
