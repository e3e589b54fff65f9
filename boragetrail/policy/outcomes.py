"""Recognise servers that fail a part of their requests."""

__all__ = ["OutcomeWindow", "failure_rate"]

# Good answers that every server is taken to have given before.
PRIOR_ANSWERS = 8


def failure_rate(failures, answers):
    """Return the part of requests that a server is expected to fail.

    A few failures say little. A server without any is as good as one that
    was not used.

    :param failures: answers with an error of the server, or broken off
    :param answers: all answers

    >>> failure_rate(0, 0), failure_rate(0, 50), failure_rate(1, 2)
    (0.0, 0.0, 0.1)
    >>> failure_rate(12, 24)
    0.375
    """
    return failures / (answers + PRIOR_ANSWERS)


class OutcomeWindow:
    """Count the answers of a server in the last seconds.

    The window is made of two halves, of which the older one is dropped as a
    whole, so that a server that recovers is trusted again soon.

    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("clock", "began_s", "now", "before")

    HALF_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.began_s = clock()
        self.now = [0, 0]
        self.before = [0, 0]

    def add(self, failed):
        """Count one answer.

        :param failed: whether the server failed the request
        """
        self._advance()
        self.now[0] += int(failed)
        self.now[1] += 1

    def counts(self):
        """Return (failures, answers) in the window."""
        self._advance()
        return (self.now[0] + self.before[0], self.now[1] + self.before[1])

    def _advance(self):
        passed_s = self.clock() - self.began_s
        if passed_s < self.HALF_S:
            return
        self.before = self.now if passed_s < 2 * self.HALF_S else [0, 0]
        self.now = [0, 0]
        self.began_s = self.clock()
