"""Buffer for the answer of one attempt, until acknowledged by the router."""

import asyncio

import xxhash

__all__ = ["AnswerStream"]

# Limit on the bytes of an answer that are sent but not yet acknowledged.
WINDOW_BYTES = 256 * 1024


class AnswerStream:
    """Buffer an answer between a backend server and a router.

    :param keep_whole: whether acknowledged bytes are kept, for an order whose
        answer may be requested again

    :ivar status: HTTP status, 0 before the answer has started
    :ivar start_offset: offset of the first buffered byte
    :ivar length: number of bytes received from the backend server
    :ivar acked_offset: number of bytes that the router has acknowledged
    :ivar events: number of complete server-sent events received
    :ivar failure: failure that ended the answer, or ``None``
    :ivar changed: event, set when the answer changes
    :ivar window_open: event, cleared while :meth:`append` waits for
        acknowledgements
    """

    __slots__ = (
        "keep_whole",
        "status",
        "headers",
        "buffer",
        "start_offset",
        "length",
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
        self.length = 0
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
        """Append bytes and wait while the window is full.

        :param events: number of complete server-sent events in the bytes
        """
        self.buffer += data
        self.length += len(data)
        self.events += events
        self.digest.update(data)
        self._notify()
        if (
            not self.keep_whole
            and self.length - self.acked_offset > WINDOW_BYTES
        ):
            self.window_open.clear()
            await self.window_open.wait()

    def end(self, failure=None):
        """End the answer.

        :param failure: failure that cut the answer short, or ``None`` if the
            answer is complete
        """
        self.failure = failure
        self.done = True
        self._notify()

    def acknowledge(self, offset):
        """Record the router's acknowledgement of the bytes up to an offset.

        Acknowledged bytes leave the window and, unless ``keep_whole``, the
        buffer.
        """
        self.acked_offset = max(self.acked_offset, min(offset, self.length))
        if not self.keep_whole and self.acked_offset > self.start_offset:
            del self.buffer[: self.acked_offset - self.start_offset]
            self.start_offset = self.acked_offset
        if self.length - self.acked_offset <= WINDOW_BYTES:
            self.window_open.set()
        self._notify()

    def read(self, offset, max_bytes):
        """Return up to ``max_bytes`` buffered bytes from an offset on."""
        begin = offset - self.start_offset
        return bytes(self.buffer[begin : begin + max_bytes])

    async def wait(self):
        """Wait until the answer changes."""
        self.changed.clear()
        await self.changed.wait()

    def _notify(self):
        self.changed.set()
