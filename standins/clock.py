"""Clock that tests advance."""

__all__ = ["ManualClock"]


class ManualClock:
    """Hold the time in seconds that a test has set.

    >>> clock = ManualClock(5.0)
    >>> clock.now_s += 1.5
    >>> clock()
    6.5
    """

    def __init__(self, now_s=0.0):
        self.now_s = now_s

    def __call__(self):
        return self.now_s
