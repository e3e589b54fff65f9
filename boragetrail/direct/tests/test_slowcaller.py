"""Tests of callers that read the events of a stream slowly."""

import asyncio
from types import SimpleNamespace

import pytest

from boragetrail.direct.buffers import BufferBudget
from boragetrail.direct.eventstream import EventSplitter
from boragetrail.direct.forwarding import ResponseForwarder
from boragetrail.direct.model import RequestKind
from boragetrail.direct.phases import AttemptState
from boragetrail.direct.readahead import ReadAhead
from boragetrail.platform import HEADER_NAMES
from boragetrail.reasons import Reason

EVENT = b"data: " + b"x" * 16 * 1024 + b"\n\n"


class SlowCaller:
    """Take the first event, and no further one before it is told to read."""

    def __init__(self):
        self.started = True
        self.reads = asyncio.Event()
        self.received = []

    async def write(self, data):
        """Take some bytes of a stream."""
        if self.received:
            await self.reads.wait()
        self.received.append(data)

    async def finish(self):
        """Take the end of a stream."""


class Server:
    """Send events, and count those that were read.

    :param count: number of events
    :param cuts_off: whether the response is cut off after them
    """

    def __init__(self, count, cuts_off=False):
        self.count = count
        self.cuts_off = cuts_off
        self.read = 0
        self.failures = 0
        self.attempt = SimpleNamespace(
            server=self,
            response=SimpleNamespace(
                ok=True, media_type="", raw_headers=[], is_framed=True
            ),
            state=AttemptState.RESPONDING,
            chunks=self.chunks,
            clock=asyncio.get_running_loop().time,
            began_s=0.0,
            was_reset=False,
            retryable=False,
            error="cut off",
            progressed_s=None,
        )

    async def chunks(self):
        """Yield the events."""
        for _ in range(self.count):
            self.read += 1
            yield EVENT
            await asyncio.sleep(0)
        ended = AttemptState.FAILED if self.cuts_off else AttemptState.COMPLETE
        self.attempt.state = ended

    def record_failure(self, began_s, retryable=False):
        """Count a failure that the router records."""
        self.failures += 1

    def record_response(self, retryable=False):
        """Take a complete response."""


class SlowStream:
    """Own a forwarder, a caller that does not read, and a server.

    :param server: :class:`Server`
    """

    def __init__(self, server, budget=None):
        self.server = server
        self.caller = SlowCaller()
        self.ended = 0
        nothing = SimpleNamespace(
            response_progressed=lambda *_: None,
            stream_started=lambda *_: None,
        )
        self.forwarder = ResponseForwarder(
            HEADER_NAMES, nothing, None, nothing
        )
        self.forwarder.reads_ahead = True
        if budget is not None:
            self.forwarder.buffer_budget = budget
        self.progress = SimpleNamespace(
            media_type="",
            splitter=EventSplitter(),
            stream_begun=True,
            pending_work=SimpleNamespace(end=self._end),
        )
        self.task = None

    def _end(self):
        self.ended += 1

    async def start(self):
        """Begin to forward, and let the server send for a moment."""
        route = SimpleNamespace(kind=RequestKind.STREAM)
        self.task = asyncio.ensure_future(
            self.forwarder.forward(
                SimpleNamespace(route=route),
                self.caller,
                self.progress,
                self.server.attempt,
            )
        )
        await asyncio.sleep(0.1)

    async def finish(self):
        """Let the caller read the rest; returns the failure."""
        self.caller.reads.set()
        return await self.task


class TestReadAhead:
    """Guard against engines that have to wait for a slow caller."""

    async def test_response_is_read_to_its_end(self):
        stream = SlowStream(Server(8))
        await stream.start()
        assert stream.server.attempt.state is AttemptState.COMPLETE
        # The engine has a place again, though the caller is still behind.
        assert stream.ended == 1
        assert await stream.finish() is None
        assert b"".join(stream.caller.received) == 8 * EVENT

    async def test_response_is_bounded(self):
        stream = SlowStream(Server(100))
        await stream.start()
        held = stream.server.read * len(EVENT)
        assert held <= ReadAhead.MAX_BYTES + 4 * len(EVENT)
        assert await stream.finish() is None
        assert b"".join(stream.caller.received) == 100 * EVENT

    # All streams together must not exceed the memory of the machine.
    async def test_sum_is_bounded(self):
        budget = BufferBudget(2 * len(EVENT))
        streams = [SlowStream(Server(10), budget) for _ in range(4)]
        for stream in streams:
            await stream.start()
        assert budget.left_bytes >= 0
        assert sum(stream.server.read for stream in streams) < 24
        for stream in streams:
            assert await stream.finish() is None
        assert budget.left_bytes == 2 * len(EVENT)

    async def test_without_the_feature(self):
        stream = SlowStream(Server(8))
        stream.forwarder.reads_ahead = False
        await stream.start()
        assert stream.server.read == 2
        assert await stream.finish() is None

    # The memory of a caller that leaves was never given back.
    async def test_caller_leaves(self):
        stream = SlowStream(Server(100))
        budget = stream.forwarder.buffer_budget
        left_bytes = budget.left_bytes
        await stream.start()
        assert budget.left_bytes < left_bytes
        stream.task.cancel()
        await asyncio.wait([stream.task])
        assert budget.left_bytes == left_bytes


class TestBlame:
    """Guard against engines that count as failed for their callers."""

    @pytest.mark.parametrize("hold_s, failures", [(0.0, 0), (1e9, 1)])
    async def test_response_is_cut_off(self, monkeypatch, hold_s, failures):
        monkeypatch.setattr(ReadAhead, "MAX_HOLD_S", hold_s)
        stream = SlowStream(Server(30, cuts_off=True))
        await stream.start()
        failure = await stream.finish()
        assert failure.reason is Reason.TRUNCATED
        assert stream.server.failures == failures
