"""Connections from a router to agents, with replacement after a timeout."""

import asyncio

import websockets
import websockets.asyncio.client

from boragetrail.errors import Failure, LinkFailure
from boragetrail.events import Event, log_event
from boragetrail.reasons import Executed, Reason
from boragetrail.wire import decode, encode
from boragetrail.wire.messages import (
    PROTOCOL_VERSION,
    Accept,
    EngineOrderResult,
    Hello,
    Outcome,
    Heartbeat,
    Refuse,
)

__all__ = ["AgentLink", "Connection", "Inbox", "ConnectionLost"]

CONNECT_TIMEOUT_S = 0.5
MAX_FRAME_BYTES = 64 * 1024 * 1024


class ConnectionLost:
    """Marker in an inbox: the inbox's connection failed or timed out."""

    __slots__ = ()


class Connection:
    """Hold a websocket connection to an agent.

    :ivar socket: websocket
    :ivar hello: first message of the agent
    :ivar opened_s: monotonic time at which the connection was opened
    :ivar reader: task that reads frames from the connection
    :ivar last_received_s: monotonic time of the latest frame
    :ivar replaced: whether the connection is no longer in use
    """

    __slots__ = (
        "socket",
        "hello",
        "opened_s",
        "last_received_s",
        "reader",
        "replaced",
    )

    def __init__(self, socket, hello, opened_s):
        self.socket = socket
        self.hello = hello
        self.opened_s = opened_s
        self.last_received_s = opened_s
        self.reader = None
        self.replaced = False

    @property
    def incarnation(self):
        """Return the incarnation of the agent at the other end."""
        return self.hello.incarnation

    def agent_uptime_ms(self, now_s):
        """Return a lower bound of the agent's uptime in milliseconds.

        :param now_s: monotonic time of this process in seconds
        """
        return self.hello.uptime_ms + int(1000 * (now_s - self.opened_s))


class Inbox:
    """Queue of the messages that one attempt, query or engine order receives.

    :ivar connection: connection from which messages are accepted, or
        ``None``
    """

    __slots__ = ("queue", "connection")

    def __init__(self):
        self.queue = asyncio.Queue()
        self.connection = None


class AgentLink:
    """Open, share and replace the connection to one agent.

    :param name: name of the backend server
    :param address: (host, port) of the server's agent
    :param make_hello: function that returns the router's first message
    :param merge_loads: called with the load entries in a reply of the agent
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :param clock: function that returns monotonic seconds
    """

    def __init__(self, name, address, make_hello, merge_loads, tasks, clock):
        self.name = name
        self.address = address
        self.make_hello = make_hello
        self.merge_loads = merge_loads
        self.tasks = tasks
        self.clock = clock
        self.current = None
        self.lock = asyncio.Lock()
        self.inboxes_by_id = {}
        self.reconnects = 0

    async def connection(self):
        """Return the current connection, or open a connection if none is open.

        :returns: :class:`Connection` or :class:`LinkFailure`
        """
        if self.current is not None:
            return self.current
        async with self.lock:
            if self.current is None:
                new_connection = await self._open()
                if isinstance(new_connection, LinkFailure):
                    return new_connection
                self.current = new_connection
            return self.current

    async def reconnect(self, old_connection):
        """Replace a connection that timed out.

        While the new connection opens, the agent may still send a frame on
        the old connection. In that case the old connection works and the
        agent was only slow, so the new connection is closed again.

        :param old_connection: connection that timed out
        :returns: :class:`Connection` to use, or :class:`LinkFailure`
        """
        async with self.lock:
            if self.current is not None and self.current is not old_connection:
                return self.current
            since_s = self.clock()
            new_connection = await self._open()
            if isinstance(new_connection, LinkFailure):
                return new_connection
            if (
                self.current is not None
                and old_connection.last_received_s > since_s
            ):
                new_connection.replaced = True
                new_connection.socket.transport.abort()
                return old_connection
            self.reconnects += 1
            self.current = new_connection
        if old_connection is not None and not old_connection.replaced:
            log_event(Event.LINK_TIMED_OUT, server=self.name)
            self._abort(old_connection)
        return new_connection

    def open_inbox(self, attempt_id):
        """Return a new inbox.

        :param attempt_id: id of the attempt, query or engine order
        """
        inbox = Inbox()
        self.inboxes_by_id[attempt_id] = inbox
        return inbox

    def close_inbox(self, attempt_id):
        """Remove an inbox, so that its later messages are discarded."""
        self.inboxes_by_id.pop(attempt_id, None)

    async def send(self, connection, message):
        """Send a message and return whether the connection accepted it."""
        try:
            await connection.socket.send(encode(message))
            return True
        except (websockets.ConnectionClosed, OSError):
            return False

    def send_in_background(self, message):
        """Send a message in the background, if a connection is open."""
        if self.current is not None:
            sending = self.send(self.current, message)
            self.tasks.start(sending, f"send to {self.name}")

    def close(self):
        """Close the connection."""
        if self.current is not None:
            self._abort(self.current)

    async def _open(self):
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await websockets.asyncio.client.connect(
                    f"ws://{host}:{port}",
                    compression=None,
                    ping_interval=None,
                    max_size=MAX_FRAME_BYTES,
                    open_timeout=None,
                    close_timeout=0.2,
                    proxy=None,
                )
                await socket.send(encode(self.make_hello()))
                hello = decode(await socket.recv())
        except (OSError, TimeoutError, websockets.WebSocketException) as exc:
            detail = f"agent of {self.name!r}: {exc!r}"
            return LinkFailure(Reason.UNREACHABLE, detail, Executed.NO)
        if not isinstance(hello, Hello) or hello.name != self.name:
            detail = f"agent of {self.name!r} answered as {hello!r}"
            return LinkFailure(Reason.PROTOCOL, detail, Executed.NO)
        if hello.protocol != PROTOCOL_VERSION:
            detail = (
                f"agent of {self.name!r}: unsupported protocol version "
                f"{hello.protocol}"
            )
            return LinkFailure(Reason.PROTOCOL, detail, Executed.NO)
        connection = Connection(socket, hello, self.clock())
        reading = self._read(connection)
        connection.reader = self.tasks.start(reading, f"read {self.name}")
        log_event(Event.LINK_OPENED, server=self.name)
        return connection

    async def _read(self, connection):
        try:
            async for frame in connection.socket:
                self._deliver(connection, decode(frame))
        except (websockets.ConnectionClosed, OSError):
            return
        finally:
            self._on_connection_end(connection)

    def _deliver(self, connection, message):
        connection.last_received_s = self.clock()
        if isinstance(message, Failure):
            connection.socket.transport.abort()
            return
        if isinstance(message, Heartbeat):
            self._deliver_heartbeat(connection, message)
            return
        if isinstance(message, (Accept, Refuse)):
            self.merge_loads(message.loads)
        inbox = self.inboxes_by_id.get(_inbox_id(message))
        # Frames from a connection that the attempt no longer uses are
        # discarded.
        if inbox is not None and inbox.connection is connection:
            inbox.queue.put_nowait(message)

    def _deliver_heartbeat(self, connection, message):
        for inbox in self.inboxes_by_id.values():
            if inbox.connection is connection:
                inbox.queue.put_nowait(message)

    def _abort(self, connection):
        connection.replaced = True
        if connection.socket.transport is not None:
            connection.socket.transport.abort()
        self._on_connection_end(connection)

    def _on_connection_end(self, connection):
        if self.current is connection:
            self.current = None
        if not connection.replaced:
            connection.replaced = True
            log_event(Event.LINK_LOST, server=self.name)
        for inbox in self.inboxes_by_id.values():
            if inbox.connection is connection:
                inbox.connection = None
                inbox.queue.put_nowait(ConnectionLost())


def _inbox_id(message):
    if isinstance(message, Outcome):
        return message.query_id
    if isinstance(message, EngineOrderResult):
        return message.order_id
    return getattr(message, "attempt_id", "")
