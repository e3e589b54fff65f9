"""Reading of a server's response ahead of a caller that reads slowly."""

import asyncio
import collections

from boragetrail.direct.buffers import BufferShare

__all__ = ["ReadAhead"]


class ReadAhead:
    """Read the chunks of a response, and ahead of its caller if necessary.

    Servers cut off responses that stay unread for some seconds. Once the
    caller is behind, a task reads on, within limits for the response and for
    all responses together. At a limit it stops reading until the caller has
    read.

    :param chunks: asynchronous generator of the chunks
    :param budget: :class:`~boragetrail.direct.buffers.BufferBudget`
    :param clock: function that returns monotonic seconds
    :param on_end: function that is called when the task has read the whole
        response
    :ivar longest_hold_s: longest time in seconds for which the response was
        not read because the caller was behind
    """

    MAX_BYTES = 256 * 1024
    # A server may cut off a response that was not read for this long. It is
    # below the few seconds after which engines do so.
    MAX_HOLD_S = 1.0

    __slots__ = (
        "chunks",
        "share",
        "clock",
        "on_end",
        "longest_hold_s",
        "buffered",
        "size",
        "changed",
        "task",
    )

    def __init__(self, chunks, budget, clock, on_end):
        self.chunks = chunks
        self.share = BufferShare(budget)
        self.clock = clock
        self.on_end = on_end
        self.longest_hold_s = 0.0
        self.buffered = collections.deque()
        self.size = 0
        self.changed = asyncio.Event()
        self.task = None

    def start(self):
        """Read ahead from now on, since the caller is behind."""
        if self.task is None:
            self.task = asyncio.ensure_future(self._read())

    def blames_caller(self):
        """Return whether the caller may be why the server cut the response."""
        return self.longest_hold_s >= self.MAX_HOLD_S

    async def next(self):
        """Return the next chunk, or empty bytes at the end."""
        if self.task is None:
            return await anext(self.chunks, b"")
        while not self.buffered:
            if self.task.done():
                self.task.result()
                return b""
            await self._until_changed()
        data = self.buffered.popleft()
        self.size -= len(data)
        self.share.try_resize(self.size)
        self.changed.set()
        return data

    async def close(self):
        """Stop reading, and give back the memory."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self.chunks.aclose()
        self.buffered.clear()
        self.share.try_resize(0)

    async def _read(self):
        """Read chunks until the response ends."""
        try:
            async for data in self.chunks:
                self.buffered.append(data)
                self.size += len(data)
                self.changed.set()
                await self._until_space()
            self.on_end()
        finally:
            self.changed.set()

    async def _until_space(self):
        """Wait while the limits allow no further chunk."""
        began_s = self.clock()
        while self.size and (
            self.size >= self.MAX_BYTES or not self.share.try_resize(self.size)
        ):
            await self._until_changed()
            held_s = self.clock() - began_s
            self.longest_hold_s = max(self.longest_hold_s, held_s)

    async def _until_changed(self):
        """Wait until a chunk was added or taken, or the response ended."""
        self.changed.clear()
        await self.changed.wait()
