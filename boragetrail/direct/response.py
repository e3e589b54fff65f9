"""The answer to one caller."""

import json

import aiohttp.web
from multidict import CIMultiDict

__all__ = ["CallerResponse"]

SERVER_NAME = "boragetrail"


class CallerResponse:
    """Write one answer, whole or as a stream.

    :param http: the request as ``aiohttp`` gives it
    :param closing: whether the connection ends after the answer
    :ivar started: whether the head was written
    :ivar response: the ``aiohttp`` response, or ``None``
    """

    def __init__(self, http, closing):
        self.http = http
        self.closing = closing
        self.started = False
        self.response = None

    def whole(self, status, fields, body):
        """Set an answer that is written as a whole.

        :param fields: list of (name, value)
        """
        self.response = aiohttp.web.Response(
            status=status, headers=CIMultiDict(fields), body=body
        )
        self._finish_head()

    def problem(self, failure):
        """Set a refusal or error.

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
        self.whole(reason.status, fields, json.dumps(content).encode())

    async def start(self, status, fields):
        """Write the head of a stream."""
        self.response = aiohttp.web.StreamResponse(
            status=status, headers=CIMultiDict(fields)
        )
        self.response.enable_chunked_encoding()
        self._finish_head()
        self.started = True
        await self.response.prepare(self.http)

    async def write(self, data):
        """Write a part of a stream."""
        await self.response.write(data)

    async def finish(self):
        """End a stream that is complete."""
        await self.response.write_eof()

    def abort(self):
        """Cut the connection, so that the answer cannot look complete."""
        transport = self.http.transport
        if transport is not None:
            transport.abort()

    def _finish_head(self):
        self.response.headers.setdefault("Server", SERVER_NAME)
        if self.closing:
            self.response.force_close()
