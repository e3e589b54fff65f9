"""Pass on whole events of a stream and remember the last one."""

__all__ = ["MAX_EVENT_BYTES", "EventSplitter"]

MAX_EVENT_BYTES = 1024 * 1024
SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Cut a stream of bytes at the ends of its events.

    :ivar last_id: id of the last whole event, or empty

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
        """Add bytes and return those that end with a whole event."""
        data = self.remainder + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self.remainder = data
            return b""
        end += len(SEPARATOR)
        whole, self.remainder = data[:end], data[end:]
        self._note_id(whole)
        return whole

    def is_too_long(self):
        """Return whether the event that has not ended may not be kept."""
        return len(self.remainder) > MAX_EVENT_BYTES

    def _note_id(self, whole):
        start = whole.rfind(b"\n" + ID_FIELD)
        if start < 0 and not whole.startswith(ID_FIELD):
            return
        line = whole[start + 1 :].partition(b"\n")[0]
        self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
