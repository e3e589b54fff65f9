"""Classification of responses as usual, bad or lost."""

import collections
import enum
import statistics

from boragetrail.direct.phases import AttemptState

__all__ = ["Outcome", "ResponseTimes", "classify"]

SERVER_ERROR_STATUS = 500


class Outcome(enum.Enum):
    """Name how a response counts; ``None`` if it says nothing."""

    USUAL = "usual"
    BAD = "bad"
    LOST = "lost"


class ResponseTimes:
    """Hold the usual times of responses to one route.

    :ivar first_s: recent seconds to the first event, or to the whole body
    :ivar pauses_s: recent longest seconds between two pieces of a response
    """

    COUNT = 32
    MIN_COUNT = 3
    # A version that needs several times as long exceeds this multiple of the
    # median; sizes of requests of one route differ less.
    SLOW_FACTOR = 2.5
    # Shorter times are noise of the network and of the event loop.
    MIN_SLOW_S = 0.03

    __slots__ = ("first_s", "pauses_s")

    def __init__(self):
        self.first_s = collections.deque(maxlen=self.COUNT)
        self.pauses_s = collections.deque(maxlen=self.COUNT)

    def add(self, first_s, pause_s):
        """Add the times of a response of the old version."""
        self.first_s.append(first_s)
        self.pauses_s.append(pause_s)

    def are_known(self):
        """Return whether there are enough times to compare with."""
        return len(self.first_s) >= self.MIN_COUNT

    def is_slow(self, first_s, pause_s=0.0):
        """Return whether a response took several times as long as usual.

        :param first_s: seconds to its first event, or until now without one
        :param pause_s: its longest pause in seconds
        """
        if not self.are_known():
            return False
        return self._exceeds(first_s, self.first_s) or self._exceeds(
            pause_s, self.pauses_s
        )

    def _exceeds(self, time_s, usual_s):
        limit_s = self.SLOW_FACTOR * statistics.median(usual_s)
        return time_s > max(self.MIN_SLOW_S, limit_s)


def classify(attempt, deadline_s):
    """Return how an attempt that has ended counts, apart from its times.

    A request that the server refused, that never reached it or that this
    router gave up says nothing of the version.

    :param attempt: :class:`~boragetrail.direct.attempt.Attempt`
    :param deadline_s: monotonic time of the request's deadline
    :returns: :class:`Outcome`, or ``None``
    """
    state = attempt.state
    if attempt.was_reset or state in (
        AttemptState.NOT_SENT,
        AttemptState.REFUSED,
    ):
        return None
    if attempt.connection_lost:
        return Outcome.LOST
    if state is AttemptState.FAILED:
        return Outcome.BAD
    if state is not AttemptState.COMPLETE:
        is_late = attempt.clock() >= deadline_s
        return Outcome.BAD if is_late else None
    is_error = attempt.response.status >= SERVER_ERROR_STATUS
    return Outcome.BAD if is_error else Outcome.USUAL
