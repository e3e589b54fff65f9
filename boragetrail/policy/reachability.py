"""Reachability of availability zones, from connections to their servers.

A zone that loses power, or whose link fails in one direction, accepts no
connection. Each request that tries one of its servers loses the time of a
connection timeout, and each server would have to be tried once. This module
answers that load: after a few servers of a zone have not answered, the rest of
the zone is avoided too, until any of them gives a sign of life.
"""

__all__ = ["ZoneReachability"]


class ZoneReachability:
    """Tell which zones one router cannot reach.

    :param clock: function that returns monotonic seconds
    :ivar failed_s_by_server_by_zone: for each zone the servers that did not
        answer since its last sign of life, and the monotonic times
    :ivar alive_s_by_zone: monotonic time of the last sign of life

    >>> reachability = ZoneReachability(lambda: 10.0)
    >>> for server in ("s1", "s2"):
    ...     reachability.record_timeout("east", server, started_s=9.6)
    >>> reachability.is_unreachable("east")
    True
    >>> reachability.record_life("east")
    >>> reachability.is_unreachable("east")
    False
    """

    # One server that does not answer may have failed by itself.
    MIN_SERVERS = 2
    # Age up to which a timeout counts. Servers that were unreachable are tried
    # again several times in this time.
    MAX_AGE_S = 1.0

    __slots__ = ("clock", "failed_s_by_server_by_zone", "alive_s_by_zone")

    def __init__(self, clock):
        self.clock = clock
        self.failed_s_by_server_by_zone = {}
        self.alive_s_by_zone = {}

    def record_timeout(self, zone, server_id, started_s):
        """Record that a server did not answer an attempt to connect.

        :param started_s: monotonic time at which the attempt began
        """
        if started_s < self.alive_s_by_zone.get(zone, float("-inf")):
            return
        servers = self.failed_s_by_server_by_zone.setdefault(zone, {})
        servers[server_id] = self.clock()

    def record_life(self, zone):
        """Record that a server of a zone has answered."""
        self.alive_s_by_zone[zone] = self.clock()
        self.failed_s_by_server_by_zone.pop(zone, None)

    def is_unreachable(self, zone):
        """Return whether requests should avoid the servers of a zone."""
        servers = self.failed_s_by_server_by_zone.get(zone)
        if not servers:
            return False
        oldest_s = self.clock() - self.MAX_AGE_S
        recent = sum(failed_s >= oldest_s for failed_s in servers.values())
        return recent >= self.MIN_SERVERS
