"""Follow one table of the platform."""

import asyncio

from boragetrail.direct.ports import SourceFailure
from boragetrail.events import Event, log_event

__all__ = ["Feed"]


class Feed:
    """Keep a directory up to date with one table.

    :param table: :class:`~boragetrail.direct.ports.Table`
    :param source: :class:`~boragetrail.direct.ports.RowSource`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param clock: function that returns monotonic seconds
    :param random: random generator for pauses
    :param is_reader: function that returns whether this router asks often
    :param was_up: function from an outage in seconds to whether other
        routers heard the source all the while
    :param others_tell: function that returns whether changes are left to
        other routers to tell; by default they never are
    :ivar heard_s: monotonic time of the last answer of the source
    """

    # Limits of a wait for changes, and pauses after some, of routers that
    # ask often for all and of the others.
    READER_WAIT_S = 2.0
    WAIT_S = 10.0
    PAUSE_S = 0.8
    LEFT_TO_OTHERS_S = 0.5
    FIRST_PAUSE_S = 0.1
    MOST_PAUSE_S = 0.4
    # Without an answer for so long, the table counts as lost.
    LOST_S = 3.0

    def __init__(
        self,
        table,
        source,
        directory,
        clock,
        random,
        is_reader,
        was_up,
        others_tell=lambda: False,
    ):
        self.table = table
        self.source = source
        self.directory = directory
        self.clock = clock
        self.random = random
        self.is_reader = is_reader
        self.was_up = was_up
        self.others_tell = others_tell
        self.heard_s = clock()
        self.steady_since_s = clock()
        self.pause_s = self.FIRST_PAUSE_S
        self.lost = False
        self.failing = False
        self.asking = False
        self.needs_all = True

    def age_s(self):
        """Return seconds since the source answered."""
        return self.clock() - self.heard_s

    async def run(self):
        """Follow the table until the task is cancelled."""
        while True:
            if not self.needs_all and self.others_tell():
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
            if changed and not self.is_reader():
                # Other routers tell of changes meanwhile.
                await asyncio.sleep(self.PAUSE_S)

    def is_asking(self):
        """Return whether a change would be told by the source itself."""
        return self.asking and not self.failing

    def steady_s(self):
        """Return for how long the source has answered without a failure.

        It is 0 if that is not known, since the last answer is old.
        """
        if self.failing or self.age_s() > self.LOST_S:
            return 0.0
        return self.clock() - self.steady_since_s

    def is_away(self):
        """Return whether the source has failed for long."""
        away_s = self.directory.LAPSE_OUTAGE_S
        return self.failing and self.age_s() >= away_s

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
        wait_s = self.READER_WAIT_S if self.is_reader() else self.WAIT_S
        return await self.source.changes(self.table, mirror.version, wait_s)

    def _answered(self):
        outage_s = self.age_s()
        self.heard_s = self.clock()
        self.pause_s = self.FIRST_PAUSE_S
        if self.failing:
            self.failing = False
            self.steady_since_s = self.heard_s
            if not self.was_up(outage_s):
                self.directory.store_returned(outage_s)
        if self.lost:
            self.lost = False
            log_event(
                Event.STORE_REGAINED, table=self.table.value, after_s=outage_s
            )

    async def _failed(self, failure):
        if failure.history_lost:
            self.needs_all = True
        else:
            self.failing = True
        if not self.lost and self.age_s() > self.LOST_S:
            self.lost = True
            log_event(
                Event.STORE_LOST,
                table=self.table.value,
                detail=failure.detail,
                age_s=self.age_s(),
            )
        await asyncio.sleep(self.pause_s * self.random.uniform(0.7, 1.3))
        self.pause_s = min(self.MOST_PAUSE_S, 1.5 * self.pause_s)
