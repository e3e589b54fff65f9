"""TCP proxy that injects faults into connections."""

import asyncio

import aiohttp.web

__all__ = ["FaultProxy"]

READ_BYTES = 64 * 1024


class ProxiedConnection:
    """Hold the faults and both writers of a connection through the proxy."""

    def __init__(self):
        self.silent = False
        self.drops_responses = False
        self.writers = []

    def abort(self):
        """Abort the connections to the client and to the target."""
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Hold the open connections and the faults of a proxy.

    :param port: port to listen on
    :param target: port to forward connections to

    :ivar delay_s: delay in seconds of each chunk of data
    :ivar refuse: whether new connections are aborted at once
    :ivar silent_new: whether all data of new connections is dropped
    """

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.refuse = False
        self.silent_new = False
        self.connections = set()
        self.server = None

    async def open(self):
        """Start listening."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def close(self):
        """Stop listening and abort all connections."""
        self.server.close()
        self.abort_connections()

    def abort_connections(self):
        """Abort all open connections."""
        for connection in list(self.connections):
            connection.abort()

    def drop_traffic(self):
        """Drop all data of the connections that are open now."""
        for connection in self.connections:
            connection.silent = True

    def drop_responses(self):
        """Drop what the target sends on the connections open now."""
        for connection in self.connections:
            connection.drops_responses = True

    async def _serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection()
        connection.silent = self.silent_new
        connection.writers = [writer, target_writer]
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, target_writer, False),
                self._forward(connection, target_reader, writer, True),
            )
        finally:
            connection.abort()
            self.connections.discard(connection)

    async def _forward(self, connection, reader, writer, from_target):
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if connection.silent or (
                    connection.drops_responses and from_target
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            # On a silent connection no end learns that the other closed.
            if not connection.silent:
                connection.abort()

    def routes(self):
        """Return the route that controls the proxy."""
        return [aiohttp.web.post("/proxy", self._control)]

    async def _control(self, request):
        body = await request.json()
        if body.get("cut"):
            self.abort_connections()
        if body.get("silence"):
            self.drop_traffic()
        for name in ("delay_s", "refuse", "silent_new"):
            setattr(self, name, body.get(name, getattr(self, name)))
        return aiohttp.web.json_response(
            {"connections": len(self.connections)}
        )
