"""Test double of a server that answers before it has read the request."""

import asyncio
import enum
import socket
import struct
import sys

from boragetrail.platform.names import HEADER_NAMES
from boragetrail.utils import BackgroundTasks
from standins.httpserver import HEAD_END, HttpServer

__all__ = ["PART", "EarlyServer", "End"]

PART = b"id: 1\ndata: a part of the body\n\n"
READ_BYTES = 16 * 1024
# The kernel doubles it.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Time from the end of the response to the reset.
LINGER_S = 0.01
# Time for which a server that reads nothing keeps its connection.
STALL_S = 3.0


class End(enum.Enum):
    """Name how a server ends the connection."""

    RESET = "reset"
    CLOSE_UNREAD = "close with bytes unread"
    FINISH_AND_RESET = "finish and reset"
    FINISH_AND_READ = "finish, and read the rest of the request"
    FINISH = "finish, and read nothing"


class EarlyServer:
    """Answer after the head of a request, without reading the body.

    It reads from its sockets what it needs only, so that the rest stays with
    the kernels of both ends.

    :ivar end: :class:`End`
    :ivar delay_s: seconds from the answer to the end of the connection
    :ivar read_bytes: bytes of the body that are read before the answer
    :ivar requests: heads of the requests received so far
    """

    def __init__(self):
        self.id = "i-early"
        self.end = End.RESET
        self.delay_s = 0.0
        self.read_bytes = 0
        self.requests = []
        self.listener = None
        self.accepting = None
        self.tasks = BackgroundTasks()

    @property
    def address(self):
        """Return the address as text."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def entry(self, service, **fields):
        """Return the server's entry in the store."""
        listed = HttpServer()
        listed.address = self.address
        return listed.entry(service, **fields)

    async def open(self):
        """Listen on a free port."""
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.tasks.start(self._accept(), "accept")

    async def close(self):
        """Stop listening, and end all connections."""
        await self.tasks.close()
        self.listener.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            connection.setblocking(False)
            self.tasks.start(self._serve(connection), "serve")

    async def _serve(self, connection):
        loop = asyncio.get_running_loop()
        with connection:
            head = await _read_head(loop, connection)
            self.requests.append(head)
            await _read(loop, connection, self.read_bytes)
            await loop.sock_sendall(connection, unframed_response(head))
            await asyncio.sleep(self.delay_s)
            await self._finish(loop, connection)

    async def _finish(self, loop, connection):
        """End the connection; it is closed afterwards."""
        if self.end in (End.FINISH_AND_RESET, End.FINISH_AND_READ, End.FINISH):
            connection.shutdown(socket.SHUT_WR)
        if self.end is End.FINISH_AND_RESET:
            await asyncio.sleep(LINGER_S)
        if self.end is End.FINISH_AND_READ:
            await _read(loop, connection, sys.maxsize)
        if self.end is End.FINISH:
            await asyncio.sleep(STALL_S)
        if self.end in (End.RESET, End.FINISH_AND_RESET):
            # A socket that does not linger sends a reset when it is closed.
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _read_head(loop, connection):
    head = b""
    while not head.endswith(HEAD_END):
        data = await loop.sock_recv(connection, 1)
        if not data:
            raise ConnectionResetError
        head += data
    return head


async def _read(loop, connection, size):
    """Read up to a number of bytes, or to the end."""
    while size:
        data = await loop.sock_recv(connection, min(size, READ_BYTES))
        if not data:
            return
        size -= len(data)


def unframed_response(head):
    """Return a success whose body has neither a length nor chunks.

    :param head: head of the request as bytes
    """
    fields = {}
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(": ")
        fields[name.lower()] = value
    lines = (
        "HTTP/1.1 200 OK",
        f"{HEADER_NAMES.request_id}: "
        + fields.get(HEADER_NAMES.request_id.lower(), ""),
        f"{HEADER_NAMES.seal}: seal",
        "Content-Type: text/event-stream",
    )
    return "\r\n".join(lines).encode() + HEAD_END + PART
