"""Load table: the newest known load of each server of a service."""

import math

__all__ = ["LoadEntryState", "LoadEntry", "LoadTable"]

# Entries older than this are left out of the totals and not sent on.
ENTRY_LIFETIME_S = 6.0
MIN_CAPACITY_SHARE = 0.01


class LoadEntryState:
    """States of a server in a load entry, as sent on the wire."""

    WARM = 0
    COLD = 1
    LEAVING = 2


class LoadEntry:
    """Load of one server as counted by its agent.

    :param server: name of the backend server
    :param incarnation: incarnation of its agent
    :param seq: sequence number of the entry within the incarnation
    :param load: number of requests that are admitted and have not ended
    :param share: capacity share of the server, 0 to 1: the part of a warm
        server's load that it can take
    :param state: one of :class:`LoadEntryState`
    :param at_s: time of the count in seconds of the local monotonic clock
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
        """Return the fields as a list for a message.

        The list ends with the age in milliseconds instead of ``at_s``,
        because processes do not share a monotonic clock.
        """
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
        """Create an entry from the result of :meth:`to_list`."""
        server, incarnation, seq, load, percent, state, age_ms = fields
        at_s = now_s - age_ms / 1000
        share = percent / 100
        return cls(server, incarnation, seq, load, share, state, at_s)


class LoadTable:
    """Newest load entry of each server of one service.

    :param clock: function that returns monotonic seconds
    """

    __slots__ = ("clock", "entries_by_server")

    def __init__(self, clock):
        self.clock = clock
        self.entries_by_server = {}

    def merge(self, entry):
        """Store an entry if it is newer than that of the same server.

        :returns: whether the entry was stored
        """
        held = self.entries_by_server.get(entry.server)
        if held is not None and not _is_newer(entry, held):
            return False
        self.entries_by_server[entry.server] = entry
        return True

    def merge_lists(self, lists):
        """Merge entries from a message.

        :param lists: results of :meth:`LoadEntry.to_list`
        """
        now = self.clock()
        for fields in lists:
            self.merge(LoadEntry.from_list(fields, now))

    def live(self):
        """Return the entries that have not expired."""
        oldest = self.clock() - ENTRY_LIFETIME_S
        entries = self.entries_by_server.values()
        return [entry for entry in entries if entry.at_s >= oldest]

    def totals(self):
        """Return (sum of loads, sum of capacity shares).

        Servers that are leaving are not included.
        """
        load, share = 0, 0.0
        for entry in self.live():
            if entry.state != LoadEntryState.LEAVING:
                load += entry.load
                share += entry.share
        return load, share

    def mean(self):
        """Return the mean load per unit of capacity share."""
        load, share = self.totals()
        return load / share if share else 0.0

    def newest_lists(self, count):
        """Return the newest entries as lists for a message.

        :param count: largest number of entries
        :returns: results of :meth:`LoadEntry.to_list`, newest first
        """
        now = self.clock()
        entries = sorted(self.live(), key=lambda entry: -entry.at_s)
        return [entry.to_list(now) for entry in entries[:count]]

    def relative_load_of(self, server):
        """Return a server's load divided by its capacity share.

        The quotient makes cold and warm servers comparable: a cold server
        with few requests can be as full as a warm server with many. The
        result is infinity if the load is not known.
        """
        entry = self.entries_by_server.get(server)
        if entry is None:
            return math.inf
        return entry.load / max(entry.share, MIN_CAPACITY_SHARE)

    def record_sent(self, server):
        """Add one to a server's load for a request that was just sent to it.

        Without this, every request of a burst would be placed by the load
        from before the burst. The next entry of the server's agent replaces
        the increased load.
        """
        entry = self.entries_by_server.get(server)
        if entry is not None:
            entry.load += 1

    def remove(self, server):
        """Remove the entry of a server."""
        self.entries_by_server.pop(server, None)


def _is_newer(entry, held):
    """Return whether an entry is newer than the one that the table holds."""
    if entry.incarnation == held.incarnation:
        # With the same sequence number, the higher load includes requests
        # that a router has sent since.
        return (entry.seq, entry.load) > (held.seq, held.load)
    return entry.at_s > held.at_s
