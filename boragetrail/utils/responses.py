"""Reception of HTTP responses from processes that may send anything.

``aiohttp`` takes a reset for the end of a body that has neither a length nor
chunks. Such a body is complete only if its connection was closed in order,
and by a server that has taken the whole request.
It also keeps whatever a server sends until a response is complete, and after
it on a connection that is kept.
"""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from boragetrail.utils.responseheads import HeadBytes, head_error
from boragetrail.utils.uploads import UploadWatch

__all__ = [
    "BodyTooLong",
    "BoundedConnector",
    "BoundedHandler",
    "is_framed",
    "read_body",
]

# Limit on the bytes that a server may send without a byte of a body, such as
# a head, chunk extensions or informational responses.
MAX_UNPRODUCTIVE_BYTES = 256 * 1024
INFORMATIONAL_STATUSES = range(100, 200)
UNPRODUCTIVE_ERROR = f"over {MAX_UNPRODUCTIVE_BYTES} bytes without a body"


class BodyTooLong(aiohttp.ClientPayloadError):
    """Tell that a body exceeds its limit."""


class BoundedHandler(ResponseHandler):
    """Protocol of a connection that bounds what is kept besides bodies.

    It also reports a reset within a body, and refuses invalid heads.

    :ivar unproductive_bytes: bytes received since the last byte of a body
    :ivar awaits_head: whether the head of the response has yet to arrive
    :ivar is_framed: whether the latest body has a length or chunks
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.unproductive_bytes = 0
        self.awaits_head = False
        self.is_framed = True
        self._head_bytes = HeadBytes()

    def set_response_params(self, **params):
        """Prepare for the next response."""
        self.unproductive_bytes = 0
        self.awaits_head = True
        self._head_bytes.clear()
        super().set_response_params(**params)

    def data_received(self, data):
        """Parse bytes of a response, or close after too many without one."""
        if self.awaits_head:
            self._head_bytes.add(data)
        before = self._body_bytes()
        super().data_received(data)
        if self._body_bytes() != before:
            self.unproductive_bytes = 0
            return
        self.unproductive_bytes += len(data)
        if self.unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            self.reset(ConnectionResetError(UNPRODUCTIVE_ERROR))

    def feed_data(self, data, size=0):
        """Pass on the head of a response and its body, if it is valid.

        :param data: (``aiohttp.http.RawResponseMessage``, reader of the body)
        """
        message, _ = data
        head = self._take_head(message.code)
        error = head_error(message.code, message.raw_headers, head)
        if not error:
            self.is_framed = is_framed(message)
            super().feed_data(data, size)
            return
        self.set_exception(HttpProcessingError(message=error))
        if self.transport is not None:
            self.transport.abort()

    def set_exception(self, exc, *causes):
        """Fail the response, and a body that the parser has refused.

        :param exc: exception that a reader of the head gets
        :param causes: exception that led to it, if there was one
        """
        if isinstance(exc, HttpProcessingError):
            exc = self._without_bytes(exc, *causes)
            self._fail_body(exc)
        super().set_exception(exc, *causes)

    def eof_received(self):
        """Complete a body that ends here once the request was taken.

        :returns: whether the connection stays open until then
        """
        super().eof_received()
        payload = self._payload
        if self.is_framed or payload is None or payload.is_eof():
            return False
        transport = self.transport
        UploadWatch(transport, transport.close, self.reset).check()
        return True

    def reset(self, exc):
        """Close the connection as if the server had reset it.

        :param exc: ``OSError`` that readers of a response get
        """
        transport = self.transport
        self.connection_lost(exc)
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc):
        """Mark the body as truncated if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        super().connection_lost(exc)

    @staticmethod
    def _without_bytes(exc, *causes):
        """Return an error that does not quote what the server sent.

        Callers get its text, and the bytes may be for another caller.
        """
        if not causes:
            return exc
        return HttpProcessingError(message=type(causes[0]).__name__)

    def _fail_body(self, exc):
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(exc)))

    def _take_head(self, status):
        """Return the bytes of a head, or none after that of the response."""
        if not self.awaits_head:
            return b""
        head = self._head_bytes.take_head()
        if status not in INFORMATIONAL_STATUSES:
            self.awaits_head = False
            self._head_bytes.clear()
        return head

    def _body_bytes(self):
        payload = self._payload
        return (id(payload), getattr(payload, "total_bytes", 0))


class BoundedConnector(aiohttp.TCPConnector):
    """Connector of a session whose connections are :class:`BoundedHandler`."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(BoundedHandler, loop=self._loop)


def is_framed(message):
    """Return whether the body of a response has a length or chunks.

    Other bodies end with their connection.

    :param message: ``aiohttp.http.RawResponseMessage``
    """
    return message.chunked or "Content-Length" in message.headers


async def read_body(response, max_bytes):
    """Return the complete body of a response.

    :param response: ``aiohttp.ClientResponse``
    :param max_bytes: largest size of the decoded body
    :raises BodyTooLong: if it is larger; the connection is closed
    :raises aiohttp.ClientPayloadError: if the connection is lost before its
        end
    """
    chunks, size = [], 0
    try:
        async for data in response.content.iter_any():
            size += len(data)
            if size > max_bytes:
                response.close()
                raise BodyTooLong(f"body larger than {max_bytes} bytes")
            chunks.append(data)
    except ConnectionError as exc:
        raise aiohttp.ClientPayloadError(repr(exc)) from exc
    return b"".join(chunks)
