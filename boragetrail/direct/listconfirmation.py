"""Confirmation that the known list of servers is current.

A server may start again under its id with another software version, and
servers of another version may join, while a router hears nothing of the store.
What the list says of a version holds only from the moment on at which the
store was asked last.
"""

import asyncio

from boragetrail.direct.interfaces import ChangeSet, SourceFailure, Table
from boragetrail.direct.versionledger import ages_s

__all__ = ["ListConfirmation"]


class ListConfirmation:
    """Know until when the list of servers was current, and ask the store.

    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param liveness: :class:`~boragetrail.direct.liveness.StoreLiveness` of
        the table of servers
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :param clock: function that returns monotonic seconds
    :ivar source: :class:`~boragetrail.direct.interfaces.RowSource` that is
        also a :class:`~boragetrail.direct.registries.VersionRegistry`
    :ivar confirmed_s: monotonic time at which the list was current
    """

    __slots__ = (
        "directory",
        "liveness",
        "tasks",
        "clock",
        "source",
        "confirmed_s",
        "failed_s",
        "task",
    )

    # Longest wait for the store.
    MAX_WAIT_S = 0.2
    # Time after a failure for which the store is not asked again.
    RETRY_INTERVAL_S = 0.3
    # Longest time from a response of the store until a router hears of it.
    MAX_REPORT_DELAY_S = 0.3
    # Age of the last known response from which the list may be outdated.
    MAX_LIST_AGE_S = 1.5

    def __init__(self, directory, liveness, tasks, clock):
        self.directory = directory
        self.liveness = liveness
        self.tasks = tasks
        self.clock = clock
        self.source = None
        self.confirmed_s = float("-inf")
        self.failed_s = float("-inf")
        self.task = None

    def advance(self):
        """Record that no newer rows than the known ones are known of."""
        if self.directory.is_complete():
            last_s = self.liveness.last_response_s - self.MAX_REPORT_DELAY_S
            self._confirm(last_s)

    def is_recent(self):
        """Return whether the store has responded to any router lately.

        Servers write their entries again some seconds after an outage.
        """
        is_old = self.liveness.age_s() > self.MAX_LIST_AGE_S
        return not is_old and not self.directory.in_expiry_grace()

    async def is_current_since(self, since_s):
        """Return whether the list was current at a time or later.

        The store is asked if that is not known.

        :param since_s: monotonic time
        """
        if self.confirmed_s >= since_s:
            return True
        # A query in progress may have begun before that time.
        for _ in range(2):
            if self.clock() - self.failed_s < self.RETRY_INTERVAL_S:
                return False
            if self.task is None:
                self.task = self.tasks.start(self._ask(), "server list")
            await asyncio.wait([self.task], timeout=self.MAX_WAIT_S)
            if self.confirmed_s >= since_s:
                return True
        return False

    def _confirm(self, time_s):
        if not self.directory.in_expiry_grace():
            self.confirmed_s = max(self.confirmed_s, time_s)

    async def _ask(self):
        try:
            if not await self._update():
                self.failed_s = self.clock()
        finally:
            self.task = None

    async def _update(self):
        """Apply the changes of the store; returns whether it responded."""
        started_s = self.clock()
        position = self.directory.mirrors[Table.SERVERS].position()
        changes = await self.source.changes(Table.SERVERS, position, 0.0)
        if not isinstance(changes, ChangeSet):
            return False
        if changes.epoch not in (None, position.epoch):
            return False
        saved = await self.source.read_versions()
        if isinstance(saved, SourceFailure):
            return False
        self.directory.apply(Table.SERVERS, changes)
        for service, each in saved.items():
            self.directory.version_history.load(service, ages_s(each))
        self._confirm(started_s)
        return True
