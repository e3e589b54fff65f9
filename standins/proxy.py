"""A TCP proxy that injects faults into connections."""

import asyncio

import aiohttp.web

__all__ = ["FaultProxy"]

READ_BYTES = 64 * 1024


class Pair:
    """One connection through the proxy."""

    def __init__(self):
        self.silent = False
        self.one_way = False
        self.writers = []

    def cut(self):
        """Cut both ends at once."""
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Pass connections on, and harm them when told to.

    :param port: port to listen at
    :param target: port to pass connections on to

    :ivar delay_s: delay of each piece of data
    :ivar refuse: whether new connections are cut at once
    :ivar silent_new: whether new connections go silent at once
    """

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.refuse = False
        self.silent_new = False
        self.pairs = set()
        self.server = None

    async def open(self):
        """Begin to listen."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def close(self):
        """Stop listening and cut all connections."""
        self.server.close()
        self.cut()

    def cut(self):
        """Cut all open connections."""
        for pair in list(self.pairs):
            pair.cut()

    def silence(self):
        """Make all open connections silent for good; new ones work."""
        for pair in self.pairs:
            pair.silent = True

    def cut_one_way(self):
        """Drop what the target sends on open connections, for good."""
        for pair in self.pairs:
            pair.one_way = True

    async def _serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = Pair()
        pair.silent = self.silent_new
        pair.writers = [writer, up_writer]
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, up_writer, False),
                self._pump(pair, up_reader, writer, True),
            )
        finally:
            pair.cut()
            self.pairs.discard(pair)

    async def _pump(self, pair, reader, writer, is_answer):
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if pair.silent or (pair.one_way and is_answer):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            # A silent connection shows neither end that the other closed.
            if not pair.silent:
                pair.cut()

    def routes(self):
        """Return the routes that control the proxy."""
        return [aiohttp.web.post("/proxy", self._control)]

    async def _control(self, request):
        body = await request.json()
        if body.get("cut"):
            self.cut()
        if body.get("silence"):
            self.silence()
        for name in ("delay_s", "refuse", "silent_new"):
            setattr(self, name, body.get(name, getattr(self, name)))
        return aiohttp.web.json_response({"connections": len(self.pairs)})
