"""When a table of the platform's store was last heard, by any router.

Few routers ask the store and tell the others that they hear it, so each
router knows whether the store is away without asking it.
"""

__all__ = ["StoreHearing"]


class StoreHearing:
    """Know since when and until when a table was heard without a gap.

    :param clock: function that returns monotonic seconds
    :ivar heard_s: monotonic time of the last answer of the store that this
        router got or was told of
    :ivar since_s: time since which answers came without a long gap

    >>> now = [0.0]
    >>> hearing = StoreHearing(lambda: now[0])
    >>> now[0] = 5.0
    >>> hearing.told(0.5, 60.0), hearing.age_s()
    (0.0, 0.5)
    >>> now[0] = 12.0
    >>> hearing.answered(unbroken=False), hearing.steady_s()
    (7.5, 0.0)
    """

    __slots__ = ("clock", "heard_s", "since_s")

    # A shorter silence of the store is no outage.
    OUTAGE_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.heard_s = clock()
        self.since_s = clock()

    def answered(self, unbroken):
        """Note an answer of the store to this router.

        :param unbroken: whether no call failed since the answer before; a
            long wait for changes is no silence of the store
        :returns: seconds for which the store was away before, or 0
        """
        now = self.clock()
        if unbroken:
            self.heard_s = now
            return 0.0
        return self._heard(now, now)

    def told(self, age_s, steady_s):
        """Note what another router told.

        :param age_s: time since the last answer that it knows of
        :param steady_s: time before that in which answers came without a
            long gap
        :returns: seconds for which the store was away before, or 0
        """
        heard_s = self.clock() - age_s
        if heard_s <= self.heard_s:
            return 0.0
        return self._heard(heard_s, heard_s - steady_s)

    def age_s(self):
        """Return seconds since the last answer that is known of."""
        return self.clock() - self.heard_s

    def steady_s(self):
        """Return for how long answers had come then without a long gap."""
        return self.heard_s - self.since_s

    def is_away(self):
        """Return whether the store has not been heard for long."""
        return self.age_s() >= self.OUTAGE_S

    def _heard(self, heard_s, since_s):
        gap_s = heard_s - self.heard_s
        gap_from_s, self.heard_s = self.heard_s, heard_s
        if gap_s < self.OUTAGE_S:
            return 0.0
        if since_s <= gap_from_s:
            # Others heard it all the while; only this router was cut off.
            return 0.0
        self.since_s = since_s
        return gap_s
