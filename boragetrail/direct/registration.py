"""Registration of a router, so that it and the others find each other."""

import asyncio
import math

__all__ = ["Registration"]


class Registration:
    """Register a router, and ask other routers for their digests.

    :param registry: :class:`~boragetrail.direct.registries.MemberRegistry`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param socket: :class:`~boragetrail.direct.peersocket.PeerSocket`
    :param address: (host, port) on which the router receives datagrams
    :ivar epoch: epoch of the registry in which the router is registered
    """

    __slots__ = ("registry", "directory", "socket", "host", "port", "epoch")

    RETRY_S = 1.0

    def __init__(self, registry, directory, socket, address):
        self.registry = registry
        self.directory = directory
        self.socket = socket
        self.host, self.port = address
        self.epoch = math.inf

    async def join(self, seeds):
        """Register the router and request the digests of other routers.

        :param seeds: hosts of routers that may run already
        """
        self._request_digests(seeds)
        for seed in seeds:
            self.socket.table.add_contact((seed, self.port))
        while not await self.registry.announce(self.host):
            await asyncio.sleep(self.RETRY_S)
        self.epoch = self.registry.epoch
        members = await self.registry.members()
        if members:
            addresses = [(member, self.port) for member in members]
            self.socket.table.add_listed(addresses)
        self._request_digests(members)

    async def renew(self):
        """Register the router again whenever the registry has lost it."""
        while True:
            random = self.socket.table.random.random()
            await asyncio.sleep(self.RETRY_S * random)
            epoch = max(self.registry.epoch, self.directory.latest_epoch())
            if epoch <= self.epoch:
                continue
            if await self.registry.announce(self.host):
                self.epoch = epoch

    def _request_digests(self, hosts):
        for host in hosts:
            if host != self.host:
                self.socket.request_digest((host, self.port))
