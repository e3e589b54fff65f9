"""Local copy of a table whose rows never revert to an older version."""

from boragetrail.direct.interfaces import ChangeSet, Row
from boragetrail.direct.knowledge.epochs import (
    NO_VERSION,
    RetainedRow,
    RetainedRows,
    RowHistory,
    RowPosition,
)

__all__ = ["Mirror"]


class Mirror:
    """Holds the row in force of each key, including tombstones.

    A tombstone is the row of a deleted key, with ``None`` as data. In force
    is the newest row of the store's epoch, or of the epoch before until the
    row is written again, see :mod:`boragetrail.direct.knowledge.epochs`.

    :ivar rows_by_key: :class:`~boragetrail.direct.interfaces.Row` by key
    :ivar epoch: epoch of the store to which the versions belong
    :ivar first_epoch: epoch of the first rows
    :ivar compared_epoch: epoch of which it is known which rows are retained
    :ivar version: version up to which all changes are known; -1 at first
    :ivar newest_row_version: version of the newest row; -1 at first
    :ivar compacted_version: version up to which tombstones may be missing;
        all later deletions are known
    :ivar history: :class:`~boragetrail.direct.knowledge.epochs.RowHistory`
    :ivar retained:
        :class:`~boragetrail.direct.knowledge.epochs.RetainedRows`

    >>> mirror = Mirror()
    >>> changes = ChangeSet([Row("a", 5, b"new")], 5, False)
    >>> [row.key for row in mirror.apply(changes)]
    ['a']
    >>> mirror.apply(ChangeSet([Row("a", 4, b"old")], 4, False))
    []
    """

    __slots__ = (
        "rows_by_key",
        "epoch",
        "first_epoch",
        "compared_epoch",
        "version",
        "newest_row_version",
        "compacted_version",
        "history",
        "retained",
    )

    # With more tombstones, the older half is removed.
    MAX_TOMBSTONES = 2000

    def __init__(self):
        self.rows_by_key = {}
        self.epoch = 0
        self.first_epoch = 0
        self.compared_epoch = NO_VERSION
        self.history = RowHistory()
        self.retained = RetainedRows()
        self._reset_versions()

    def apply(self, change_set):
        """Apply the rows that are newer than the known ones.

        Rows of an earlier epoch are ignored, and also those of a later one
        that are not all rows of the table.

        :param change_set: :class:`~boragetrail.direct.interfaces.ChangeSet`
        :returns: list of the rows that changed
        """
        if not self._enter_epoch(change_set):
            return []
        changed = [row for row in change_set.rows if self._apply_row(row)]
        if change_set.is_snapshot:
            changed.extend(self._delete_missing(change_set))
            # A snapshot has no tombstones of rows that were deleted earlier.
            self.compacted_version = max(
                self.compacted_version, change_set.version
            )
        self._compact()
        self.version = max(self.version, change_set.version)
        if change_set.retained is not None:
            changed.extend(self._retain(change_set.retained))
            self.compared_epoch = self.epoch
        return changed

    def position(self):
        """Return the :class:`RowPosition` up to which the rows are known."""
        return RowPosition(
            self.version,
            self.epoch,
            self.first_epoch,
            self.version >= 0 and self.compared_epoch != self.epoch,
        )

    def since(self, position):
        """Return the changes after a position, as the store holds the rows.

        The result is a snapshot if this mirror may not know all deletions
        after that position.

        :param position: :class:`RowPosition` up to which the receiver knows
            all changes
        :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`
        """
        version = position.version
        if position.epoch != self.epoch:
            version = NO_VERSION
        is_snapshot = version < self.compacted_version
        is_snapshot = is_snapshot or position.epoch != self.epoch
        copies = self.retained.copies_by_key
        stored = [
            copies.get(key, row) for key, row in self.rows_by_key.items()
        ]
        rows = [
            row
            for row in stored
            if row is not None and (is_snapshot or row.version > version)
        ]
        rows.sort(key=lambda row: row.version)
        return ChangeSet(
            rows, self.version, is_snapshot, self.epoch, self._retained_rows()
        )

    def end_retention(self, keep):
        """Put the rows that the store holds in force.

        :param keep: function that gets a key and returns whether its row is
            retained further
        :returns: list of the rows that changed
        """
        changed = []
        for key, copy in self.retained.end_all(keep).items():
            if copy is None:
                del self.rows_by_key[key]
                changed.append(Row(key, self.version, None))
            else:
                self.rows_by_key[key] = copy
                changed.append(copy)
        return changed

    def _reset_versions(self):
        self.version = NO_VERSION
        self.newest_row_version = NO_VERSION
        self.compacted_version = NO_VERSION

    def _enter_epoch(self, change_set):
        """Return whether rows are of the current epoch, or begin theirs."""
        epoch = change_set.epoch
        if epoch is None:
            epoch = self.first_epoch
        if self.version < 0 and not self.rows_by_key:
            self.epoch = self.first_epoch = epoch
        if epoch > self.epoch and change_set.is_snapshot:
            self.epoch = self.compared_epoch = epoch
            self.retained.begin(
                self.rows_by_key, self.history, change_set.rows
            )
            self.history = RowHistory()
            self._reset_versions()
        return epoch == self.epoch

    def _retained_rows(self):
        return [
            RetainedRow(
                key,
                self.rows_by_key[key].version,
                self.rows_by_key[key].data,
                _version(copy),
            )
            for key, copy in self.retained.copies_by_key.items()
        ]

    def _retain(self, rows):
        """Put rows in force that another router retains.

        A row that was written in this epoch stays in force.

        :param rows: list of :class:`RetainedRow`
        :returns: list of the rows that changed
        """
        changed = []
        for row in rows:
            known = self.rows_by_key.get(row.key)
            if row.key in self.retained:
                continue
            if _version(known) != row.copied_version:
                continue
            in_force = Row(row.key, row.version, row.data)
            self.retained.copies_by_key[row.key] = known
            self.rows_by_key[row.key] = in_force
            changed.append(in_force)
        return changed

    def _compact(self):
        tombstones = [
            row
            for row in self.rows_by_key.values()
            if row.data is None and row.key not in self.retained
        ]
        if len(tombstones) <= self.MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda row: row.version)
        for row in tombstones[: len(tombstones) // 2]:
            del self.rows_by_key[row.key]
            self.compacted_version = max(self.compacted_version, row.version)

    def _apply_row(self, row):
        known = self.rows_by_key.get(row.key)
        if row.key in self.retained:
            if self.retained.is_copy(row):
                self._keep_retained(known, row)
                return False
            self.retained.end(row.key)
        elif known is None and row.version <= self.compacted_version:
            # A snapshot of a later version did not hold this row.
            return False
        elif known is not None and known.version >= row.version:
            return False
        self._store(row)
        return known is not None or row.data is not None

    def _keep_retained(self, known, copy):
        """Record what the copy holds instead of a retained row."""
        self.newest_row_version = max(self.newest_row_version, copy.version)
        self.history.add(copy)
        if known.data == copy.data:
            self.retained.end(copy.key)
            self._store(copy)
        else:
            self.retained.copies_by_key[copy.key] = copy

    def _store(self, row):
        self.rows_by_key[row.key] = row
        self.history.add(row)
        self.newest_row_version = max(self.newest_row_version, row.version)

    def _delete_missing(self, change_set):
        if change_set.version < self.version:
            return []
        present = {row.key for row in change_set.rows}
        present.update(key for key, _ in change_set.unreadable)
        self._review_retained(present)
        tombstones = []
        for key, row in self.rows_by_key.items():
            is_old = row.version <= change_set.version
            is_missing = key not in present and key not in self.retained
            if is_missing and row.data is not None and is_old:
                tombstones.append(Row(key, change_set.version, None))
        for row in tombstones:
            self.rows_by_key[row.key] = row
            self.history.add(row)
        return tombstones

    def _review_retained(self, present):
        """Retain no row that was deleted, before or after the copy.

        A row that the copy lacked from the beginning is retained, since the
        store has lost it.

        :param present: keys of the rows that the store holds
        """
        for key, copy in list(self.retained.copies_by_key.items()):
            if key in present:
                continue
            if copy is not None:
                self.retained.end(key)
                self.rows_by_key[key] = copy
            elif self.rows_by_key[key].data is None:
                self.retained.end(key)
                del self.rows_by_key[key]


def _version(row):
    return NO_VERSION if row is None else row.version
