"""When a table of the platform's store was last heard, by any router.

Few routers ask the store and tell the others that they hear it, so each
router knows whether the store is away without asking it.
"""

__all__ = ["StoreLiveness"]


class StoreLiveness:
    """Know since when and until when a table was heard without a gap.

    :param clock: function that returns monotonic seconds
    :ivar heard_s: monotonic time of the last answer of the store that this
        router got or was told of
    :ivar since_s: time since which answers came without a long gap

    >>> now = [0.0]
    >>> liveness = StoreLiveness(lambda: now[0])
    >>> now[0] = 5.0
    >>> liveness.record_peer_report(0.5, 60.0), liveness.age_s()
    (0.0, 0.5)
    >>> now[0] = 12.0
    >>> liveness.record_response(uninterrupted=False), liveness.uptime_s()
    (7.5, 0.0)
    """

    __slots__ = ("clock", "last_response_s", "up_since_s")

    # A shorter silence of the store is no outage.
    MIN_OUTAGE_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.last_response_s = clock()
        self.up_since_s = clock()

    def record_response(self, uninterrupted):
        """Note an answer of the store to this router.

        :param unbroken: whether no call failed since the answer before; a
            long wait for changes is no silence of the store
        :returns: seconds for which the store was away before, or 0
        """
        now = self.clock()
        if uninterrupted:
            self.last_response_s = now
            return 0.0
        return self._heard(now, now)

    def record_peer_report(self, age_s, uptime_s):
        """Note what another router told.

        :param age_s: time since the last answer that it knows of
        :param steady_s: time before that in which answers came without a
            long gap
        :returns: seconds for which the store was away before, or 0
        """
        last_response_s = self.clock() - age_s
        if last_response_s <= self.last_response_s:
            return 0.0
        return self._heard(last_response_s, last_response_s - uptime_s)

    def age_s(self):
        """Return seconds since the last answer that is known of."""
        return self.clock() - self.last_response_s

    def uptime_s(self):
        """Return for how long answers had come then without a long gap."""
        return self.last_response_s - self.up_since_s

    def is_down(self):
        """Return whether the store has not been heard for long."""
        return self.age_s() >= self.MIN_OUTAGE_S

    def _heard(self, last_response_s, up_since_s):
        gap_s = last_response_s - self.last_response_s
        gap_from_s, self.last_response_s = (
            self.last_response_s,
            last_response_s,
        )
        if gap_s < self.MIN_OUTAGE_S:
            return 0.0
        if up_since_s <= gap_from_s:
            # Others heard it all the while; only this router was cut off.
            return 0.0
        self.up_since_s = up_since_s
        return gap_s
