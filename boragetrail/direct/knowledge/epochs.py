"""What is known of rows from before the store returned from a copy.

The store may return from a copy of its rows that is some seconds old. What
was written since is gone then, versions are given out again, and a new epoch
of the store begins. The operators and the servers write their rows again. Up
to then, what a router knew stays in force: a row that the copy merely holds
is no new statement of its writer.
"""

import collections
import dataclasses

import xxhash

__all__ = [
    "RetainedRow",
    "RetainedRows",
    "RowHistory",
    "RowPosition",
    "told_numbers",
]

# Names under which routers tell each other, beside the versions of the newest
# rows of the tables, the epoch of all tables, that of a table that differs,
# and the number of the rows of a table that they retain.
EPOCH_NAME = "epoch"
EPOCH_SUFFIX = "/epoch"
RETAINED_SUFFIX = "/retained"
# Version of a row that does not exist.
NO_VERSION = -1
# Digests of a deleted row, and of a version that is not known.
DELETED = -1
UNKNOWN = -2


@dataclasses.dataclass(slots=True, frozen=True)
class RowPosition:
    """Say up to where a router knows the rows of a table.

    :param version: version of the rows; -1 if none is known
    :param epoch: epoch in which the version was given out
    :param first_epoch: epoch in which the router first read the table, which
        holds for statements of routers that name no epoch
    :param lacks_retained: whether the router does not know which rows of an
        earlier epoch are in force
    """

    version: int
    epoch: int = 0
    first_epoch: int = 0
    lacks_retained: bool = False

    def is_behind(self, versions, table):
        """Return whether another router knows rows that this one does not.

        :param versions: numbers that the other router told, by name
        :param table: name of the table
        """
        epoch, version = self.of_peer(versions, table)
        if (epoch, version) > (self.epoch, self.version):
            return True
        has_retained = versions.get(table + RETAINED_SUFFIX, 0) > 0
        return self.lacks_retained and has_retained and epoch == self.epoch

    def of_peer(self, versions, table):
        """Return (epoch, version) of the newest row that a router knows.

        :param versions: numbers that it told, by name
        :param table: name of the table
        """
        epoch = versions.get(EPOCH_NAME, self.first_epoch)
        epoch = versions.get(table + EPOCH_SUFFIX, epoch)
        return epoch, versions.get(table, NO_VERSION)


@dataclasses.dataclass(slots=True, frozen=True)
class RetainedRow:
    """Hold a row of an earlier epoch that is in force.

    :param version: version that it had in its epoch
    :param data: encoded value, or ``None`` if the row was deleted
    :param copied_version: version of the row that the copy holds instead, or
        -1 if it holds none
    """

    key: str
    version: int
    data: bytes | None
    copied_version: int


def told_numbers(mirrors_by_name):
    """Return the numbers that tell other routers which rows are known.

    They are sent in each datagram, so what goes without saying is left out.

    :param mirrors_by_name: :class:`~boragetrail.direct.mirror.Mirror` by the
        name of its table
    :returns: dictionary of numbers by name
    """
    epoch = max(mirror.epoch for mirror in mirrors_by_name.values())
    numbers = {EPOCH_NAME: epoch}
    for name, mirror in mirrors_by_name.items():
        numbers[name] = mirror.newest_row_version
        if mirror.epoch != epoch:
            numbers[name + EPOCH_SUFFIX] = mirror.epoch
        if mirror.retained:
            numbers[name + RETAINED_SUFFIX] = len(mirror.retained)
    return numbers


class RowHistory:
    """Hold the recent versions of rows, to recognize them in a copy.

    >>> from boragetrail.direct.interfaces import Row
    >>> history = RowHistory()
    >>> history.add(Row("a", 5, b"x"))
    >>> Row("a", 5, b"x") in history, Row("a", 5, b"y") in history
    (True, False)
    """

    MAX_ROWS = 8192

    __slots__ = ("digests_by_version",)

    def __init__(self):
        self.digests_by_version = collections.OrderedDict()

    def __contains__(self, row):
        known = self.digests_by_version.get((row.key, row.version), UNKNOWN)
        return known == _digest(row)

    def add(self, row):
        """Record a version of a row."""
        self.digests_by_version[row.key, row.version] = _digest(row)
        if len(self.digests_by_version) > self.MAX_ROWS:
            self.digests_by_version.popitem(last=False)


class RetainedRows:
    """Tell the rows that a copy holds from those that were written again.

    A row that was known in the earlier epoch, with the same version and
    value, comes from the copy. So do all rows with smaller versions, since
    the copy holds all rows up to some version, and no others.

    :ivar copies_by_key: for each key whose row of an earlier epoch is in
        force, the row that the copy holds, or ``None`` if it holds none
    :ivar copied_version: version up to which rows are sure to come from the
        copy
    """

    __slots__ = ("copies_by_key", "copied_version", "history")

    def __init__(self):
        self.copies_by_key = {}
        self.copied_version = NO_VERSION
        self.history = RowHistory()

    def __contains__(self, key):
        return key in self.copies_by_key

    def __len__(self):
        return len(self.copies_by_key)

    def begin(self, keys, history, rows):
        """Retain the rows of some keys.

        :param keys: keys of all known rows
        :param history: :class:`RowHistory` of the epoch that has ended
        :param rows: list of the rows that the store has returned with
        """
        self.copies_by_key = dict.fromkeys(keys)
        self.history = history
        self.copied_version = max(
            (row.version for row in rows if row in history),
            default=NO_VERSION,
        )

    def is_copy(self, row):
        """Return whether the copy of the store holds a row."""
        return row.version <= self.copied_version or row in self.history

    def end(self, key):
        """Retain the row of a key no longer."""
        self.copies_by_key.pop(key, None)

    def end_all(self, keep):
        """Retain rows no longer.

        :param keep: function that gets a key and returns whether its row is
            retained further
        :returns: dictionary of what the copy holds instead, by key
        """
        ended = {
            key: row
            for key, row in self.copies_by_key.items()
            if not keep(key)
        }
        for key in ended:
            del self.copies_by_key[key]
        return ended


def _digest(row):
    """Return a digest of the value of a row."""
    return DELETED if row.data is None else xxhash.xxh64_intdigest(row.data)
