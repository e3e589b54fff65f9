"""Connections to backend servers, each with one request at a time.

Responses are parsed by ``aiohttp``. The ``ClientSession`` of ``aiohttp`` is
not used, because it retries idempotent requests by itself after a connection
was lost, and treats bytes that arrive on an idle connection as the next
response.
"""

import asyncio
import collections

from boragetrail.utils.responses import BoundedHandler

__all__ = ["ConnectionPool", "ServerConnection"]

CONNECT_TIMEOUT_S = 0.4
# Bytes that are read at a time, and bytes of a body above which reading
# pauses twice over. Both are kept for each connection whose reader waits.
READ_BYTES = 32 * 1024
READ_BUFFER_BYTES = 16 * 1024


class ServerConnection(BoundedHandler):
    """Hold one connection to a backend server.

    :ivar opened_s: monotonic time at which it was opened
    :ivar idle: whether it waits in a pool for its next request
    :ivar idle_since_s: monotonic time at which it was put into the pool
    :ivar used: whether a request was sent on it
    :ivar lost_s: monotonic time at which the server or the network ended it,
        or ``None``
    """

    def __init__(self, loop):
        super().__init__(loop)
        self.opened_s = 0.0
        self.idle = False
        self.idle_since_s = 0.0
        self.used = False
        self.lost_s = None

    def connection_made(self, transport):
        """Limit what one read takes from the socket."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Record when the connection was lost, unless it was closed here."""
        if self.transport is not None:
            self.lost_s = self._loop.time()
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse bytes of a response; without a request, close."""
        if self.idle:
            self.abort()
            return
        super().data_received(data)

    def send_request(self, data):
        """Send a request.

        :param data: head and body as bytes
        """
        self.idle = False
        self.used = True
        self.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.transport.write(data)

    def is_reusable(self):
        """Return whether another request may use the connection."""
        return self.is_connected() and not self.should_close

    def mark_idle(self, now_s):
        """Record that the response was read to its end."""
        self.idle = True
        self.idle_since_s = now_s


class ConnectionPool:
    """Hold the idle connections to one server.

    :param address: (host, port)
    :param clock: function that returns monotonic seconds
    :ivar opened: number of connections opened so far
    """

    MAX_IDLE_CONNECTIONS = 64
    MAX_IDLE_S = 3.0

    def __init__(self, address, clock):
        self.address = address
        self.clock = clock
        self.idle_connections = collections.deque()
        self.opened = 0

    def acquire(self, max_idle_s):
        """Return an idle connection, or ``None``.

        :param max_idle_s: longest idle time of the connection in seconds
        """
        now = self.clock()
        while self.idle_connections:
            connection = self.idle_connections.pop()
            idle_s = now - connection.idle_since_s
            if not connection.is_reusable():
                connection.close()
            elif idle_s <= max_idle_s:
                return connection
            else:
                self.idle_connections.append(connection)
                break
        self._close_expired(now)
        return None

    async def open(self, timeout_s=CONNECT_TIMEOUT_S):
        """Open a connection.

        :param timeout_s: seconds after which the attempt is given up
        :returns: :class:`ServerConnection`
        :raises OSError: if the server does not accept the connection in
            time
        """
        loop = asyncio.get_running_loop()
        self.opened += 1
        started_s = self.clock()
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ServerConnection(loop), *self.address
            )
        connection.opened_s = started_s
        return connection

    def release(self, connection):
        """Keep a connection for the next request, or close it."""
        if (
            not connection.is_reusable()
            or len(self.idle_connections) >= self.MAX_IDLE_CONNECTIONS
        ):
            connection.close()
            return
        connection.mark_idle(self.clock())
        self.idle_connections.append(connection)

    def close(self):
        """Close all idle connections."""
        while self.idle_connections:
            self.idle_connections.pop().close()

    def _close_expired(self, now):
        while (
            self.idle_connections
            and now - self.idle_connections[0].idle_since_s > self.MAX_IDLE_S
        ):
            self.idle_connections.popleft().close()
