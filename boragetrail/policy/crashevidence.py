"""Evidence that prompt parts crash servers."""

import collections
import math

from boragetrail.policy.crashrecords import is_request_key

__all__ = ["CrashEvidence"]


class CrashEvidence:
    """Crashes by part, as far as they are not explained by another part.

    >>> from boragetrail.policy.crashrecords import CrashReport
    >>> evidence = CrashEvidence()
    >>> for server, beside in ((1, "a"), (2, "b")):
    ...     report = CrashReport(server, (beside, "odd"), True, 10.0 * server)
    ...     evidence.add(report, report.parts)
    >>> evidence.convict(lambda part: False)
    ['odd']

    :ivar crashes_by_part: {server: (time, weight, whether the response had
        just begun)} by part
    :ivar positions: largest position of each part in a prompt
    :ivar report_counts: number of reports of each part
    """

    __slots__ = (
        "crashes_by_part",
        "positions",
        "report_counts",
        "begun_servers",
        "explained",
    )

    # Sum of the weights of crashes that convicts a part, and that which
    # convicts a part that servers recently survived.
    MIN_CRASHES = 2.0
    MIN_CRASHES_OF_KNOWN = 3.0
    BEGUN_WEIGHT = 1.0
    OTHER_WEIGHT = 0.5
    # Servers that crash within this time may have a common cause, such as a
    # loss of power, and count as one.
    COMMON_CAUSE_S = 0.05
    # The same for a whole request, which is at two servers only if it was
    # sent again.
    REQUEST_COMMON_CAUSE_S = 0.02

    def __init__(self):
        self.crashes_by_part = {}
        self.positions = {}
        self.report_counts = collections.Counter()
        self.begun_servers = set()
        self.explained = set()

    def add(self, report, suspects):
        """Count a report against the suspect ones of its parts."""
        if report.begun and not report.progressed and suspects:
            self.begun_servers.add(report.server)
        self.report_counts.update(suspects)
        for part in suspects:
            crashes = self.crashes_by_part.setdefault(part, {})
            known = crashes.get(report.server, (math.inf, 0.0, False))
            crashes[report.server] = (
                min(known[0], report.crashed_s),
                max(known[1], self._report_weight(report, part)),
                known[2] or report.begun,
            )
            # Counted from the end, since the first parts may be left out.
            position = report.parts.index(part) - len(report.parts)
            known_position = self.positions.get(part, position)
            self.positions[part] = max(position, known_position)

    def times(self, part):
        """Return the sorted times of all crashes of a part."""
        crashes = self.crashes_by_part[part].values()
        return sorted(crashed_s for crashed_s, _, _ in crashes)

    def convict(self, is_known):
        """Return the parts that explain the crashes.

        The crashes that a convicted part explains count against no other.
        Whole requests with equally many crashes are convicted together, since
        nothing tells which of them is the cause.

        :param is_known: function that returns whether servers recently
            survived a part
        :returns: list of parts, the one that explains most crashes first
        """
        convicted = []
        part = self._strongest(is_known)
        while part is not None:
            causes = [part]
            if is_request_key(part):
                causes = self._equal_requests(part, is_known)
            convicted.extend(causes)
            for cause in causes:
                self.explained.update(self.crashes_by_part[cause])
            part = self._strongest(is_known)
        return convicted

    def _equal_requests(self, part, is_known):
        """Return the whole requests that crashed as many servers as one."""
        weight = self._weight(part)
        return [
            other
            for other in self.crashes_by_part
            if is_request_key(other)
            and is_known(other) == is_known(part)
            and self._weight(other) == weight
        ]

    def _strongest(self, is_known):
        """Return the part that explains most crashes, or ``None``."""
        best, best_rating = None, ()
        for part in self.crashes_by_part:
            weight = self._weight(part)
            known = is_known(part)
            if weight < (
                self.MIN_CRASHES_OF_KNOWN if known else self.MIN_CRASHES
            ):
                continue
            # Of parts of the same crashes, the one in fewer requests is the
            # more specific one; of parts that always occur together, the
            # later one.
            rating = (
                weight,
                not known,
                -self.report_counts[part],
                self.positions[part],
                part,
            )
            if rating > best_rating:
                best, best_rating = part, rating
        return best

    def _report_weight(self, report, part):
        """Return the weight of a report against one of its parts.

        A request whose response had no head counts in full against the
        request as a whole, since few come again.
        """
        waited = not report.begun and not report.progressed
        if report.begun or (waited and is_request_key(part)):
            return self.BEGUN_WEIGHT
        return self.OTHER_WEIGHT

    def _weight(self, part):
        """Return the weight of the unexplained crashes of a part.

        A request whose response had not just begun does not count if another
        one at the server had, and had not progressed.
        """
        total, last_s = 0.0, -math.inf
        common_cause_s = (
            self.REQUEST_COMMON_CAUSE_S
            if is_request_key(part)
            else self.COMMON_CAUSE_S
        )
        crashes = sorted(
            (crashed_s, weight)
            for server, (crashed_s, weight, begun) in self.crashes_by_part[
                part
            ].items()
            if server not in self.explained
            and (begun or server not in self.begun_servers)
        )
        for crashed_s, weight in crashes:
            if crashed_s - last_s > common_cause_s:
                total += weight
            last_s = crashed_s
        return total
