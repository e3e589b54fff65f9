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
    :param hearing: :class:`~boragetrail.direct.liveness.StoreHearing`
    :param random: random generator for pauses
    :param role: function that returns this router's :class:`ReaderRole`
    """

    # Limits of a wait for changes, and pauses after some, of routers that
    # ask often for all and of the others.
    MAX_READER_WAIT_S = 1.5
    MAX_WAIT_S = 10.0
    LONG_POLL_PAUSE_S = 0.8
    # Changes are left to readers until these have been silent for so long.
    MAX_READER_SILENCE_S = 2.0
    FOLLOWER_CHECK_S = 0.1
    MIN_RETRY_DELAY_S = 0.1
    MAX_RETRY_DELAY_S = 0.4
    # The same of routers that others tell if the store answers.
    MIN_FOLLOWER_RETRY_DELAY_S = 0.4
    MAX_FOLLOWER_RETRY_DELAY_S = 2.0
    # Without an answer for so long, the table counts as lost.
    LOST_AFTER_S = 3.0

    def __init__(self, table, source, directory, liveness, random, role):
        self.table = table
        self.source = source
        self.directory = directory
        self.liveness = liveness
        self.random = random
        self.role = role
        self.pause_s = self.MIN_RETRY_DELAY_S
        self.lost = False
        self.failing = False
        self.polling = False
        self.needs_full_read = True

    async def run(self):
        """Follow the table until the task is cancelled."""
        while True:
            if not self.needs_full_read and self._is_left_to_others():
                await asyncio.sleep(self.FOLLOWER_CHECK_S)
                continue
            self.polling = True
            result = await self._next()
            self.polling = False
            if isinstance(result, SourceFailure):
                await self._failed(result)
                continue
            self._answered()
            changed = self.directory.apply(self.table, result)
            if changed and self.role() is ReaderRole.LONG_POLLER:
                # Other routers tell of changes meanwhile.
                await asyncio.sleep(self.LONG_POLL_PAUSE_S)

    def is_polling(self):
        """Return whether a change would be told by the source itself."""
        return self.polling and not self.failing

    def record_peer_report(self, age_s, uptime_s):
        """Note what another router told of the source.

        See :meth:`~boragetrail.direct.liveness.StoreHearing.told`.
        """
        self._heard(self.liveness.record_peer_report(age_s, uptime_s))

    def _is_left_to_others(self):
        if self.role() is not ReaderRole.FOLLOWER:
            return False
        return self.liveness.age_s() < self.MAX_READER_SILENCE_S

    async def _next(self):
        mirror = self.directory.mirrors[self.table]
        if self.needs_full_read:
            result = await self.source.read(self.table)
            if isinstance(result, SourceFailure):
                return result
            # A read that lags behind what is known is repeated.
            if result.version < mirror.version:
                return SourceFailure(f"{self.table.value}: read is outdated")
            self.needs_full_read = False
            return result
        waits = self.role() is ReaderRole.LONG_POLLER
        wait_s = self.MAX_WAIT_S if waits else self.MAX_READER_WAIT_S
        return await self.source.changes(self.table, mirror.version, wait_s)

    def _answered(self):
        outage_s = self.liveness.record_response(
            uninterrupted=not self.failing
        )
        self.failing = False
        self.pause_s = self.MIN_RETRY_DELAY_S
        self._heard(outage_s)

    def _heard(self, outage_s):
        if outage_s:
            self.directory.store_recovered()
        if self.lost and self.liveness.age_s() < self.LOST_AFTER_S:
            self.lost = False
            log_event(Event.STORE_RECOVERED, table=self.table.value)

    async def _failed(self, failure):
        if failure.history_lost:
            self.needs_full_read = True
        else:
            self.failing = True
        age_s = self.liveness.age_s()
        if not self.lost and age_s > self.LOST_AFTER_S:
            self.lost = True
            log_event(
                Event.STORE_UNREACHABLE,
                table=self.table.value,
                detail=failure.detail,
                age_s=age_s,
            )
        await asyncio.sleep(self._next_pause_s())

    def _next_pause_s(self):
        least_s, most_s = self.MIN_RETRY_DELAY_S, self.MAX_RETRY_DELAY_S
        if self._is_told_by_others():
            least_s = self.MIN_FOLLOWER_RETRY_DELAY_S
            most_s = self.MAX_FOLLOWER_RETRY_DELAY_S
        pause_s = min(most_s, max(least_s, self.pause_s))
        self.pause_s = 1.5 * pause_s
        return pause_s * self.random.uniform(0.7, 1.3)

    def _is_told_by_others(self):
        """Return whether this router need not find out by itself."""
        return not self.needs_full_read and self.role() in (
            ReaderRole.STANDBY,
            ReaderRole.FOLLOWER,
        )
