"""Registration of a router, so that it and the others find each other.

A registration is a lease [1]_: a router renews its own, and one router of the
fleet removes those that have run out.

.. [1] C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism
   for Distributed File Cache Consistency", SOSP 1989.
"""

import asyncio
import math

__all__ = ["Registration"]

# Key for the ranking of routers that remove registrations.
RANK_KEY = "registrations"


class Registration:
    """Register a router, and ask other routers for their digests.

    :param registry: :class:`~boragetrail.direct.registries.MemberRegistry`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param socket: :class:`~boragetrail.direct.peersocket.PeerSocket`
    :param address: (host, port) on which the router receives datagrams
    :ivar epoch: epoch of the registry in which the router is registered
    :ivar renew_at_s: monotonic time at which it renews its registration
    """

    __slots__ = (
        "registry",
        "directory",
        "socket",
        "table",
        "host",
        "port",
        "epoch",
        "renew_at_s",
    )

    RETRY_S = 1.0
    RENEW_INTERVAL_S = 60.0
    # Age from which a registration is no evidence that its router runs. It
    # may have missed two renewals.
    LEASE_S = 3 * RENEW_INTERVAL_S
    # Registrations that are removed in one transaction.
    MAX_WITHDRAWN = 50

    def __init__(self, registry, directory, socket, address):
        self.registry = registry
        self.directory = directory
        self.socket = socket
        self.table = socket.table
        self.host, self.port = address
        self.epoch = math.inf
        self.renew_at_s = math.inf

    async def join(self, seeds):
        """Register the router and request the digests of other routers.

        :param seeds: hosts of routers that may run already
        """
        self._request_digests(seeds)
        for seed in seeds:
            self.table.add_contact((seed, self.port))
        while not await self.registry.announce(self.host):
            await asyncio.sleep(self.RETRY_S)
        self._record_renewal(self.registry.epoch)
        routers = await self.registry.members()
        if routers:
            self._add_listed(routers)
        self._request_digests([router.host for router in routers])

    async def run(self):
        """Renew the registration until cancelled."""
        while True:
            random = self.table.random.random()
            await asyncio.sleep(self.RETRY_S * random)
            await self.advance()

    async def advance(self):
        """Renew the registration if it is due or the registry has lost it."""
        epoch = max(self.registry.epoch, self.directory.latest_epoch())
        is_due = self.table.clock() >= self.renew_at_s
        if epoch <= self.epoch and not is_due:
            return
        if not await self.registry.announce(self.host):
            return
        self._record_renewal(epoch)
        if is_due and self.table.is_first(RANK_KEY):
            await self._check_others()

    def _record_renewal(self, epoch):
        self.epoch = epoch
        jitter = self.table.random.uniform(0.8, 1.2)
        self.renew_at_s = self.table.clock() + self.RENEW_INTERVAL_S * jitter

    def _add_listed(self, routers):
        """Add the registered routers; those that renew their leases count."""
        running = [
            (router.host, self.port)
            for router in routers
            if router.age_s is None or router.age_s < self.LEASE_S
        ]
        self.table.add_listed(running)
        for router in routers:
            self.table.add_contact((router.host, self.port))

    async def _check_others(self):
        """Probe registered routers that are not heard, remove old leases."""
        expired = []
        for router in await self.registry.members():
            address = (router.host, self.port)
            if address in self.table.peers_by_address:
                continue
            if self._is_expired(router):
                expired.append(router)
            else:
                self.table.add_contact(address)
        if expired:
            await self.registry.withdraw(expired[: self.MAX_WITHDRAWN])

    def _is_expired(self, router):
        """Return whether the lease of a router that is not heard ran out.

        A registration without a time is that of other software. It counts as
        old once this router runs for as long.
        """
        if router.age_s is None:
            return self.table.own_uptime_s() >= self.LEASE_S
        return router.age_s >= self.LEASE_S

    def _request_digests(self, hosts):
        for host in hosts:
            if host != self.host:
                self.socket.request_digest((host, self.port))
