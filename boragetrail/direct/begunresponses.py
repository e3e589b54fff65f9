"""Responses whose servers have not survived their begin yet."""

__all__ = ["BegunResponses"]


class BegunResponses:
    """Hold attempts from the begin of their response until it is survived.

    A server may crash a moment after it has sent the first event of a
    response, or all of a short one, so neither shows that it survives the
    request. It does if it still runs some time later. That time is counted in
    calls of :meth:`advance`, so that a router which stood still first learns
    which connections were lost meanwhile.

    :ivar calls_left_by_attempt: number of calls until each attempt is due

    >>> begun = BegunResponses()
    >>> begun.add("attempt")
    >>> [begun.advance() for _ in range(5)]
    [[], [], [], ['attempt'], []]
    """

    __slots__ = ("calls_left_by_attempt",)

    CALL_INTERVAL_S = 0.1
    CALLS_UNTIL_DUE = 4

    def __init__(self):
        self.calls_left_by_attempt = {}

    def add(self, attempt):
        """Add an attempt whose response has just progressed.

        :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
        """
        self.calls_left_by_attempt[attempt] = self.CALLS_UNTIL_DUE

    def advance(self):
        """Count one interval; return the attempts that are due.

        They are not held any longer.
        """
        due, left_by_attempt = [], {}
        for attempt, calls_left in self.calls_left_by_attempt.items():
            if calls_left > 1:
                left_by_attempt[attempt] = calls_left - 1
            else:
                due.append(attempt)
        self.calls_left_by_attempt = left_by_attempt
        return due

    def servers(self):
        """Return the servers of the attempts that are held, as a set."""
        return {attempt.server for attempt in self.calls_left_by_attempt}

    def take(self, state):
        """Return the attempts at one run of a server, and hold them no longer.

        :param state: :class:`~boragetrail.direct.serverstate.ServerState`
        """
        taken = [
            attempt
            for attempt in self.calls_left_by_attempt
            if attempt.server is state
        ]
        for attempt in taken:
            del self.calls_left_by_attempt[attempt]
        return taken
