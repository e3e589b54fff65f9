"""Find connections of callers that have been without a request too long."""

__all__ = ["IdleTracker"]


class IdleTracker:
    """Time the connections of callers between requests.

    A caller has a shorter time for its first request than between two.

    :param clock: function that returns monotonic seconds
    """

    # A connection is closed a little later than its time is up, so that a
    # request which is just on its way is still served.
    SLACK_S = 1.0

    def __init__(self, clock):
        self.clock = clock
        self.since_by_connection = {}
        self.used = set()

    def request_seen(self, connection):
        """Note that a connection carries a request now."""
        self.used.add(connection)
        self.since_by_connection.pop(connection, None)

    def expired(self, connections, busy, limits):
        """Return the connections whose time is up.

        :param connections: all open connections
        :param busy: those with a request that has no whole answer yet
        :param limits: :class:`~boragetrail.direct.model.Limits`
        """
        now = self.clock()
        self.used.intersection_update(connections)
        since_by_connection = {}
        for connection in connections:
            if connection not in busy:
                since_s = self.since_by_connection.get(connection, now)
                since_by_connection[connection] = since_s
        self.since_by_connection = since_by_connection
        return [
            connection
            for connection, since_s in since_by_connection.items()
            if now - since_s > self._limit_s(connection, limits)
        ]

    def _limit_s(self, connection, limits):
        if connection in self.used:
            return limits.idle_timeout_s + self.SLACK_S
        return limits.header_timeout_s + self.SLACK_S
