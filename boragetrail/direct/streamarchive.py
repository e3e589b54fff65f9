"""Saved origins of streams, which outlive all routers."""

import asyncio
import collections

from boragetrail.direct.interfaces import SourceFailure
from boragetrail.policy.versionhistory import VersionHistory

__all__ = ["StreamArchive"]


class StreamArchive:
    """Save in the store where recent streams began, and read it at start.

    Only services with several versions need it. Each router writes its own
    streams in batches, to one of a few rows in turn, so that the oldest row
    is replaced when its streams can no longer be resumed.

    :param origins:
        :class:`~boragetrail.direct.knowledge.streams.StreamOrigins`
    :param registry: :class:`~boragetrail.direct.registries.StreamRegistry`
    :param are_mixed: function that returns whether a service has, or
        recently had, several versions
    :param peers: :class:`~boragetrail.direct.peers.PeerTable`
    :ivar streams_by_row: saved origins by index of the row
    :ivar epoch: epoch of the registry in which they were saved
    """

    CHECK_INTERVAL_S = 0.05
    RETRY_S = 0.5
    # Shortest time between two writes of a router, and of all of them.
    MIN_WRITE_INTERVAL_S = 0.3
    FLEET_WRITE_INTERVAL_S = 0.01
    ROW_COUNT = 8
    # Time covered by each row.
    ROW_SPAN_S = VersionHistory.STREAM_LIFE_S / (ROW_COUNT - 1)
    MAX_STREAMS_PER_ROW = 4000

    def __init__(self, origins, registry, are_mixed, peers):
        self.origins = origins
        self.registry = registry
        self.are_mixed = are_mixed
        self.peers = peers
        self.clock = peers.clock
        self.row_index = 0
        self.row_started_s = float("-inf")
        self.streams_by_row = {}
        self.epoch = registry.epoch

    async def load(self):
        """Read the saved origins.

        :returns: whether the store responded
        """
        saved = await self.registry.read_streams()
        if isinstance(saved, SourceFailure):
            return False
        self.origins.add_saved(saved)
        return True

    async def run(self, versions_loaded):
        """Read the saved origins, then save new ones until cancelled.

        :param versions_loaded: event that is set once it is known which
            versions are in service
        """
        await versions_loaded.wait()
        if self.are_mixed():
            while not await self.load():
                await asyncio.sleep(self.RETRY_S)
        self.origins.loaded.set()
        while True:
            await asyncio.sleep(self.CHECK_INTERVAL_S)
            if self.registry.epoch != self.epoch:
                await self._save_again()
            if not self.origins.unsaved or not self.are_mixed():
                continue
            await self._save()
            await asyncio.sleep(self.interval_s())

    def interval_s(self):
        """Return the seconds between two writes of this router."""
        fleet_s = self.peers.size() * self.FLEET_WRITE_INTERVAL_S
        return max(self.MIN_WRITE_INTERVAL_S, fleet_s)

    async def _save_again(self):
        """Write all rows anew, since the registry may have lost them."""
        self.epoch = self.registry.epoch
        for row_index, streams in list(self.streams_by_row.items()):
            await self._write(row_index, streams)
            await asyncio.sleep(self.interval_s())

    async def _save(self):
        """Write the row in use with the origins that are new."""
        streams = self.streams_by_row.get(self.row_index, [])
        is_full = len(streams) > self.MAX_STREAMS_PER_ROW
        if is_full or self.clock() - self.row_started_s > self.ROW_SPAN_S:
            self.row_index = (self.row_index + 1) % self.ROW_COUNT
            self.row_started_s = self.clock()
            streams = []
        batch = self.origins.take_unsaved(self.MAX_STREAMS_PER_ROW)
        if await self._write(self.row_index, [*streams, *batch]):
            streams = [*streams, *batch]
        else:
            self.origins.return_unsaved(batch)
        self.streams_by_row[self.row_index] = streams

    async def _write(self, row_index, streams):
        """Replace a row; returns whether it was written."""
        streams_by_version = collections.defaultdict(list)
        for origin in streams:
            streams_by_version[origin.version].append(origin.stream)
        name = f"{self.peers.own_address[0]}/{row_index}"
        return await self.registry.save_streams(name, streams_by_version)
