"""Reception of HTTP responses whose connection is reset.

``aiohttp`` takes a reset for the end of a body that has neither a length nor
chunks. Such a body is complete only if its connection was closed in order.
"""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["ResetAwareConnector", "ResetAwareHandler"]


class ResetAwareHandler(ResponseHandler):
    """Protocol of a connection that reports a reset within a body."""

    def connection_lost(self, exc):
        """Mark the body as truncated if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        super().connection_lost(exc)


class ResetAwareConnector(aiohttp.TCPConnector):
    """Connector of a session whose readers of a body learn of a reset."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(ResetAwareHandler, loop=self._loop)
