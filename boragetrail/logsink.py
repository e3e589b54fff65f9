"""Log output as JSON lines that neither blocks nor exceeds a rate."""

import json
import os
import time

__all__ = ["BoundedSink"]

# The rate limit is a token bucket: a long-term rate and a burst.
MAX_LINES_PER_S = 200
MAX_BURST_LINES = 400
# While more bytes than this wait for the reader, new lines are dropped.
MAX_PENDING_BYTES = 64 * 1024


class BoundedSink:
    """``loguru`` sink that drops lines instead of blocking the process.

    A line is dropped if it exceeds the rate limit, or if the buffer is full
    because the reader is slow. The key ``left_out`` of the next line that is
    written holds the number of lines dropped since the line before.

    :param fd: file descriptor to write to; it is made non-blocking
    :param clock: function that returns monotonic time in seconds
    :ivar tokens: number of lines that the rate limit permits now
    :ivar refilled_s: time when ``tokens`` was last updated
    :ivar pending: bytes that wait for the reader
    :ivar dropped_lines: number of lines dropped since the last written line

    >>> BoundedSink.line({"event": 100, "name": "r1"}, "INFO", "Started.", 5.0)
    '{"t": 5.0, "event": "E100", "level": "INFO", "text": "Started.", \
"name": "r1"}'
    """

    def __init__(self, fd, clock=time.monotonic):
        os.set_blocking(fd, False)
        self.fd = fd
        self.clock = clock
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_s = clock()
        self.pending = b""
        self.dropped_lines = 0

    def __call__(self, message):
        """Write or drop a log event.

        :param message: message of ``loguru``, which calls this method
        """
        record = message.record
        fields = dict(record["extra"])
        self._write(b"")
        if self._is_over_rate() or len(self.pending) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            fields["left_out"] = self.dropped_lines
            self.dropped_lines = 0
        line = self.line(
            fields,
            record["level"].name,
            record["message"],
            round(record["time"].timestamp(), 3),
        )
        self._write(line.encode() + b"\n")

    @staticmethod
    def line(fields, level, text, time_s):
        """Return a log event as a line of JSON.

        :param fields: fields of the event by name; the field ``event``, which
            is removed from the dictionary, holds its number
        :param level: name of the log level
        :param text: meaning of the event
        :param time_s: Unix time in seconds
        """
        number = fields.pop("event", None)
        line = {"t": time_s}
        if number is not None:
            line["event"] = f"E{number}"
        line.update({"level": level, "text": text})
        line.update(fields)
        return json.dumps(line, default=str)

    def _is_over_rate(self):
        now = self.clock()
        self.tokens += (now - self.refilled_s) * MAX_LINES_PER_S
        self.tokens = min(self.tokens, float(MAX_BURST_LINES))
        self.refilled_s = now
        if self.tokens < 1:
            return True
        self.tokens -= 1
        return False

    def _write(self, data):
        self.pending += data
        if not self.pending:
            return
        try:
            written = os.write(self.fd, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # There is no other log to report the error to, so the data is
            # dropped.
            written = len(self.pending)
        self.pending = self.pending[written:]
