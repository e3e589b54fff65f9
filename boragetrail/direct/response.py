"""The response to one caller."""

import json

import aiohttp.web
from multidict import CIMultiDict

__all__ = ["CallerResponse"]

SERVER_NAME = "boragetrail"


class CallerResponse:
    """Write the response to one caller, as a whole or as a stream.

    :param http_request: ``aiohttp.web.BaseRequest`` of the caller
    :param shutdown: :class:`~boragetrail.direct.shutdown.Shutdown`; once it
        has begun, the connection closes after the response
    :ivar started: whether the head of a stream was written
    :ivar response: the ``aiohttp`` response, or ``None``
    """

    def __init__(self, http_request, shutdown):
        self.http_request = http_request
        self.shutdown = shutdown
        self.started = False
        self.response = None

    def set_response(self, status, fields, body):
        """Set a response that is written as a whole.

        :param fields: header fields as a list of (name, value)
        """
        self.response = aiohttp.web.Response(
            status=status, headers=CIMultiDict(fields), body=body
        )
        self._finish_head()

    def set_failure(self, failure):
        """Set an error response.

        :param failure: :class:`~boragetrail.errors.Failure`
        """
        reason = failure.reason
        fields = [("Content-Type", "application/json")]
        if failure.retry_after_s:
            fields.append(("Retry-After", f"{failure.retry_after_s:.2f}"))
        content = {
            "code": reason.code,
            "detail": failure.detail or reason.text,
            "ran": failure.ran.value,
        }
        self.set_response(reason.status, fields, json.dumps(content).encode())

    async def start(self, status, fields):
        """Write the head of a stream."""
        self.response = aiohttp.web.StreamResponse(
            status=status, headers=CIMultiDict(fields)
        )
        self.response.enable_chunked_encoding()
        self._finish_head()
        self.started = True
        await self.response.prepare(self.http_request)

    async def write(self, data):
        """Write bytes of a stream."""
        await self.response.write(data)

    async def finish(self):
        """End a complete stream."""
        await self.response.write_eof()

    def abort(self):
        """Reset the connection, so that the caller sees a truncated body."""
        transport = self.http_request.transport
        if transport is not None:
            transport.abort()

    def _finish_head(self):
        self.response.headers.setdefault("Server", SERVER_NAME)
        if self.shutdown.begun:
            self.response.force_close()
