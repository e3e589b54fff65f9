"""Time of the store's last response to any router.

Only a few routers poll the store. They report its responses to the others, so
each router can detect an outage of the store without polling it.
"""

__all__ = ["StoreLiveness"]


class StoreLiveness:
    """Holds since when and until when a table of the store has responded.

    :param clock: function that returns monotonic seconds
    :ivar last_response_s: monotonic time of the last known response of the
        store to any router
    :ivar up_since_s: monotonic time at which the last outage ended, or of
        this router's start

    >>> now_s = [0.0]
    >>> liveness = StoreLiveness(lambda: now_s[0])
    >>> now_s[0] = 5.0
    >>> liveness.record_peer_report(0.5, 60.0), liveness.age_s()
    (0.0, 0.5)
    >>> now_s[0] = 12.0
    >>> liveness.record_response(uninterrupted=False), liveness.uptime_s()
    (7.5, 0.0)
    """

    __slots__ = ("clock", "last_response_s", "up_since_s")

    # A shorter silence of the store does not count as an outage.
    MIN_OUTAGE_S = 2.0

    def __init__(self, clock):
        self.clock = clock
        self.last_response_s = clock()
        self.up_since_s = clock()

    def record_response(self, uninterrupted):
        """Record a response of the store to this router.

        :param uninterrupted: whether no call has failed since the previous
            response; if so, the time between the two responses was a long
            poll and not an outage
        :returns: length in seconds of the outage that ended, or 0
        """
        now_s = self.clock()
        if uninterrupted:
            self.last_response_s = now_s
            return 0.0
        return self._advance(now_s, now_s)

    def record_peer_report(self, age_s, uptime_s):
        """Record what another router reported about the store.

        :param age_s: seconds since the last response known to that router
        :param uptime_s: length in seconds of the period without an outage
            that ended with that response
        :returns: length in seconds of the outage that ended, or 0
        """
        last_response_s = self.clock() - age_s
        if last_response_s <= self.last_response_s:
            return 0.0
        return self._advance(last_response_s, last_response_s - uptime_s)

    def age_s(self):
        """Return the seconds since the last known response."""
        return self.clock() - self.last_response_s

    def uptime_s(self):
        """Return the length of the current period without an outage.

        :returns: seconds from the end of the last outage to the last known
            response
        """
        return self.last_response_s - self.up_since_s

    def is_down(self):
        """Return whether the last response is old enough for an outage."""
        return self.age_s() >= self.MIN_OUTAGE_S

    def _advance(self, last_response_s, up_since_s):
        gap_s = last_response_s - self.last_response_s
        gap_start_s, self.last_response_s = (
            self.last_response_s,
            last_response_s,
        )
        if gap_s < self.MIN_OUTAGE_S:
            return 0.0
        if up_since_s <= gap_start_s:
            # Other routers got responses during the gap, so the store was up
            # and just this router was disconnected from it.
            return 0.0
        self.up_since_s = up_since_s
        return gap_s
