"""Graceful shutdown of a router.

The load balancer sends requests for some seconds after the stop signal, and
callers use open connections for as long as the router keeps them. A request
that is passed on has to end within the grace period, else its caller would
get no answer and not know whether it was executed.
"""

import asyncio

from boragetrail.errors import Refusal
from boragetrail.reasons import Executed, Reason

__all__ = ["Shutdown"]

# Time for which the load balancer still opens connections: until the second
# health check fails, of one each second. Callers that are refused later reach
# another router.
BALANCER_LAG_S = 2.5
# Delay after it, at which the port and the idle connections are closed.
CLOSE_DELAY_S = 0.7
# Time before the end of the grace period at which open requests are aborted.
ABORT_MARGIN_S = 0.25
# Time before that at which open requests get their last answer.
ANSWER_MARGIN_S = 0.15
POLL_INTERVAL_S = 0.05
# Other routers serve a refused caller at once.
RETRY_AFTER_S = 0.1


class Shutdown:
    """Decide which requests a router that stops still passes on.

    :param clock: function that returns monotonic seconds
    :ivar started_s: monotonic time of the stop signal, or ``None`` before it
    :ivar end_s: monotonic time at which open requests get their last answer

    >>> now_s = [100.0]
    >>> shutdown = Shutdown(lambda: now_s[0])
    >>> shutdown.begin(8.0)
    >>> shutdown.refusal(deadline_s=112.0) is None
    True
    >>> now_s[0] = 102.6
    >>> shutdown.refusal(deadline_s=112.0), shutdown.refusal(104.0)
    (Refusal(stopping, '', no), None)
    """

    __slots__ = ("clock", "started_s", "end_s")

    def __init__(self, clock):
        self.clock = clock
        self.started_s = None
        self.end_s = float("inf")

    @property
    def begun(self):
        """Return whether the router was asked to stop."""
        return self.started_s is not None

    def begun_for_s(self, time_s):
        """Return how long the router had been stopping at a time.

        :param time_s: monotonic time
        :returns: seconds, 0 before the stop
        """
        if not self.begun:
            return 0.0
        return max(0.0, time_s - self.started_s)

    def begin(self, grace_s):
        """Begin to stop.

        :param grace_s: seconds until the process is killed
        """
        self.started_s = self.clock()
        self.end_s = self.started_s + grace_s
        self.end_s -= ABORT_MARGIN_S + ANSWER_MARGIN_S

    def refusal(self, deadline_s):
        """Return the refusal of a request that may not end in time.

        The router may have handled the signal late, so requests are refused
        sooner than callers that know the grace period expect.

        :param deadline_s: monotonic time by which the request ends
        :returns: :class:`~boragetrail.errors.Refusal`, or ``None`` if the
            request may be passed on
        """
        if not self.begun or deadline_s <= self.end_s:
            return None
        if self.clock() < self.started_s + BALANCER_LAG_S:
            return None
        return Refusal(
            Reason.STOPPING, "", Executed.NO, retry_after_s=RETRY_AFTER_S
        )

    async def drain(self, frontend):
        """Serve until the load balancer stops sending and all requests end.

        A request has ended once its response has left the process. Requests
        that are open near the end of the grace period get their last answer.
        What is left then is aborted as the connections close, at once: what
        closes later could cut requests that begin in between.

        :param frontend: :class:`~boragetrail.direct.frontend.Frontend`
        """
        await asyncio.sleep(BALANCER_LAG_S + CLOSE_DELAY_S)
        await frontend.stop_accepting()
        await self._wait_until_idle(frontend, self.end_s)
        frontend.end_requests()
        await self._wait_until_idle(frontend, self.end_s + ANSWER_MARGIN_S)
        frontend.close_connections()

    async def _wait_until_idle(self, frontend, until_s):
        while self.clock() < until_s:
            if not frontend.active and not frontend.has_unsent_bytes():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
