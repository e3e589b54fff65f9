"""Splitting of event streams (``text/event-stream``) into events."""

__all__ = ["MAX_EVENT_BYTES", "EventSplitter"]

MAX_EVENT_BYTES = 1024 * 1024
SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
LINE_ENDS = (b"\n", b"\r")
ID_FIELD = b"id:"


class EventSplitter:
    """Split a byte stream after its last complete event.

    A stream can be resumed after an event, but not within one, so callers
    get complete events.

    :ivar last_id: last id in the complete events, or empty if none has an id
    :ivar remainder: bytes of the event that is not complete yet

    >>> events = EventSplitter()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> events.last_id, events.remainder
    ('1', b'id: 2\\nda')
    """

    __slots__ = ("remainder", "last_id")

    def __init__(self):
        self.remainder = b""
        self.last_id = ""

    def feed(self, data):
        """Add bytes and return all that belong to complete events."""
        data = self.remainder + data
        end = max(_end_of_last(separator, data) for separator in SEPARATORS)
        if not end:
            self.remainder = data
            return b""
        complete, self.remainder = data[:end], data[end:]
        self._update_last_id(complete)
        return complete

    def at_event_end(self):
        """Return whether the last byte was that of a complete event."""
        return not self.remainder

    def exceeds_limit(self):
        """Return whether the incomplete event is larger than allowed."""
        return len(self.remainder) > MAX_EVENT_BYTES

    def _update_last_id(self, complete):
        start = max(complete.rfind(end + ID_FIELD) for end in LINE_ENDS)
        if start < 0 and not complete.startswith(ID_FIELD):
            return
        line = complete[start + 1 :].splitlines()[0]
        self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")


def _end_of_last(separator, data):
    """Return the position after the last separator, or 0 if there is none."""
    start = data.rfind(separator)
    return start + len(separator) if start >= 0 else 0
