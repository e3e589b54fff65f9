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
    :param was_up: function from an outage in seconds to whether other
        routers heard the source all the while
    :ivar heard_s: monotonic time of the last answer of the source
    """

    WAIT_S = 2.0
    FIRST_PAUSE_S = 0.1
    MOST_PAUSE_S = 0.4
    # Without an answer for so long, the table counts as lost.
    LOST_S = 3.0

    def __init__(self, table, source, directory, clock, random, was_up):
        self.table = table
        self.source = source
        self.directory = directory
        self.clock = clock
        self.random = random
        self.was_up = was_up
        self.heard_s = clock()
        self.steady_since_s = clock()
        self.pause_s = self.FIRST_PAUSE_S
        self.lost = False
        self.failing = False
        self.needs_all = True

    def age_s(self):
        """Return seconds since the source answered."""
        return self.clock() - self.heard_s

    async def run(self):
        """Follow the table until the task is cancelled."""
        while True:
            result = await self._next()
            if isinstance(result, SourceFailure):
                await self._failed(result)
                continue
            self._answered()
            self.directory.apply(self.table, result)

    def steady_s(self):
        """Return seconds since the source last failed; 0 while it does."""
        if self.failing:
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
        return await self.source.changes(
            self.table, mirror.version, self.WAIT_S
        )

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
