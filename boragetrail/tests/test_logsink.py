"""Tests of the bounded log."""

import json
import os

from loguru import logger
import pytest

from boragetrail.events import Event, log_event
from boragetrail.logsink import BURST_LINES, LINES_PER_S, BoundedSink
from standins.clock import ManualClock


@pytest.fixture
def pipe():
    """A pipe as (reading, writing) descriptors."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def log():
    """Undo what a test does to the log."""
    logger.remove()
    yield
    logger.remove()


class TestBoundedSink:
    """Volume and readers that stop."""

    def read(self, reading):
        """Return the bytes in a pipe."""
        data = b""
        try:
            while chunk := os.read(reading, 65536):
                data += chunk
        except BlockingIOError:
            pass
        return data

    def lines(self, reading):
        """Return the lines in a pipe, decoded."""
        data = self.read(reading)
        return [json.loads(line) for line in data.splitlines()]

    def test_line_has_number_and_fields(self, pipe, log):
        logger.add(BoundedSink(pipe[1]), format="{message}")
        log_event(Event.ZONE_OUT, zone="z1", row_version=7)
        (line,) = self.lines(pipe[0])
        assert line["event"] == "E408"
        assert (line["zone"], line["row_version"]) == ("z1", 7)
        assert line["text"] == Event.ZONE_OUT.text

    def test_rate_is_bounded_and_the_rest_counted(self, pipe, log):
        clock = ManualClock()
        logger.add(BoundedSink(pipe[1], clock), format="{message}")
        for number in range(BURST_LINES + 50):
            log_event(Event.ZONE_OUT, zone=str(number))
        assert len(self.lines(pipe[0])) == BURST_LINES
        clock.now_s = 2.0 / LINES_PER_S
        log_event(Event.ZONE_IN, zone="z1")
        (line,) = self.lines(pipe[0])
        assert line["left_out"] == 50

    def test_reader_that_stops_does_not_stop_the_process(self, pipe, log):
        clock = ManualClock()
        sink = BoundedSink(pipe[1], clock)
        logger.add(sink, format="{message}")
        for number in range(5000):
            clock.now_s += 1.0
            log_event(Event.ZONE_OUT, zone="z" * 100)
        assert sink.left_out > 0
        left_out = sink.left_out
        data = b""
        for _ in range(4):
            data += self.read(pipe[0])
            log_event(Event.ZONE_IN, zone="z1")
        data += self.read(pipe[0])
        lines = [json.loads(line) for line in data.splitlines()]
        back = [line for line in lines if line["event"] == "E409"]
        assert back[0]["left_out"] == left_out > 0
        assert len(back) == 4
