"""Servers that have said that they leave."""

import collections
import dataclasses

from boragetrail.direct.counts import run_key

__all__ = ["Leaving", "LeavingServers"]


@dataclasses.dataclass(slots=True, frozen=True)
class Leaving:
    """Tell that a run of a server has said that it leaves.

    :param server: :func:`~boragetrail.direct.counts.run_key`
    """

    server: int


class LeavingServers:
    """Hold the runs of servers that leave, whatever other sources say.

    What a server said to this router binds it until the server starts again.
    What it said to another router is a hint.

    :param on_add: function that is called with the
        :class:`~boragetrail.direct.model.ServerRecord` of each server that
        says so to this router for the first time

    >>> from boragetrail.direct.model import ServerRecord
    >>> record = ServerRecord("s", "a", ("h", 1), "z", 8, True, 0.0, 5)
    >>> leaving = LeavingServers(lambda record: None)
    >>> leaving.add(record), leaving.add(record)
    (True, False)
    >>> restarted = ServerRecord("s", "a", ("h", 1), "z", 8, True, 0.0, 6)
    >>> record in leaving, restarted in leaving
    (True, False)
    """

    MAX_RUNS = 4096

    def __init__(self, on_add):
        self.on_add = on_add
        self.own_runs = collections.OrderedDict()
        self.hinted_runs = collections.OrderedDict()

    def __contains__(self, record):
        return run_key(record) in self.own_runs

    def add(self, record):
        """Add a server that said so to this router.

        :param record: :class:`~boragetrail.direct.model.ServerRecord`
        :returns: whether it is new
        """
        is_new = self._add(self.own_runs, run_key(record))
        if is_new:
            self.on_add(record)
        return is_new

    def add_hint(self, leaving):
        """Add a server that said so to another router.

        :param leaving: :class:`Leaving`
        :returns: whether it is new
        """
        return self._add(self.hinted_runs, leaving.server)

    def is_hinted(self, record):
        """Return whether a server said to another router that it leaves."""
        return run_key(record) in self.hinted_runs

    def _add(self, runs, key):
        if key in runs:
            return False
        runs[key] = None
        if len(runs) > self.MAX_RUNS:
            runs.popitem(last=False)
        return True
