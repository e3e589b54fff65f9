"""The answer of one attempt, kept until the router has it."""

import asyncio

import xxhash

__all__ = ["AnswerStream"]

# Bytes of an answer that may be sent and not yet acknowledged.
WINDOW_BYTES = 256 * 1024


class AnswerStream:
    """Buffer an answer between a backend server and a router.

    :param keep_whole: keep all bytes, for an order whose answer may be
        asked for again; else only what is not acknowledged

    :ivar base: offset of the first byte that is kept
    :ivar total: offset behind the last byte
    :ivar events: complete server-sent events up to ``total``
    :ivar failure: failure that ended the answer, if any
    """

    __slots__ = (
        "keep_whole",
        "status",
        "headers",
        "buffer",
        "start_offset",
        "total",
        "acked_offset",
        "events",
        "done",
        "failure",
        "digest",
        "changed",
        "window_open",
    )

    def __init__(self, keep_whole):
        self.keep_whole = keep_whole
        self.status = 0
        self.headers = []
        self.buffer = bytearray()
        self.start_offset = 0
        self.total = 0
        self.acked_offset = 0
        self.events = 0
        self.done = False
        self.failure = None
        self.digest = xxhash.xxh3_64()
        self.changed = asyncio.Event()
        self.window_open = asyncio.Event()
        self.window_open.set()

    def start(self, status, headers):
        """Set the status and the header fields."""
        self.status = status
        self.headers = headers
        self._notify()

    async def append(self, data, events=0):
        """Add bytes; waits while the window is full."""
        self.buffer += data
        self.total += len(data)
        self.events += events
        self.digest.update(data)
        self._notify()
        if (
            not self.keep_whole
            and self.total - self.acked_offset > WINDOW_BYTES
        ):
            self.window_open.clear()
            await self.window_open.wait()

    def end(self, failure=None):
        """End the answer, whole or with a failure."""
        self.failure = failure
        self.done = True
        self._notify()

    def acknowledge(self, offset):
        """Drop what the router has passed on."""
        self.acked_offset = max(self.acked_offset, min(offset, self.total))
        if not self.keep_whole and self.acked_offset > self.start_offset:
            del self.buffer[: self.acked_offset - self.start_offset]
            self.start_offset = self.acked_offset
        if self.total - self.acked_offset <= WINDOW_BYTES:
            self.window_open.set()
        self._notify()

    def read(self, offset, max_bytes):
        """Return up to ``most`` bytes from an offset on."""
        begin = offset - self.start_offset
        return bytes(self.buffer[begin : begin + max_bytes])

    async def wait(self):
        """Wait until something about the answer changes."""
        self.changed.clear()
        await self.changed.wait()

    def _notify(self):
        self.changed.set()
