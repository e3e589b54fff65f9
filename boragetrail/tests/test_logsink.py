"""Tests of the rate-limited log sink."""

import json
import os

from loguru import logger
import pytest

from boragetrail.events import Event, log_event
from boragetrail.logsink import MAX_BURST_LINES, MAX_LINES_PER_S, BoundedSink
from standins.clock import ManualClock


@pytest.fixture
def pipe():
    """Yield a pipe as file descriptors (read end, write end)."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


@pytest.fixture
def log():
    """Remove all log sinks before and after a test."""
    logger.remove()
    yield
    logger.remove()


class TestBoundedSink:
    """Line format, rate limit and a stalled reader."""

    def read(self, read_end):
        """Read the bytes that are in a pipe, without blocking."""
        data = b""
        try:
            while chunk := os.read(read_end, 65536):
                data += chunk
        except BlockingIOError:
            pass
        return data

    def lines(self, read_end):
        """Read the lines that are in a pipe; return them decoded."""
        data = self.read(read_end)
        return [json.loads(line) for line in data.splitlines()]

    def test_line_has_event_number_and_fields(self, pipe, log):
        logger.add(BoundedSink(pipe[1]), format="{message}")
        log_event(Event.ZONE_OUT, zone="z1", row_version=7)
        (line,) = self.lines(pipe[0])
        assert line["event"] == "E408"
        assert (line["zone"], line["row_version"]) == ("z1", 7)
        assert line["text"] == Event.ZONE_OUT.text

    def test_rate_limit_drops_and_counts_lines(self, pipe, log):
        clock = ManualClock()
        logger.add(BoundedSink(pipe[1], clock), format="{message}")
        for number in range(MAX_BURST_LINES + 50):
            log_event(Event.ZONE_OUT, zone=str(number))
        assert len(self.lines(pipe[0])) == MAX_BURST_LINES
        clock.now_s = 2.0 / MAX_LINES_PER_S
        log_event(Event.ZONE_IN, zone="z1")
        (line,) = self.lines(pipe[0])
        assert line["left_out"] == 50

    def test_stalled_reader_does_not_block_the_process(self, pipe, log):
        clock = ManualClock()
        sink = BoundedSink(pipe[1], clock)
        logger.add(sink, format="{message}")
        for number in range(5000):
            clock.now_s += 1.0
            log_event(Event.ZONE_OUT, zone="z" * 100)
        assert sink.dropped_lines > 0
        dropped = sink.dropped_lines
        data = b""
        for _ in range(4):
            data += self.read(pipe[0])
            log_event(Event.ZONE_IN, zone="z1")
        data += self.read(pipe[0])
        lines = [json.loads(line) for line in data.splitlines()]
        written = [line for line in lines if line["event"] == "E409"]
        assert written[0]["left_out"] == dropped > 0
        assert len(written) == 4
