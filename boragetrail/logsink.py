"""Write log events as JSON lines without ever waiting for the reader."""

import json
import os
import time

__all__ = ["BoundedSink"]

LINES_PER_S = 200
BURST_LINES = 400
MOST_PENDING_BYTES = 64 * 1024


class BoundedSink:
    """A sink for ``loguru`` whose volume is bounded.

    Lines beyond the rate, and lines for which the reader has left no room,
    are left out and counted; the next line that is written tells how many.

    :param fd: file descriptor, which is made non-blocking
    :param clock: function that returns monotonic seconds
    :ivar left_out: lines left out since the last one that was written

    >>> BoundedSink.line({"event": 100, "name": "r1"}, "INFO", "Started.", 5.0)
    '{"t": 5.0, "event": "E100", "level": "INFO", "text": "Started.", \
"name": "r1"}'
    """

    def __init__(self, fd, clock=time.monotonic):
        os.set_blocking(fd, False)
        self.fd = fd
        self.clock = clock
        self.tokens = float(BURST_LINES)
        self.filled_s = clock()
        self.pending = b""
        self.left_out = 0

    def __call__(self, message):
        """Write one event; called by ``loguru``."""
        record = message.record
        fields = dict(record["extra"])
        self._write(b"")
        if self._is_over() or len(self.pending) > MOST_PENDING_BYTES:
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out"] = self.left_out
            self.left_out = 0
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

        :param fields: fields of the event, its number among them
        :param time_s: Unix time in seconds
        """
        number = fields.pop("event", None)
        line = {"t": time_s}
        if number is not None:
            line["event"] = f"E{number}"
        line.update({"level": level, "text": text})
        line.update(fields)
        return json.dumps(line, default=str)

    def _is_over(self):
        now = self.clock()
        self.tokens += (now - self.filled_s) * LINES_PER_S
        self.tokens = min(self.tokens, float(BURST_LINES))
        self.filled_s = now
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
            # Nobody can be told that the log is gone.
            written = len(self.pending)
        self.pending = self.pending[written:]
