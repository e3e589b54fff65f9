"""Load entries of a service's servers and the mean worked out from them."""

import math

__all__ = ["ServerState", "LoadEntry", "LoadTable"]

# Seconds after which an entry no longer counts towards the mean.
ENTRY_LIFETIME_S = 6.0
LEAST_SHARE = 0.01


class ServerState:
    """Number the states that a load entry can tell."""

    WARM = 0
    COLD = 1
    LEAVING = 2


class LoadEntry:
    """Tell the load of one server as its agent counted it.

    :param server: name of the backend server
    :param incarnation: incarnation of its agent
    :param seq: counts the entries of that incarnation
    :param load: requests admitted and not yet ended
    :param share: part of a whole warm server that it can bear, 0 to 1
    :param state: one of :class:`ServerState`
    :param at_s: local monotonic time that the entry speaks of, in seconds
    """

    __slots__ = (
        "server",
        "incarnation",
        "seq",
        "load",
        "share",
        "state",
        "at_s",
    )

    def __init__(self, server, incarnation, seq, load, share, state, at_s):
        self.server = server
        self.incarnation = incarnation
        self.seq = seq
        self.load = load
        self.share = share
        self.state = state
        self.at_s = at_s

    def to_list(self, now_s):
        """Return the entry for a message, with its age in milliseconds."""
        age_ms = max(0, int(1000 * (now_s - self.at_s)))
        return [
            self.server,
            self.incarnation,
            self.seq,
            self.load,
            round(100 * self.share),
            self.state,
            age_ms,
        ]

    @classmethod
    def from_list(cls, fields, now_s):
        """Make an entry from what :meth:`to_list` returned."""
        server, incarnation, seq, load, percent, state, age_ms = fields
        at_s = now_s - age_ms / 1000
        share = percent / 100
        return cls(server, incarnation, seq, load, share, state, at_s)


class LoadTable:
    """Hold the newest entry of each server of one service.

    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("clock", "entries_by_server")

    def __init__(self, clock):
        self.clock = clock
        self.entries_by_server = {}

    def merge(self, entry):
        """Keep an entry if it is newer than the one held.

        :returns: whether it was kept
        """
        held = self.entries_by_server.get(entry.server)
        if held is not None and not _is_newer(entry, held):
            return False
        self.entries_by_server[entry.server] = entry
        return True

    def merge_lists(self, lists):
        """Merge entries as they stand in a message."""
        now = self.clock()
        for fields in lists:
            self.merge(LoadEntry.from_list(fields, now))

    def live(self):
        """Return the entries that still count."""
        oldest = self.clock() - ENTRY_LIFETIME_S
        entries = self.entries_by_server.values()
        return [entry for entry in entries if entry.at_s >= oldest]

    def totals(self):
        """Return the load and the shares of servers that can take work."""
        load, share = 0, 0.0
        for entry in self.live():
            if entry.state != ServerState.LEAVING:
                load += entry.load
                share += entry.share
        return load, share

    def mean(self):
        """Return the mean load of a whole warm server."""
        load, share = self.totals()
        return load / share if share else 0.0

    def freshest(self, count):
        """Return up to ``count`` of the newest entries as lists."""
        now = self.clock()
        entries = sorted(self.live(), key=lambda entry: -entry.at_s)
        return [entry.to_list(now) for entry in entries[:count]]

    def relative_load_of(self, server):
        """Return a server's load over its share, or infinity if unknown.

        A cold server with few requests is no better than a full one.
        """
        entry = self.entries_by_server.get(server)
        if entry is None:
            return math.inf
        return entry.load / max(entry.share, LEAST_SHARE)

    def record_sent(self, server):
        """Count a request that was just sent to a server.

        The next report of the server replaces the count. Without it, the
        requests of a burst would all see the load before the burst.
        """
        entry = self.entries_by_server.get(server)
        if entry is not None:
            entry.load += 1

    def forget(self, server):
        """Drop the entry of a server that is gone."""
        self.entries_by_server.pop(server, None)


def _is_newer(entry, held):
    if entry.incarnation == held.incarnation:
        # Of one report, the higher load counts work that a router has sent
        # since.
        return (entry.seq, entry.load) > (held.seq, held.load)
    return entry.at_s > held.at_s
