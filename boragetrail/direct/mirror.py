"""Local copy of a table whose rows never revert to an older version."""

from boragetrail.direct.interfaces import ChangeSet, Row

__all__ = ["Mirror"]


class Mirror:
    """Holds the newest known row of each key, including tombstones.

    A tombstone is the row of a deleted key, with ``None`` as data.

    :ivar rows_by_key: :class:`~boragetrail.direct.interfaces.Row` by key
    :ivar version: version up to which all changes are known; -1 at first
    :ivar newest_row_version: version of the newest row; -1 at first
    :ivar compacted_version: version up to which tombstones may be missing;
        all later deletions are known

    >>> mirror = Mirror()
    >>> changes = ChangeSet([Row("a", 5, b"new")], 5, False)
    >>> [row.key for row in mirror.apply(changes)]
    ['a']
    >>> mirror.apply(ChangeSet([Row("a", 4, b"old")], 4, False))
    []
    """

    __slots__ = (
        "rows_by_key",
        "version",
        "newest_row_version",
        "compacted_version",
    )

    # With more tombstones, the older half is removed.
    MAX_TOMBSTONES = 2000

    def __init__(self):
        self.rows_by_key = {}
        self.version = -1
        self.newest_row_version = -1
        self.compacted_version = -1

    def apply(self, change_set):
        """Apply the rows that are newer than the known ones.

        :param change_set: :class:`~boragetrail.direct.interfaces.ChangeSet`
        :returns: list of the rows that changed
        """
        changed = [row for row in change_set.rows if self._apply_row(row)]
        if change_set.is_snapshot:
            changed.extend(self._delete_missing(change_set))
            # A snapshot has no tombstones of rows that were deleted earlier.
            self.compacted_version = max(
                self.compacted_version, change_set.version
            )
        self._compact()
        self.version = max(self.version, change_set.version)
        return changed

    def since(self, version):
        """Return the changes after a version.

        The result is a snapshot if this mirror may not know all deletions
        after that version.

        :param version: version up to which the receiver knows all changes
        :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`
        """
        is_snapshot = version < self.compacted_version
        rows = [
            row
            for row in self.rows_by_key.values()
            if is_snapshot or row.version > version
        ]
        rows.sort(key=lambda row: row.version)
        return ChangeSet(rows, self.version, is_snapshot)

    def _compact(self):
        tombstones = [
            row for row in self.rows_by_key.values() if row.data is None
        ]
        if len(tombstones) <= self.MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda row: row.version)
        for row in tombstones[: len(tombstones) // 2]:
            del self.rows_by_key[row.key]
            self.compacted_version = max(self.compacted_version, row.version)

    def _apply_row(self, row):
        known = self.rows_by_key.get(row.key)
        if known is None and row.version <= self.compacted_version:
            # A snapshot of a later version did not hold this row.
            return False
        if known is not None and known.version >= row.version:
            return False
        self.rows_by_key[row.key] = row
        self.newest_row_version = max(self.newest_row_version, row.version)
        return known is not None or row.data is not None

    def _delete_missing(self, change_set):
        if change_set.version < self.version:
            return []
        present = {row.key for row in change_set.rows}
        tombstones = []
        for key, row in self.rows_by_key.items():
            is_old = row.version <= change_set.version
            if key not in present and row.data is not None and is_old:
                tombstones.append(Row(key, change_set.version, None))
        for row in tombstones:
            self.rows_by_key[row.key] = row
        return tombstones
