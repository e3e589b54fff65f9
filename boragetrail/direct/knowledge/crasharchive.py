"""Saved reports of crashes, which outlive all routers."""

import asyncio
import collections

import cbor2

from boragetrail.direct.interfaces import SourceFailure

__all__ = ["CrashArchive"]


class CrashArchive:
    """Save in the store which requests crashed servers, and read it at start.

    If all routers are killed, a deadly request comes again within a second.
    Each router saves the reports of the crashes that it saw, as far as a part
    is still suspect, which is once or twice for each crash.

    :param quarantine: :class:`~boragetrail.policy.quarantine.PromptQuarantine`
    :param registry: :class:`~boragetrail.direct.registries.CrashRegistry`
    :param name: name of this router's row
    :param codec: pair of functions that encode a list of records as basic
        values, given the current time, and decode them
    :param clock: function that returns monotonic seconds
    :ivar reports: reports of this router by themselves, oldest first
    :ivar loaded: set when requests need not wait for the reports any more
    """

    CHECK_INTERVAL_S = 0.1
    SAVE_RETRY_S = 0.5
    LOAD_RETRY_S = 0.05
    # Requests of a router that starts wait for the reports at most so long.
    MAX_WAIT_S = 0.6
    MAX_REPORTS = 32

    def __init__(self, quarantine, registry, name, codec, clock):
        self.quarantine = quarantine
        self.registry = registry
        self.name = name
        self.encode, self.decode = codec
        self.clock = clock
        self.reports = collections.deque(maxlen=self.MAX_REPORTS)
        self.saved = []
        self.epoch = registry.epoch
        self.loaded = asyncio.Event()

    def add(self, report):
        """Add a report of this router.

        :param report: :class:`~boragetrail.policy.crashrecords.CrashReport`
        """
        self.reports.append(report)

    async def run(self, first_start):
        """Read the reports, then save new ones until cancelled.

        :param first_start: whether the whole system starts for the first time
        """
        if not first_start:
            try:
                async with asyncio.timeout(self.MAX_WAIT_S):
                    await self._load_until_read()
            except TimeoutError:
                self.loaded.set()
                await self._load_until_read()
        self.loaded.set()
        while True:
            await asyncio.sleep(self.CHECK_INTERVAL_S)
            if not await self.save_changes():
                await asyncio.sleep(self.SAVE_RETRY_S)

    async def load(self):
        """Read the reports of all routers; returns whether they were read."""
        rows = await self.registry.read_crashes()
        if isinstance(rows, SourceFailure):
            return False
        for name, data, age_s in rows:
            if age_s < self.quarantine.REPORT_TTL_S:
                for report in self._decoded(data, age_s):
                    self._add_saved(name, report)
        return True

    def _add_saved(self, name, report):
        """Add a report that was read.

        This router replaces the row of its earlier run, so it goes on with
        what that row holds.
        """
        self.quarantine.add_crash(report)
        if name == self.name:
            self.add(report)

    async def save_changes(self):
        """Save the reports if they changed, or if the store has lost them.

        :returns: whether all reports are saved
        """
        suspected = [self.quarantine.suspected(each) for each in self.reports]
        reports = [each for each in suspected if each is not None]
        epoch = self.registry.epoch
        is_lost = self.saved and epoch != self.epoch
        if reports == self.saved and not is_lost:
            return True
        data = cbor2.dumps(self.encode(reports, self.clock()))
        if not await self.registry.save_crashes(self.name, data):
            return False
        self.saved, self.epoch = reports, epoch
        return True

    async def _load_until_read(self):
        while not await self.load():
            await asyncio.sleep(self.LOAD_RETRY_S)

    def _decoded(self, data, age_s):
        try:
            return self.decode(cbor2.loads(data), self.clock() - age_s)
        except Exception:
            # cbor2's decoders of tagged values raise exceptions of many types;
            # another writer may have left the row.
            return []
