"""Test double of a backend server with the platform's HTTP headers."""

import asyncio
import collections
import contextlib

from boragetrail.platform.names import HEADER_NAMES

__all__ = ["HttpServer", "ServerRequest", "whole_answer"]

HEAD_END = b"\r\n\r\n"


class ServerRequest:
    """Hold a received request and the reader and writer of its connection."""

    __slots__ = ("line", "headers", "body", "reader", "writer")

    def __init__(self, line, headers, body, reader, writer):
        self.line = line
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    async def sender_left(self):
        """Wait until the client has closed the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(1):
                pass

    @property
    def id(self):
        """Return the request id, which the response must contain."""
        return self.headers.get(HEADER_NAMES.request_id.lower(), "")


def whole_answer(request, body=b"done", status="200 OK", fields=()):
    """Return a complete response as bytes, with request id, seal and length.

    :param fields: further header fields as ``Name: value``
    """
    lines = [
        f"HTTP/1.1 {status}",
        f"{HEADER_NAMES.request_id}: {request.id}",
        f"{HEADER_NAMES.seal}: seal-{request.id}",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + HEAD_END + body


class HttpServer:
    """Hold the received requests and the handlers for them.

    A handler is a coroutine function that gets the
    :class:`ServerRequest` and returns the bytes to send, or ``None`` to
    abort the connection.

    :ivar requests: all requests received so far
    :ivar behaviours: queue of handlers, one for each of the next requests
    :ivar default: handler when the queue is empty; sends a complete
        response unless a test replaces it
    :ivar born_ms: start of its run as its entry tells it, or 0
    :ivar version: version of its software as its entry tells it
    :ivar writers: writers of the open connections
    """

    def __init__(self):
        self.requests = []
        self.behaviours = collections.deque()
        self.default = _default_response
        self.connections = 0
        self.born_ms = 0
        self.version = "v1"
        self.writers = set()
        self.server = None
        self.address = ""

    async def open(self, host="127.0.0.1", port=0):
        """Listen on a port; 0 stands for a free one."""
        self.server = await asyncio.start_server(self._serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def close(self):
        """Stop listening."""
        self.server.close()

    def crash(self):
        """Stop listening and close all connections within their responses."""
        self.server.close()
        for writer in self.writers:
            writer.close()

    def entry(self, service, zone="z1", **fields):
        """Return the server's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            **({"born": self.born_ms} if self.born_ms else {}),
            **fields,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                request = await _read(reader, writer)
                self.requests.append(request)
                behaviour = self.default
                if self.behaviours:
                    behaviour = self.behaviours.popleft()
                data = await behaviour(request)
                if data is None:
                    writer.transport.abort()
                    return
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.writers.discard(writer)


async def _default_response(request):
    return whole_answer(request)


async def _read(reader, writer):
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length)
    return ServerRequest(line, headers, body, reader, writer)
