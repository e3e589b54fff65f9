"""Tracker of the idle time of callers' connections."""

__all__ = ["IdleTracker"]


class IdleTracker:
    """Measure how long callers' connections are idle.

    The limit before the first request is shorter than the limit between
    requests.

    :param clock: function that returns monotonic seconds
    :ivar used_connections: connections that have carried a request
    """

    # Added to both limits, so that a request is still served if it is in
    # transit when the limit is reached.
    SLACK_S = 1.0

    def __init__(self, clock):
        self.clock = clock
        self.idle_since_by_connection = {}
        self.used_connections = set()

    def mark_used(self, connection):
        """Record that a connection carries a request now."""
        self.used_connections.add(connection)
        self.idle_since_by_connection.pop(connection, None)

    def expired(self, connections, busy, limits):
        """Return the connections that were idle for longer than the limit.

        :param connections: all open connections
        :param busy: connections whose request has no complete response yet
        :param limits: :class:`~boragetrail.direct.model.Limits`
        """
        now = self.clock()
        self.used_connections.intersection_update(connections)
        idle_since_by_connection = {}
        for connection in connections:
            if connection not in busy:
                since_s = self.idle_since_by_connection.get(connection, now)
                idle_since_by_connection[connection] = since_s
        self.idle_since_by_connection = idle_since_by_connection
        return [
            connection
            for connection, since_s in idle_since_by_connection.items()
            if now - since_s > self._limit_s(connection, limits)
        ]

    def _limit_s(self, connection, limits):
        if connection in self.used_connections:
            return limits.idle_timeout_s + self.SLACK_S
        return limits.header_timeout_s + self.SLACK_S
