"""Servers of tests that crash under some requests."""

import abc
import asyncio

__all__ = ["CrashingServers"]

# Time from a crash until the platform removes the server's entry.
UNLISTED_AFTER_S = 0.5


class CrashingServers(abc.ABC):
    """Let the servers of a cluster crash, and replace those that did.

    :ivar crashes: number of crashes so far
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.crashes = 0
        self.tasks = set()

    def open(self):
        """Let the servers of the cluster behave so."""
        for server in self.cluster.servers:
            self._prepare(server)

    @abc.abstractmethod
    async def respond(self, server, request):
        """Return the bytes of a response, or crash."""

    async def crash(self, server):
        """Crash a server; another one takes its place.

        :returns: no bytes, after the connection is gone
        """
        self.crashes += 1
        server.crash()
        self.tasks.add(asyncio.ensure_future(self._replace(server)))
        await asyncio.sleep(1.0)
        return b""

    def _prepare(self, server):
        async def respond(request):
            return await self.respond(server, request)

        server.default = respond

    async def _replace(self, server):
        self._prepare(await self.cluster.add_server())
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.cluster.unlist_server(server)
