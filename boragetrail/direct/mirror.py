"""Keep a copy of a table whose rows never go back to an older version."""

from boragetrail.direct.interfaces import ChangeSet, Row

__all__ = ["Mirror"]


class Mirror:
    """Hold the newest known row of each key, deleted ones included.

    :ivar rows_by_key: :class:`~boragetrail.direct.interfaces.Row` by key
    :ivar version: version up to which no change is missing; -1 at first
    :ivar newest: newest version of a row; -1 at first
    :ivar floor: version after which all deletions are known

    >>> mirror = Mirror()
    >>> news = ChangeSet([Row("a", 5, b"new")], 5, False)
    >>> [row.key for row in mirror.apply(news)]
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

    MAX_TOMBSTONES = 2000

    def __init__(self):
        self.rows_by_key = {}
        self.version = -1
        self.newest_row_version = -1
        self.compacted_version = -1

    def apply(self, change_set):
        """Take over newer rows.

        :param change_set: :class:`~boragetrail.direct.interfaces.ChangeSet`
        :returns: list of the rows that changed
        """
        changed = [row for row in change_set.rows if self._take(row)]
        if change_set.is_snapshot:
            changed.extend(self._missing(change_set))
            # Rows that came and went before are not known to be deleted.
            self.compacted_version = max(
                self.compacted_version, change_set.version
            )
        self._drop_old_deletions()
        self.version = max(self.version, change_set.version)
        return changed

    def since(self, version):
        """Return the rows written after a version, as a change set.

        It holds all rows if deletions after that version may be unknown.
        """
        is_snapshot = version < self.compacted_version
        rows = [
            row
            for row in self.rows_by_key.values()
            if is_snapshot or row.version > version
        ]
        rows.sort(key=lambda row: row.version)
        return ChangeSet(rows, self.version, is_snapshot)

    def _drop_old_deletions(self):
        deleted = [
            row for row in self.rows_by_key.values() if row.data is None
        ]
        if len(deleted) <= self.MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda row: row.version)
        for row in deleted[: len(deleted) // 2]:
            del self.rows_by_key[row.key]
            self.compacted_version = max(self.compacted_version, row.version)

    def _take(self, row):
        known = self.rows_by_key.get(row.key)
        if known is None and row.version <= self.compacted_version:
            # The table was read whole later, without this row.
            return False
        if known is not None and known.version >= row.version:
            return False
        self.rows_by_key[row.key] = row
        self.newest_row_version = max(self.newest_row_version, row.version)
        return known is not None or row.data is not None

    def _missing(self, change_set):
        if change_set.version < self.version:
            return []
        present = {row.key for row in change_set.rows}
        gone = []
        for key, row in self.rows_by_key.items():
            is_old = row.version <= change_set.version
            if key not in present and row.data is not None and is_old:
                gone.append(Row(key, change_set.version, None))
        for row in gone:
            self.rows_by_key[row.key] = row
        return gone
