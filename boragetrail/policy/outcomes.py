"""Failure rates of servers, and the results that routers report."""

import dataclasses
import enum

__all__ = [
    "MAX_RESULTS",
    "AttemptResult",
    "OutcomeReport",
    "OutcomeWindow",
    "failure_rate",
]

# Assumed successful responses, added to the responses of every server, so
# that a few failures have little effect.
PRIOR_SUCCESSES = 8
# Largest number of results of one router that count for a server.
MAX_RESULTS = 1024


class AttemptResult(enum.Enum):
    """Name the results of attempts that count for a server."""

    SUCCESS = "success"
    ERROR = "error"
    LOST = "lost"


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeReport:
    """Tell the results of one router at one run of a server.

    The counts are those of the last few seconds, so a report replaces
    the earlier ones of its router.

    :param router: key of the run of the router
    :param server: :func:`~boragetrail.direct.counts.run_key`
    :param errors: pair of error responses to requests that must not be
        repeated and to those that may be
    :param losses: the same of responses that were lost or invalid, and of
        connections that could not be opened
    :param responses: number of all results
    :param successes: consecutive successes since the last failure that the
        router knows of, as long as the server is ejected or was lately
    :param ejected_s: monotonic time since which the router has ejected the
        server, or minus infinity if it has not
    :param failed_s: monotonic time of the router's last failure
    :param made_s: monotonic time of the report
    """

    router: int
    server: int
    errors: tuple
    losses: tuple
    responses: int
    successes: int
    ejected_s: float
    failed_s: float
    made_s: float


def failure_rate(failures, responses):
    """Return the expected fraction of requests that a server fails.

    A server without failures has the same rate as an unused server.

    :param failures: number of responses that were server errors or ended
        early
    :param responses: number of all responses, failures included

    >>> failure_rate(0, 0), failure_rate(0, 50), failure_rate(1, 2)
    (0.0, 0.0, 0.1)
    >>> failure_rate(12, 24)
    0.375
    """
    return failures / (responses + PRIOR_SUCCESSES)


class OutcomeWindow:
    """Counts of a server's failures and responses in a time window.

    The window has two halves. When the newer half is over, the older half is
    dropped as a whole, so that failures stop counting soon after a server
    has recovered.

    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("clock", "half_start_s", "current_counts", "previous_counts")

    HALF_WINDOW_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.half_start_s = clock()
        self.current_counts = [0, 0]
        self.previous_counts = [0, 0]

    def add(self, failed):
        """Count one response.

        :param failed: whether the server failed the request
        """
        self._advance()
        self.current_counts[0] += int(failed)
        self.current_counts[1] += 1

    def counts(self):
        """Return (failures, responses) in the window."""
        self._advance()
        return (
            self.current_counts[0] + self.previous_counts[0],
            self.current_counts[1] + self.previous_counts[1],
        )

    def _advance(self):
        elapsed_s = self.clock() - self.half_start_s
        if elapsed_s < self.HALF_WINDOW_S:
            return
        self.previous_counts = (
            self.current_counts
            if elapsed_s < 2 * self.HALF_WINDOW_S
            else [0, 0]
        )
        self.current_counts = [0, 0]
        self.half_start_s = self.clock()
