"""Decide whether a process may trust its configuration as current.

A process is fresh while it has heard, directly or through others, from the
table service or from processes of a majority of availability zones. What
was heard counts only if the peer knew no newer version, and only if it is
news from after the start of this process: an earlier run may have known more
than a peer that lags. A process that hears of a newer version has a short
time to catch up; at its start it has none.
"""

__all__ = ["Freshness"]

# Age in seconds past which what was heard no longer counts.
FRESHNESS_LIMIT_S = 3.0
# Seconds to catch up with a newer version that was heard of.
CATCH_UP_S = 1.0


class Freshness:
    """Track when the table service and each zone were last heard of.

    :param zone: availability zone of this process
    :param clock: function that returns monotonic seconds
    :param limit_s: age past which news no longer counts, in seconds
    """

    __slots__ = (
        "zone",
        "clock",
        "limit_s",
        "started_at",
        "store_at",
        "heard_at_by_zone",
        "newest",
        "behind_at",
        "was_fresh",
    )

    def __init__(self, zone, clock, limit_s=FRESHNESS_LIMIT_S):
        self.zone = zone
        self.clock = clock
        self.limit_s = limit_s
        self.started_at = clock()
        self.store_at = None
        self.heard_at_by_zone = {}
        self.newest = 0
        self.behind_at = None
        self.was_fresh = False

    def record_store_read(self):
        """Record that the table service has just been read to its end."""
        self.store_at = self.clock()

    def record_peer_report(self, zone, store_age_s, ages_s_by_zone):
        """Merge what a peer that knew no newer version has heard.

        :param zone: zone of the peer
        :param store_age_s: age of its news from the store, or ``None``
        :param ages_s_by_zone: ages of its news by zone, in seconds
        """
        now = self.clock()
        if store_age_s is not None:
            at = now - store_age_s
            self.store_at = max(self.store_at or at, at)
        heard = self.heard_at_by_zone
        for name, age in {**ages_s_by_zone, zone: 0.0}.items():
            at = now - age
            heard[name] = max(heard.get(name, at), at)

    def record_newer_version(self, version):
        """Record that a version exists which this process lacks."""
        if self.behind_at is None:
            self.behind_at = self.clock()
        self.newest = max(self.newest, version)

    def store_age_s(self):
        """Return the age of the news from the store, or ``None``."""
        if self.store_at is None:
            return None
        return self.clock() - self.store_at

    def ages_s_by_zone(self):
        """Return the ages of the news that still counts, by zone."""
        now = self.clock()
        ages = {z: now - at for z, at in self.heard_at_by_zone.items()}
        ages[self.zone] = 0.0
        return {z: age for z, age in ages.items() if age <= self.limit_s}

    def is_fresh(self, zones, version):
        """Return whether the configuration may be trusted as current.

        :param zones: names of all zones that the configuration lists
        :param version: version in force
        """
        caught_up = self._has_caught_up(version)
        if caught_up and self._has_news(zones):
            self.was_fresh = True
            return True
        return False

    def _has_caught_up(self, version):
        if version >= self.newest:
            self.behind_at = None
            return True
        if not self.was_fresh:
            return False
        return self.clock() - self.behind_at <= CATCH_UP_S

    def _has_news(self, zones):
        oldest = max(self.clock() - self.limit_s, self.started_at)
        if self.store_at is not None and self.store_at >= oldest:
            return True
        heard = self.heard_at_by_zone
        known = set(zones)
        counted = {z for z in known if heard.get(z, -1.0) >= oldest}
        if self.zone in known:
            counted.add(self.zone)
        return 2 * len(counted) > len(known)
