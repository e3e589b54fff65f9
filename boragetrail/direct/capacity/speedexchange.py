"""Exchange of figures about the speed of servers with other routers."""

import math

from boragetrail.direct.counts import server_key
from boragetrail.policy.responsetimes import LOG_UNITS
from boragetrail.policy.speed import (
    SpeedEstimate,
    SpeedReport,
    is_relevant_step,
)

__all__ = ["SpeedExchange"]


class SpeedExchange:
    """Decide which figures other routers get, and record theirs.

    A server's own figure is sent if it differs clearly from what was last
    sent or received. Measured times are sent of servers that report no
    figure, as the sum of the recent ones, so a lost message is made up for by
    the next. The bytes per second are bounded, and the largest differences
    come first. Figures are not relayed: in large fleets each reaches some of
    the peers.

    :param speeds: :class:`~boragetrail.direct.capacity.speeds.SpeedTable`
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :param clock: function that returns monotonic seconds
    :ivar known_by_key: :class:`~boragetrail.policy.speed.SpeedEstimate` of
        what other routers are assumed to know
    :ivar due_by_key: figures to be sent, by key of the server
    """

    # Bytes per second that all messages together may have: a fifth of the
    # 3 KB/s that a router may send of control messages.
    MAX_BYTES_PER_S = 600.0
    # Bytes that may be sent at once after a silence: one message with two
    # figures to each of MAX_FANOUT peers.
    MAX_BURST_BYTES = 1200.0
    # Largest number of peers that get a message.
    MAX_FANOUT = 24
    # Upper bounds of the encoded sizes.
    MESSAGE_BYTES = 20
    RECORD_BYTES = 15
    MAX_RECORDS = 12
    # An own figure that was not sent within this time is outdated.
    MAX_DUE_AGE_S = 0.25
    # Least time between two messages about measured times of a server.
    SUMS_INTERVAL_S = 0.25

    def __init__(self, speeds, peers, clock):
        self.speeds = speeds
        self.peers = peers
        self.clock = clock
        self.known_by_key = {}
        self.due_by_key = {}
        self.sums_sent_by_key = {}
        self.budget_bytes = self.MAX_BURST_BYTES
        self.budgeted_s = clock()

    def record_figure(self, server_id, percent):
        """Record a figure that a server has just reported to this router.

        :param server_id: id of the server
        :param percent: time that work takes, in percent of the usual
        """
        key = server_key(server_id)
        now_s = self.clock()
        if not self.speeds.record_figure(key, percent, now_s):
            return
        known = self.known_by_key.get(key)
        known_slowness = 1.0 if known is None else known.slowness(now_s)
        if is_relevant_step(percent, known_slowness):
            self.due_by_key[key] = SpeedReport(key, percent, 0, now_s)
        else:
            self.due_by_key.pop(key, None)

    def apply(self, report, sender):
        """Record a figure of another router.

        :param report: :class:`~boragetrail.policy.speed.SpeedReport`
        :param sender: (host, port) of the router
        """
        if sender not in self.peers.peers_by_address:
            return
        if report.samples:
            log_ratio = math.log(report.percent / 100.0)
            total = round(report.samples * LOG_UNITS * log_ratio)
            self.speeds.record_peer_sums(
                sender, report.server, (report.samples, total), report.heard_s
            )
            return
        self.speeds.record_figure(
            report.server, report.percent, report.heard_s
        )
        self._record_known(report)

    def take_due(self):
        """Return what is due, as far as the bytes allow.

        :returns: (list of :class:`~boragetrail.policy.speed.SpeedReport`,
            addresses of the peers that get them)
        """
        now_s = self.clock()
        self.speeds.compare_measured()
        self._refill(now_s)
        reports = self._due_figures(now_s) + self._due_sums(now_s)
        reports.sort(key=_difference, reverse=True)
        peers = self.peers.sample(self.MAX_FANOUT) if reports else []
        reports = reports[: self._affordable(len(peers))]
        if not reports:
            return [], []
        size = self.MESSAGE_BYTES + self.RECORD_BYTES * len(reports)
        self.budget_bytes -= size * len(peers)
        for report in reports:
            self._record_sent(report, now_s)
        return reports, [peer.address for peer in peers]

    def remove_unlisted(self, server_ids):
        """Remove what is known of servers that are no longer listed."""
        keys = {server_key(each) for each in server_ids}
        for values_by_key in (self.known_by_key, self.sums_sent_by_key):
            for key in values_by_key.keys() - keys:
                del values_by_key[key]

    def _due_figures(self, now_s):
        oldest_s = now_s - self.MAX_DUE_AGE_S
        self.due_by_key = {
            key: report
            for key, report in self.due_by_key.items()
            if report.heard_s >= oldest_s
        }
        return list(self.due_by_key.values())

    def _due_sums(self, now_s):
        """Return the measured times of servers that report no figure."""
        reports = []
        for key, window in self.speeds.windows_by_key.items():
            added, sent_s = self.sums_sent_by_key.get(key, (0, -math.inf))
            count, total = window.sums(now_s)
            if (
                count
                and window.added != added
                and now_s - sent_s >= self.SUMS_INTERVAL_S
            ):
                percent = round(100 * math.exp(total / count / LOG_UNITS))
                reports.append(SpeedReport(key, percent, count, now_s))
        return reports

    def _record_sent(self, report, now_s):
        if report.samples:
            window = self.speeds.windows_by_key[report.server]
            self.sums_sent_by_key[report.server] = (window.added, now_s)
            return
        del self.due_by_key[report.server]
        self._record_known(report)

    def _record_known(self, report):
        known = self.known_by_key.get(report.server)
        if known is None:
            if len(self.known_by_key) >= self.speeds.MAX_SERVERS:
                return
            known = self.known_by_key[report.server] = SpeedEstimate()
        known.record(report.percent, report.heard_s)

    def _refill(self, now_s):
        passed_s = now_s - self.budgeted_s
        self.budgeted_s = now_s
        self.budget_bytes = min(
            self.MAX_BURST_BYTES,
            self.budget_bytes + passed_s * self.MAX_BYTES_PER_S,
        )

    def _affordable(self, fanout):
        """Return the number of records that may be sent now.

        :param fanout: number of peers that would get them
        """
        if not fanout:
            return 0
        left = self.budget_bytes / fanout - self.MESSAGE_BYTES
        return max(0, min(self.MAX_RECORDS, int(left / self.RECORD_BYTES)))


def _difference(report):
    """Return how much a figure differs from the usual speed."""
    return abs(math.log(max(1, report.percent) / 100.0))
