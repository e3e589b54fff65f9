"""Non-blocking, rate-limited log output as JSON lines."""

import json
import os
import time

__all__ = ["BoundedSink"]

LINES_PER_S = 200
BURST_LINES = 400
MAX_PENDING_BYTES = 64 * 1024


class BoundedSink:
    """``loguru`` sink that drops lines instead of blocking the process.

    Lines above the rate limit are dropped, and so are lines while the buffer
    for a slow reader is full. The next line that is written holds the number
    of dropped lines in its field ``left_out``.

    :param fd: file descriptor, which is made non-blocking
    :param clock: function that returns monotonic seconds
    :ivar dropped_lines: lines dropped since the last one that was written

    >>> BoundedSink.line({"event": 100, "name": "r1"}, "INFO", "Started.", 5.0)
    '{"t": 5.0, "event": "E100", "level": "INFO", "text": "Started.", \
"name": "r1"}'
    """

    def __init__(self, fd, clock=time.monotonic):
        os.set_blocking(fd, False)
        self.fd = fd
        self.clock = clock
        self.tokens = float(BURST_LINES)
        self.refilled_s = clock()
        self.pending = b""
        self.dropped_lines = 0

    def __call__(self, message):
        """Write or drop one event; called by ``loguru``."""
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
        """Return an event as a line of JSON.

        :param fields: fields of the event; ``event`` is its number
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
        self.tokens += (now - self.refilled_s) * LINES_PER_S
        self.tokens = min(self.tokens, float(BURST_LINES))
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
            # The log itself is broken, so the error can't be reported.
            written = len(self.pending)
        self.pending = self.pending[written:]
