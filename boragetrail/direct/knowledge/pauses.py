"""Pauses that servers ask for with ``Retry-After``."""

import collections
import math

from boragetrail.direct.counts import run_key
from boragetrail.events import Event, log_event

__all__ = ["DEFAULT_PAUSE_S", "MAX_PAUSE_S", "PauseTable", "parse_pause"]

# Pause after a value that cannot be used, and the longest pause.
DEFAULT_PAUSE_S = 1.0
MAX_PAUSE_S = 3600.0
MAX_LOGGED_LENGTH = 80


def parse_pause(text):
    """Return for how long a server wants no requests.

    A date is not used, since the clocks of the server and of the router may
    differ.

    :param text: value of the field, in seconds
    :returns: (seconds from 0 to ``MAX_PAUSE_S``, whether the value is valid)

    >>> parse_pause("0.25"), parse_pause("1e9"), parse_pause("soon")
    ((0.25, True), (3600.0, False), (1.0, False))
    """
    try:
        pause_s = float(text)
    except ValueError:
        return DEFAULT_PAUSE_S, False
    if math.isnan(pause_s) or pause_s < 0:
        return DEFAULT_PAUSE_S, False
    return min(pause_s, MAX_PAUSE_S), pause_s <= MAX_PAUSE_S


class PauseTable:
    """Hold until when each run of a server wants no requests of this router.

    :param clock: function that returns monotonic seconds
    :ivar until_s_by_run: monotonic time of the end by
        :func:`~boragetrail.direct.counts.run_key`
    :ivar invalid_runs: keys of the runs that asked for an invalid pause

    >>> from boragetrail.direct.model import ServerRecord
    >>> record = ServerRecord("s", "a", ("h", 1), "z", 8, True, 0.0, 5)
    >>> pauses = PauseTable(lambda: 10.0)
    >>> pauses.add(record, "2.5")
    >>> pauses.left_s(record)
    2.5
    """

    MAX_RUNS = 4096

    def __init__(self, clock):
        self.clock = clock
        self.until_s_by_run = collections.OrderedDict()
        self.invalid_runs = set()

    def add(self, record, text):
        """Record that a server asked for a pause.

        An invalid value is logged once for each run of a server.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :param text: value of its ``Retry-After`` field
        """
        run = run_key(record)
        pause_s, is_valid = parse_pause(text)
        until_s = self.clock() + pause_s
        known_s = self.until_s_by_run.pop(run, 0.0)
        self.until_s_by_run[run] = max(known_s, until_s)
        if len(self.until_s_by_run) > self.MAX_RUNS:
            removed, _ = self.until_s_by_run.popitem(last=False)
            self.invalid_runs.discard(removed)
        if is_valid or run in self.invalid_runs:
            return
        self.invalid_runs.add(run)
        log_event(
            Event.PAUSE_INVALID,
            server=record.id,
            value=text[:MAX_LOGGED_LENGTH],
            pause_s=pause_s,
        )

    def left_s(self, record):
        """Return the seconds that are left of a server's pause, or 0."""
        until_s = self.until_s_by_run.get(run_key(record), 0.0)
        return max(0.0, until_s - self.clock())
