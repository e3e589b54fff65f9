"""Budget of the bytes that reports of outcomes cost a router."""

__all__ = ["ReportBudget"]


class ReportBudget:
    """Token bucket of bytes; a report that does not fit waits.

    Reports replace each other, so a report that waits is sent with newer
    counts and nothing is lost.

    :param clock: function that returns monotonic seconds

    >>> budget = ReportBudget(lambda: 0.0)
    >>> budget.spend(9000), budget.has_room()
    (None, False)
    """

    RATE_PER_S = 1000
    # Room for the first reports of a server that has just begun to fail.
    BURST_BYTES = 8000

    __slots__ = ("clock", "bytes_left", "filled_s")

    def __init__(self, clock):
        self.clock = clock
        self.bytes_left = float(self.BURST_BYTES)
        self.filled_s = clock()

    def has_room(self):
        """Return whether a report may be sent; it may overdraw the budget."""
        now_s = self.clock()
        filled = self.bytes_left + self.RATE_PER_S * (now_s - self.filled_s)
        self.bytes_left = min(self.BURST_BYTES, filled)
        self.filled_s = now_s
        return self.bytes_left > 0

    def spend(self, count):
        """Count bytes that are sent."""
        self.bytes_left -= count
