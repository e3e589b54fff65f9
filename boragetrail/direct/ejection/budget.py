"""Budget of the bytes that reports of outcomes cost a router."""

__all__ = ["ReportBudget"]


class ReportBudget:
    """Token bucket of bytes; a report that does not fit waits.

    Reports replace each other, so a report that waits is sent with newer
    counts and nothing is lost.

    :param clock: function that returns monotonic seconds

    >>> budget = ReportBudget(lambda: 0.0)
    >>> [budget.try_spend(3000) for _ in range(4)]
    [True, True, True, False]
    """

    RATE_PER_S = 1000
    # Room for the first reports of a server that has just begun to fail.
    BURST_BYTES = 8000

    __slots__ = ("clock", "bytes_left", "filled_s")

    def __init__(self, clock):
        self.clock = clock
        self.bytes_left = float(self.BURST_BYTES)
        self.filled_s = clock()

    def try_spend(self, count):
        """Spend bytes if some are left; a large report may overdraw.

        :param count: number of bytes
        :returns: whether they may be sent
        """
        now_s = self.clock()
        filled = self.bytes_left + self.RATE_PER_S * (now_s - self.filled_s)
        self.bytes_left = min(self.BURST_BYTES, filled)
        self.filled_s = now_s
        if self.bytes_left <= 0:
            return False
        self.bytes_left -= count
        return True
