"""Speed of each server, from its own figures and from measured times."""

import math

from boragetrail.direct.counts import server_key
from boragetrail.direct.loads import PeerSums
from boragetrail.policy.responsetimes import (
    LOG_UNITS,
    RouteBaselines,
    Spread,
    TimeWindow,
    compare,
)
from boragetrail.policy.speed import SpeedEstimate, effective_slowness

__all__ = ["SpeedTable"]


class SpeedTable:
    """Holds what this router knows of the speed of servers.

    Servers are identified by their
    :func:`~boragetrail.direct.counts.server_key`.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param clock: function that returns monotonic seconds
    :ivar estimates_by_key: :class:`~boragetrail.policy.speed.SpeedEstimate`
        of servers that report figures
    :ivar measured_by_key: the same of servers that report none, from
        measured times
    :ivar windows_by_key: :class:`~boragetrail.policy.responsetimes.TimeWindow`
        of this router's own measured times
    :ivar residuals_by_key: the same of the times relative to the reported
        figures; a server whose mean differs from the others' reports falsely
    :ivar peer_sums: :class:`~boragetrail.direct.loads.PeerSums` of the
        measured times of other routers
    """

    # Age from which sums of other routers no longer count. Their windows add
    # up to 0.8 s, and a slow phase takes half a second.
    MAX_SUMS_AGE_S = 0.4
    # Peers cannot make the table grow beyond this number of servers.
    MAX_SERVERS = 4096
    # Half of the time over which reported figures are compared with measured
    # times. A router sends an engine only a few requests in it.
    RESIDUALS_HALF_S = 4.0
    # Time for which the sums of a service, and slownesses without a new
    # figure, are used again.
    REUSE_S = 0.02

    def __init__(self, directory, clock):
        self.directory = directory
        self.clock = clock
        self.estimates_by_key = {}
        self.measured_by_key = {}
        self.windows_by_key = {}
        self.residuals_by_key = {}
        self.baselines = RouteBaselines()
        self.spread = Spread()
        self.residual_spread = Spread()
        self.peer_sums = PeerSums(clock, self.MAX_SUMS_AGE_S)
        self.service_sums_by_name = {}
        self.slowness_by_key = {}

    def record_figure(self, key, percent, heard_s):
        """Record a figure that a server reported, here or to a peer.

        :param key: key of the server
        :param percent: time that work takes, in percent of the usual
        :param heard_s: monotonic time at which the server reported it
        :returns: whether it is newer than what was known
        """
        estimate = self.estimates_by_key.get(key)
        if estimate is None:
            if len(self.estimates_by_key) >= self.MAX_SERVERS:
                return False
            estimate = self.estimates_by_key[key] = SpeedEstimate()
        self.slowness_by_key.pop(key, None)
        return estimate.record(percent, heard_s)

    def record_time(self, key, route, took_s):
        """Record the time from a request to its first event or its response.

        :param key: key of the server
        :param route: name of the route
        :param took_s: seconds
        """
        log_ratio = self.baselines.normalise(route, took_s)
        if log_ratio is None:
            return
        now_s = self.clock()
        estimate = self.estimates_by_key.get(key)
        if estimate is None:
            window = self.windows_by_key.setdefault(key, TimeWindow())
            _add_time(window, self.spread, log_ratio, now_s)
            return
        slowness = estimate.slowness(now_s)
        log_ratio -= round(LOG_UNITS * math.log(slowness))
        window = self.residuals_by_key.get(key)
        if window is None:
            window = TimeWindow(self.RESIDUALS_HALF_S)
            self.residuals_by_key[key] = window
        _add_time(window, self.residual_spread, log_ratio, now_s)

    def record_peer_sums(self, address, key, sums, sent_s):
        """Record the measured times of another router at a server.

        :param address: (host, port) of the router
        :param key: key of the server
        :param sums: (number, sum of the normalised times)
        :param sent_s: monotonic time at which they were measured
        """
        self.peer_sums.replace((address, key), [(key, *sums)], sent_s)

    def compare_measured(self):
        """Compare the servers of services that report no figures.

        The results form an estimate like reported figures do, so a server
        that is slow for long is remembered while it gets few requests.
        """
        now_s = self.clock()
        for listed in self.directory.servers_by_id.values():
            key = server_key(listed.record.id)
            if key in self.estimates_by_key:
                continue
            comparison = compare(
                self.sums(key),
                self._service_sums(listed.record.service, self.sums),
                self.spread.value,
            )
            if comparison is not None:
                estimate = self.measured_by_key.get(key)
                if estimate is None:
                    estimate = self.measured_by_key[key] = SpeedEstimate()
                percent = round(100 * comparison.clear_slowness())
                estimate.record(percent, now_s)

    def slowness(self, record):
        """Return the slowness by which a server is ordered.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        """
        now_s = self.clock()
        key = server_key(record.id)
        known = self.slowness_by_key.get(key)
        if known is None or now_s - known[0] >= self.REUSE_S:
            known = (now_s, self._slowness(record.service, key, now_s))
            self.slowness_by_key[key] = known
        return known[1]

    def _slowness(self, service, key, now_s):
        estimate = self.estimates_by_key.get(key)
        if estimate is not None:
            comparison = compare(
                self._residual_sums(key),
                self._service_sums(service, self._residual_sums),
                self.residual_spread.value,
            )
            return effective_slowness(estimate.slowness(now_s), comparison)
        measured = self.measured_by_key.get(key)
        if measured is not None:
            return effective_slowness(measured.slowness(now_s))
        return 1.0

    def sums(self, key):
        """Return (number, sum) of the recent times of all routers."""
        count, total = self.peer_sums.sum(key)
        window = self.windows_by_key.get(key)
        if window is not None:
            own_count, own_total = window.sums(self.clock())
            count, total = count + own_count, total + own_total
        return count, total

    def slowness_by_id(self):
        """Return the slowness of the servers that are not of usual speed."""
        slowness_by_id = {
            key: round(self.slowness(listed.record), 2)
            for key, listed in self.directory.servers_by_id.items()
        }
        return {
            key: slowness
            for key, slowness in slowness_by_id.items()
            if slowness != 1.0
        }

    def remove_unlisted(self):
        """Remove what is known of servers that are no longer listed."""
        keys = {server_key(each) for each in self.directory.servers_by_id}
        for values_by_key in (
            self.estimates_by_key,
            self.measured_by_key,
            self.windows_by_key,
            self.residuals_by_key,
            self.slowness_by_key,
        ):
            for key in values_by_key.keys() - keys:
                del values_by_key[key]
        self.service_sums_by_name.clear()

    def _residual_sums(self, key):
        window = self.residuals_by_key.get(key)
        return (0, 0) if window is None else window.sums(self.clock())

    def _service_sums(self, service, sums_of):
        """Return the sums over all servers of a service.

        :param sums_of: function that returns the sums of one server
        """
        now_s = self.clock()
        known = self.service_sums_by_name.get((service, sums_of))
        if known is not None and now_s - known[0] < self.REUSE_S:
            return known[1]
        sums = [
            sums_of(server_key(listed.record.id))
            for listed in self.directory.servers_of(service)
        ]
        total = tuple(map(sum, zip(*sums))) if sums else (0, 0)
        self.service_sums_by_name[service, sums_of] = (now_s, total)
        return total


def _add_time(window, spread, log_ratio, now_s):
    """Add a time to a window, and its difference to the last to a spread."""
    if window.last is not None:
        spread.record_pair(window.last, log_ratio)
    window.add(log_ratio, now_s)
