"""Feed of the changes of one table of the platform's store."""

import asyncio

from boragetrail.direct.interfaces import ChangeSet, SourceFailure
from boragetrail.direct.readers import ReaderRole
from boragetrail.events import Event, log_event

__all__ = ["Feed"]


class Feed:
    """Polls one table and applies its changes to a directory.

    As long as a reader is known to get responses from the source, a follower
    does not poll the source but fetches changes from other routers, see
    :class:`~boragetrail.direct.relay.PeerFetcher`.

    :param table: :class:`~boragetrail.direct.interfaces.Table`
    :param source: :class:`~boragetrail.direct.interfaces.RowSource`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param liveness: :class:`~boragetrail.direct.liveness.StoreLiveness`
    :param random: random generator for the retry jitter
    :param role: function that returns this router's
        :class:`~boragetrail.direct.readers.ReaderRole`
    :ivar failing: whether a poll has failed since the last successful one;
        failures because of lost history do not count
    :ivar lost: whether the table is reported as lost
    :ivar polling: whether a poll is in progress
    :ivar needs_full_read: whether the next poll reads all rows
    :ivar on_response: function that is called once a response was applied
    :ivar poll_timeout: timeout of the poll in progress that may be given up,
        or ``None``
    """

    # Longest time that a poll waits for a change.
    MAX_READER_WAIT_S = 0.6
    # The same for long pollers.
    MAX_LONG_POLL_WAIT_S = 10.0
    # Time for which a long poller does not poll after it received changes.
    LONG_POLL_PAUSE_S = 0.8
    # Followers poll the store, and long polls are given up, once the last
    # known response of the store is this old.
    MAX_READER_SILENCE_S = 2.0
    FOLLOWER_CHECK_INTERVAL_S = 0.1
    # Delays before a failed poll is repeated, without jitter.
    MIN_RETRY_DELAY_S = 0.1
    MAX_RETRY_DELAY_S = 0.4
    # The same for standbys and followers. Readers tell them when the store
    # responds again.
    MIN_FOLLOWER_RETRY_DELAY_S = 0.4
    MAX_FOLLOWER_RETRY_DELAY_S = 2.0
    # Age of the last known response from which the table is reported as lost.
    LOST_AFTER_S = 3.0

    def __init__(self, table, source, directory, liveness, random, role):
        self.table = table
        self.source = source
        self.directory = directory
        self.liveness = liveness
        self.random = random
        self.role = role
        self.delay_s = self.MIN_RETRY_DELAY_S
        self.lost = False
        self.failing = False
        self.polling = False
        self.needs_full_read = True
        self.poll_timeout = None
        self.on_response = lambda: None

    async def run(self):
        """Follow the table until the task is cancelled."""
        while True:
            if not self.needs_full_read and self._is_left_to_readers():
                await asyncio.sleep(self.FOLLOWER_CHECK_INTERVAL_S)
                continue
            self.polling = True
            result = await self._poll()
            self.polling = False
            if result is None:
                continue
            if isinstance(result, SourceFailure):
                await self._poll_failed(result)
                continue
            self._poll_succeeded()
            changed = self.directory.apply(self.table, result)
            self.on_response()
            if changed and self.role() is ReaderRole.LONG_POLLER:
                # Changes during the pause arrive through other routers.
                await asyncio.sleep(self.LONG_POLL_PAUSE_S)

    def is_polling(self):
        """Return whether a poll of a responsive source is in progress."""
        return self.polling and not self.failing

    def record_peer_report(self, age_s, uptime_s):
        """Record what another router reported about the source.

        See
        :meth:`~boragetrail.direct.liveness.StoreLiveness.record_peer_report`.
        """
        self._record_outage_end(
            self.liveness.record_peer_report(age_s, uptime_s)
        )
        self._extend_poll()

    def give_up_poll(self):
        """End a long poll in progress, since another router knew more.

        Its connection may have gone silent. The next poll uses another one.
        """
        self._end_poll_after(0.0)
        self.poll_timeout = None

    def _is_left_to_readers(self):
        if self.role() is not ReaderRole.FOLLOWER:
            return False
        return not self._is_store_silent()

    async def _poll(self):
        """Read all rows or wait for changes.

        :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`,
            :class:`~boragetrail.direct.interfaces.SourceFailure`, or ``None``
            if the poll was given up
        """
        mirror = self.directory.mirrors[self.table]
        if self.needs_full_read:
            result = await self.source.read(self.table)
            if isinstance(result, SourceFailure):
                return result
            # A failure makes the feed repeat a read that is older than the
            # known rows.
            if _is_outdated(result, mirror):
                return SourceFailure(
                    f"{self.table.value}: read returned an outdated version"
                )
            self.needs_full_read = False
            return result
        position = mirror.position()
        result = await self._wait_for_changes(position)
        if not isinstance(result, ChangeSet) or result.epoch is None:
            return result
        if result.epoch != position.epoch:
            # The version that was asked for has another meaning now.
            return SourceFailure(
                f"{self.table.value}: the store began epoch {result.epoch}",
                history_lost=result.epoch > mirror.epoch,
            )
        return result

    async def _wait_for_changes(self, position):
        """Poll for the changes after a position; see :meth:`_poll`."""
        if self.failing:
            # Whether the store responds again matters more than a change.
            return await self.source.changes(self.table, position, 0.0)
        if not self._may_wait_long():
            wait_s = self.MAX_READER_WAIT_S
            return await self.source.changes(self.table, position, wait_s)
        wait_s = self.MAX_LONG_POLL_WAIT_S
        try:
            async with asyncio.timeout(None) as self.poll_timeout:
                self._extend_poll()
                return await self.source.changes(self.table, position, wait_s)
        except TimeoutError:
            return None
        finally:
            self.poll_timeout = None

    def _may_wait_long(self):
        is_long_poller = self.role() is ReaderRole.LONG_POLLER
        return is_long_poller and not self._is_store_silent()

    def _is_store_silent(self):
        """Return whether no router is known to have had a response lately."""
        return self.liveness.age_s() >= self.MAX_READER_SILENCE_S

    def _extend_poll(self):
        """Let a long poll go on until the store counts as silent."""
        self._end_poll_after(self.MAX_READER_SILENCE_S - self.liveness.age_s())

    def _end_poll_after(self, left_s):
        timeout = self.poll_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time() + left_s)

    def _poll_succeeded(self):
        outage_s = self.liveness.record_response(
            uninterrupted=not self.failing
        )
        self.failing = False
        self.delay_s = self.MIN_RETRY_DELAY_S
        self._record_outage_end(outage_s)

    def _record_outage_end(self, outage_s):
        if outage_s:
            self.directory.start_expiry_grace()
        if self.lost and self.liveness.age_s() < self.LOST_AFTER_S:
            self.lost = False
            log_event(Event.STORE_RECOVERED, table=self.table.value)

    async def _poll_failed(self, failure):
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
        await asyncio.sleep(self._next_retry_delay_s())

    def _next_retry_delay_s(self):
        min_s, max_s = self.MIN_RETRY_DELAY_S, self.MAX_RETRY_DELAY_S
        if self._relies_on_readers():
            min_s = self.MIN_FOLLOWER_RETRY_DELAY_S
            max_s = self.MAX_FOLLOWER_RETRY_DELAY_S
        delay_s = min(max_s, max(min_s, self.delay_s))
        self.delay_s = 1.5 * delay_s
        return delay_s * self.random.uniform(0.7, 1.3)

    def _relies_on_readers(self):
        """Return whether readers tell this router of a store recovery."""
        return not self.needs_full_read and self.role() in (
            ReaderRole.STANDBY,
            ReaderRole.FOLLOWER,
        )


def _is_outdated(result, mirror):
    """Return whether rows are older than those that a mirror holds."""
    epoch = mirror.epoch if result.epoch is None else result.epoch
    return (epoch, result.version) < (mirror.epoch, mirror.version)
