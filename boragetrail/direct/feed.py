"""Follow one table of the platform."""

import asyncio

from boragetrail.direct.interfaces import SourceFailure
from boragetrail.direct.readers import ReaderRole
from boragetrail.events import Event, log_event

__all__ = ["Feed"]


class Feed:
    """Keep a directory up to date with one table.

    A router that is no reader leaves changes to others as long as these are
    known to hear the source, and gets them from there.

    :param table: :class:`~boragetrail.direct.interfaces.Table`
    :param source: :class:`~boragetrail.direct.interfaces.RowSource`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param hearing: :class:`~boragetrail.direct.hearing.StoreHearing`
    :param random: random generator for pauses
    :param role: function that returns this router's :class:`ReaderRole`
    """

    # Limits of a wait for changes, and pauses after some, of routers that
    # ask often for all and of the others.
    READER_WAIT_S = 1.5
    WAIT_S = 10.0
    PAUSE_S = 0.8
    # Changes are left to readers until these have been silent for so long.
    READER_SILENCE_S = 2.0
    LEFT_TO_OTHERS_S = 0.1
    FIRST_PAUSE_S = 0.1
    MOST_PAUSE_S = 0.4
    # The same of routers that others tell if the store answers.
    FIRST_PAUSE_OF_OTHERS_S = 0.4
    MOST_PAUSE_OF_OTHERS_S = 2.0
    # Without an answer for so long, the table counts as lost.
    LOST_S = 3.0

    def __init__(self, table, source, directory, hearing, random, role):
        self.table = table
        self.source = source
        self.directory = directory
        self.hearing = hearing
        self.random = random
        self.role = role
        self.pause_s = self.FIRST_PAUSE_S
        self.lost = False
        self.failing = False
        self.asking = False
        self.needs_all = True

    async def run(self):
        """Follow the table until the task is cancelled."""
        while True:
            if not self.needs_all and self._is_left_to_others():
                await asyncio.sleep(self.LEFT_TO_OTHERS_S)
                continue
            self.asking = True
            result = await self._next()
            self.asking = False
            if isinstance(result, SourceFailure):
                await self._failed(result)
                continue
            self._answered()
            changed = self.directory.apply(self.table, result)
            if changed and self.role() is ReaderRole.WAITING:
                # Other routers tell of changes meanwhile.
                await asyncio.sleep(self.PAUSE_S)

    def is_asking(self):
        """Return whether a change would be told by the source itself."""
        return self.asking and not self.failing

    def told(self, age_s, steady_s):
        """Note what another router told of the source.

        See :meth:`~boragetrail.direct.hearing.StoreHearing.told`.
        """
        self._heard(self.hearing.told(age_s, steady_s))

    def _is_left_to_others(self):
        if self.role() is not ReaderRole.LEAVING_IT_TO_OTHERS:
            return False
        return self.hearing.age_s() < self.READER_SILENCE_S

    async def _next(self):
        mirror = self.directory.mirrors[self.table]
        if self.needs_all:
            result = await self.source.read(self.table)
            if isinstance(result, SourceFailure):
                return result
            # A read that lags behind what is known is repeated.
            if result.version < mirror.version:
                return SourceFailure(f"{self.table.value}: read is outdated")
            self.needs_all = False
            return result
        waits = self.role() is ReaderRole.WAITING
        wait_s = self.WAIT_S if waits else self.READER_WAIT_S
        return await self.source.changes(self.table, mirror.version, wait_s)

    def _answered(self):
        outage_s = self.hearing.answered(unbroken=not self.failing)
        self.failing = False
        self.pause_s = self.FIRST_PAUSE_S
        self._heard(outage_s)

    def _heard(self, outage_s):
        if outage_s:
            self.directory.store_returned()
        if self.lost and self.hearing.age_s() < self.LOST_S:
            self.lost = False
            log_event(Event.STORE_RECOVERED, table=self.table.value)

    async def _failed(self, failure):
        if failure.history_lost:
            self.needs_all = True
        else:
            self.failing = True
        age_s = self.hearing.age_s()
        if not self.lost and age_s > self.LOST_S:
            self.lost = True
            log_event(
                Event.STORE_UNREACHABLE,
                table=self.table.value,
                detail=failure.detail,
                age_s=age_s,
            )
        await asyncio.sleep(self._next_pause_s())

    def _next_pause_s(self):
        least_s, most_s = self.FIRST_PAUSE_S, self.MOST_PAUSE_S
        if self._is_told_by_others():
            least_s = self.FIRST_PAUSE_OF_OTHERS_S
            most_s = self.MOST_PAUSE_OF_OTHERS_S
        pause_s = min(most_s, max(least_s, self.pause_s))
        self.pause_s = 1.5 * pause_s
        return pause_s * self.random.uniform(0.7, 1.3)

    def _is_told_by_others(self):
        """Return whether this router need not find out by itself."""
        return not self.needs_all and self.role() in (
            ReaderRole.STANDING_IN,
            ReaderRole.LEAVING_IT_TO_OTHERS,
        )
