"""Suspicion that a server cannot be reached or does not answer.

After a failure, requests avoid the server for a time, which ends early with
any sign of life: a connection that opens, or a response that some router gets.
As long as the server has not answered this router in full, it gets one trial
request at a time, like behind a half-open circuit breaker [1]_.

.. [1] M. Nygard, "Release It!", Pragmatic Bookshelf 2007.
"""

import enum

__all__ = ["Standing", "Suspicion"]


class Standing(enum.IntEnum):
    """Tell whether requests should be sent to a server; lower is better.

    ``ON_TRIAL`` servers are preferred to servers above the load bound,
    ``AVOIDED`` servers are not preferred to any.
    """

    TRUSTED = 0
    ON_TRIAL = 1
    AVOIDED = 2


class Suspicion:
    """Suspicion of one router against one run of a server.

    :param clock: function that returns monotonic seconds
    :ivar unreachable: whether the last connection could not be opened
    :ivar failed_s: monotonic time of the last failure
    :ivar alive_s: monotonic time of the last sign of life
    :ivar failures: number of failures since the last complete response;
        requests that are lost together count once
    :ivar has_trial: whether a trial request is in progress

    >>> suspicion = Suspicion(lambda: 10.0)
    >>> suspicion.record_failure(started_s=9.5)
    >>> suspicion.standing().name
    'AVOIDED'
    >>> suspicion.record_response()
    >>> suspicion.standing().name
    'TRUSTED'
    """

    # Pause after a failure; it doubles with each further failure.
    MIN_PAUSE_S = 0.5
    MAX_PAUSE_S = 4.0
    # Part of a pause after which a trial is better than to crowd others.
    TRIAL_AFTER = 0.25

    __slots__ = (
        "clock",
        "unreachable",
        "failed_s",
        "alive_s",
        "failures",
        "has_trial",
    )

    def __init__(self, clock):
        self.clock = clock
        self.unreachable = False
        self.failed_s = float("-inf")
        self.alive_s = float("-inf")
        self.failures = 0
        self.has_trial = False

    def record_failure(self, started_s):
        """Record that a request failed at the server.

        :param started_s: monotonic time at which the attempt began
        """
        if not self.failures or started_s >= self.failed_s:
            self.failures += 1
        self.failed_s = self.clock()

    def record_unreachable(self, started_s):
        """Record that no connection could be opened.

        :param started_s: monotonic time at which the attempt began
        """
        self.unreachable = True
        self.record_failure(started_s)

    def record_connection(self):
        """Record that a connection was opened."""
        if self.unreachable:
            self.record_life()

    def record_life(self):
        """Record that the server has begun to respond to this router."""
        self.unreachable = False
        self.alive_s = self.clock()

    def record_life_at_peer(self, responded_s):
        """Record that the server responds to another router.

        It may be unreachable from this router all the same.

        :param responded_s: monotonic time of the response
        """
        self.alive_s = max(self.alive_s, responded_s)

    def record_response(self):
        """Record a complete response to this router."""
        self.record_life()
        self.failures = 0

    def try_begin_trial(self):
        """Count a request as the trial if it goes to a suspect server.

        :returns: whether it is the trial
        """
        if not self.failures or self.has_trial:
            return False
        self.has_trial = True
        return True

    def end_trial(self):
        """Record that the trial has ended."""
        self.has_trial = False

    def standing(self):
        """Return the :class:`Standing` of the server."""
        if not self.failures:
            return Standing.TRUSTED
        if self.unreachable:
            return Standing.AVOIDED
        if self.alive_s >= self.failed_s:
            return Standing.TRUSTED
        if self.has_trial:
            return Standing.AVOIDED
        pause_s = self.MIN_PAUSE_S * 2 ** (self.failures - 1)
        pause_s = min(self.MAX_PAUSE_S, pause_s)
        since_s = self.clock() - self.failed_s
        if since_s >= pause_s:
            return Standing.TRUSTED
        if since_s >= self.TRIAL_AFTER * pause_s:
            return Standing.ON_TRIAL
        return Standing.AVOIDED
