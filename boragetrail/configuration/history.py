"""Log of configuration changes in the platform's stores.

Row ``config/log/N`` of the table service holds the change that creates
version N. A change is committed by inserting this row if the row is absent. A
snapshot of the document at every 64th version is written to the object store.
"""

import cbor2

from boragetrail.configuration.document import Change, Document, check_change
from boragetrail.errors import ChangeFailure, PlatformFailure

__all__ = ["History", "log_key"]

VERSIONS_PER_SNAPSHOT = 64
SNAPSHOT_KEY = "config/snapshot"
MAX_COMMIT_ATTEMPTS = 5
ROWS_PER_PAGE = 200


def log_key(version):
    """Return the key of the row that holds a version's change."""
    return f"config/log/{version:012d}"


class History:
    """Log of committed changes, from which the document is built.

    :param table: client of the table service
    :param objects: client of the object store
    """

    def __init__(self, table, objects):
        self.table = table
        self.objects = objects

    async def load(self):
        """Load the newest document: the snapshot and the later changes.

        :returns: :class:`Document`, or :class:`PlatformFailure`
        """
        doc = Document()
        data = await self.objects.get(SNAPSHOT_KEY)
        if data and not isinstance(data, PlatformFailure):
            doc = Document.from_snapshot(cbor2.loads(data))
        result = await self.read_after(doc)
        return result if isinstance(result, PlatformFailure) else doc

    async def read_after(self, doc):
        """Apply the changes in the log that a document does not have.

        :returns: list of the applied changes, or :class:`PlatformFailure`
        """
        applied = []
        while True:
            rows = await self.table.scan(
                "config/log/", log_key(doc.version), ROWS_PER_PAGE
            )
            if isinstance(rows, PlatformFailure):
                return rows
            for row in rows:
                change = Change.from_list(row.value)
                if doc.apply(change):
                    applied.append(change)
            if len(rows) < ROWS_PER_PAGE:
                return applied

    async def commit(self, doc, change):
        """Add a proposed change to the log and apply it to a document.

        Changes that others commit concurrently are applied to the document
        first, and then the proposed change is validated again.

        :param doc: document, which is brought up to date
        :param change: proposed change
        :returns: list of the changes that were applied to the document, or
            :class:`ChangeFailure`; the proposed change is the last one,
            unless it had been committed before
        """
        applied = []
        for _ in range(MAX_COMMIT_ATTEMPTS):
            newer = await self.read_after(doc)
            if isinstance(newer, PlatformFailure):
                return ChangeFailure("unavailable", newer.detail)
            applied.extend(newer)
            committed_version = doc.versions_by_change_id.get(change.change_id)
            if committed_version:
                return applied
            failure = check_change(doc, change)
            if failure:
                return failure
            change.version = doc.version + 1
            result = await self.table.transact_one(
                log_key(change.version), change.to_list(), 0
            )
            if not isinstance(result, PlatformFailure):
                doc.apply(change)
                applied.append(change)
                await self._snapshot(doc)
                return applied
            # Either the response was lost or another change was inserted
            # first. The next attempt reads the log and, if the change was
            # committed, finds it by its id.
        detail = f"change {change.change_id!r} could not be committed"
        return ChangeFailure("unavailable", detail)

    async def read_version(self, version):
        """Return the document at a version, or :class:`PlatformFailure`."""
        doc = Document()
        rows = await self.table.scan("config/log/", log_key(0), version)
        if isinstance(rows, PlatformFailure):
            return rows
        for row in rows:
            doc.apply(Change.from_list(row.value))
        return doc

    async def changes_after(self, after, limit):
        """Return the changes that follow a version, oldest first.

        :param after: version before that of the first change
        :param limit: largest number of changes
        :returns: list of :class:`Change`, or :class:`PlatformFailure`
        """
        rows = await self.table.scan("config/log/", log_key(after), limit)
        if isinstance(rows, PlatformFailure):
            return rows
        return [Change.from_list(row.value) for row in rows]

    async def _snapshot(self, doc):
        if doc.version % VERSIONS_PER_SNAPSHOT == 0:
            data = cbor2.dumps(doc.to_snapshot())
            await self.objects.put(SNAPSHOT_KEY, data)
