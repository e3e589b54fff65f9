"""Connections to backend servers, each with one request at a time.

The parser is that of ``aiohttp``. Its client session is not used: it sends
an idempotent request again by itself after a lost connection, takes bytes
that arrive on an idle connection as the next answer, and reads a reset as
the end of an answer without a length.
"""

import asyncio
import collections

from aiohttp.client_proto import ResponseHandler

__all__ = ["ServerConnection", "ConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
READ_BUFFER_BYTES = 64 * 1024


class ServerConnection(ResponseHandler):
    """One connection to a backend server."""

    def __init__(self, loop):
        super().__init__(loop)
        self.idle = False
        self.idle_since_s = 0.0
        self.used = False

    def data_received(self, data):
        """Parse bytes of an answer; stray bytes end the connection."""
        if self.idle:
            self.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc):
        """Mark an answer that a reset cut off as incomplete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(exc)
        super().connection_lost(exc)

    def reset(self, exc):
        """End the connection as if the server had broken it.

        :param exc: what readers of an answer get, an ``OSError``
        """
        transport = self.transport
        self.connection_lost(exc)
        if transport is not None:
            transport.abort()

    def start(self, data):
        """Send a request.

        :param data: head and body
        """
        self.idle = False
        self.used = True
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.transport.write(data)

    def may_be_kept(self):
        """Return whether the next request may use the connection."""
        return self.is_connected() and not self.should_close

    def set_idle(self, now_s):
        """Note that the answer was read whole."""
        self.idle = True
        self.idle_since_s = now_s


class ConnectionPool:
    """Own the idle connections to one server.

    :param address: (host, port)
    :param clock: function that returns monotonic seconds
    :ivar opened: number of connections opened so far
    """

    MOST_IDLE = 64
    IDLE_S = 3.0

    def __init__(self, address, clock):
        self.address = address
        self.clock = clock
        self.idle = collections.deque()
        self.opened = 0

    def take(self, newest_s):
        """Return an idle connection, or ``None``.

        :param newest_s: longest time in seconds that it was idle
        """
        now = self.clock()
        while self.idle:
            channel = self.idle.pop()
            idle_s = now - channel.idle_since_s
            if not channel.may_be_kept():
                channel.close()
            elif idle_s <= newest_s:
                return channel
            else:
                self.idle.append(channel)
                break
        self._drop_old(now)
        return None

    async def open(self):
        """Open a connection.

        :returns: :class:`Channel`
        :raises OSError: if the server did not take it in time
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, channel = await loop.create_connection(
                lambda: ServerConnection(loop), *self.address
            )
        return channel

    def put_back(self, channel):
        """Keep a connection for the next request, or close it."""
        if not channel.may_be_kept() or len(self.idle) >= self.MOST_IDLE:
            channel.close()
            return
        channel.set_idle(self.clock())
        self.idle.append(channel)

    def close(self):
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _drop_old(self, now):
        while self.idle and now - self.idle[0].idle_since_s > self.IDLE_S:
            self.idle.popleft().close()
