"""Heads of the responses of servers."""

from boragetrail.utils.responses import is_framed

__all__ = ["ServerResponse"]

STATUS_OK = range(200, 300)


class ServerResponse:
    """Hold the head of a server's response and the reader of its body.

    :ivar is_framed: whether the body has a length or chunks; other bodies end
        with their connection
    """

    __slots__ = ("status", "headers", "raw_headers", "payload", "is_framed")

    def __init__(self, message, payload):
        self.status = message.code
        self.is_framed = is_framed(message)
        self.headers = message.headers
        self.raw_headers = message.raw_headers
        self.payload = payload

    @property
    def ok(self):
        """Return whether the status is a success."""
        return self.status in STATUS_OK

    @property
    def media_type(self):
        """Return the type of the content without its parameters."""
        content_type = self.headers.get("Content-Type", "")
        return content_type.partition(";")[0].strip().lower()
