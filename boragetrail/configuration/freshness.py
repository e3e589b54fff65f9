"""Freshness: whether the configuration of a process counts as current.

A process is fresh while it has recent evidence that it misses no change. One
kind of evidence is a complete read of the log in the table service, by this
process or by a peer. The other is contact with processes in a majority of
availability zones, directly or through peers.

A peer's report counts only if the peer knew no newer version. It must also be
from after the start of this process: an earlier run of the process may have
known a newer version than a peer that lags. A fresh process that learns of a
newer version has a short time to catch up. A process that has not been fresh
since its start has to reach the newer version first.
"""

__all__ = ["Freshness"]

# Store reads and reports older than this do not count.
FRESHNESS_LIMIT_S = 3.0
# Time for a fresh process to reach a newer version that it learned of.
CATCH_UP_S = 1.0


class Freshness:
    """Time of the last read of the table service and of each zone's report.

    :param zone: availability zone of this process
    :param clock: function that returns monotonic seconds
    :param limit_s: age above which a report does not count, in seconds
    :ivar store_read_at_s: time of the last known read of the table service,
        by this process or a peer, or ``None``
    :ivar reported_at_s_by_zone: time of the last known report of a process in
        each zone
    :ivar newest_version: newest version that this process has learned of
    :ivar behind_since_s: time at which this process learned that it lacks a
        version, or ``None``
    :ivar was_fresh: whether the process has been fresh since its start
    """

    __slots__ = (
        "zone",
        "clock",
        "limit_s",
        "started_at_s",
        "store_read_at_s",
        "reported_at_s_by_zone",
        "newest_version",
        "behind_since_s",
        "was_fresh",
    )

    def __init__(self, zone, clock, limit_s=FRESHNESS_LIMIT_S):
        self.zone = zone
        self.clock = clock
        self.limit_s = limit_s
        self.started_at_s = clock()
        self.store_read_at_s = None
        self.reported_at_s_by_zone = {}
        self.newest_version = 0
        self.behind_since_s = None
        self.was_fresh = False

    def record_store_read(self):
        """Record that this process has just read the log completely."""
        self.store_read_at_s = self.clock()

    def record_peer_report(self, zone, store_age_s, ages_s_by_zone):
        """Merge the report of a peer.

        The peer must not know a newer version than this process.

        :param zone: zone of the peer
        :param store_age_s: seconds since the last read of the table service
            that the peer knows of, or ``None``
        :param ages_s_by_zone: for each zone, seconds since the last report
            that the peer knows of
        """
        now = self.clock()
        if store_age_s is not None:
            time_s = now - store_age_s
            self.store_read_at_s = max(self.store_read_at_s or time_s, time_s)
        reported_at_s_by_zone = self.reported_at_s_by_zone
        for name, age in {**ages_s_by_zone, zone: 0.0}.items():
            time_s = now - age
            reported_at_s_by_zone[name] = max(
                reported_at_s_by_zone.get(name, time_s), time_s
            )

    def record_newer_version(self, version):
        """Record that a version exists which this process does not have."""
        if self.behind_since_s is None:
            self.behind_since_s = self.clock()
        self.newest_version = max(self.newest_version, version)

    def store_age_s(self):
        """Return the age of the last known store read in seconds.

        :returns: age, or ``None`` if no read is known
        """
        if self.store_read_at_s is None:
            return None
        return self.clock() - self.store_read_at_s

    def ages_s_by_zone(self):
        """Return the age in seconds of each zone's report, if it counts."""
        now = self.clock()
        ages = {
            z: now - time_s for z, time_s in self.reported_at_s_by_zone.items()
        }
        ages[self.zone] = 0.0
        return {z: age for z, age in ages.items() if age <= self.limit_s}

    def is_fresh(self, zones, version):
        """Return whether the configuration counts as current.

        :param zones: names of all zones in the configuration
        :param version: version of the document that this process has
        """
        caught_up = self._has_caught_up(version)
        if caught_up and self._has_recent_report(zones):
            self.was_fresh = True
            return True
        return False

    def _has_caught_up(self, version):
        if version >= self.newest_version:
            self.behind_since_s = None
            return True
        if not self.was_fresh:
            return False
        return self.clock() - self.behind_since_s <= CATCH_UP_S

    def _has_recent_report(self, zones):
        oldest = max(self.clock() - self.limit_s, self.started_at_s)
        if self.store_read_at_s is not None and self.store_read_at_s >= oldest:
            return True
        reported_at_s_by_zone = self.reported_at_s_by_zone
        known_zones = set(zones)
        fresh_zones = {
            z
            for z in known_zones
            if reported_at_s_by_zone.get(z, -1.0) >= oldest
        }
        if self.zone in known_zones:
            fresh_zones.add(self.zone)
        return 2 * len(fresh_zones) > len(known_zones)
