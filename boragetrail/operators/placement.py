"""Placement of models on engines.

For each service, the router that holds the service's lease sends engine
orders, which instruct engines to load the configured model.
"""

import asyncio

from boragetrail.errors import LinkFailure, PlatformFailure
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score
from boragetrail.reasons import Reason
from boragetrail.router.link import ConnectionLost
from boragetrail.store import ModelWeightClient
from boragetrail.wire.messages import EngineOrder

__all__ = [
    "Lease",
    "LeaseManager",
    "PlacementController",
    "PlacementProgress",
]

LEASE_TERM_S = 6.0
RECONCILE_INTERVAL_S = 1.0
ENGINE_ORDER_TIMEOUT_S = 10.0
# Number of routers that may acquire the lease of a service.
MAX_LEASE_CANDIDATES = 3


class Lease:
    """Hold the right of this process to send engine orders of one service.

    :param fencing: fencing token; each new holder's token is greater
    :param expires_s: monotonic time of this process at which the lease
        expires
    :param row_version: version of the lease's row
    """

    __slots__ = ("service", "fencing", "expires_s", "row_version")

    def __init__(self, service, fencing, expires_s, row_version):
        self.service = service
        self.fencing = fencing
        self.expires_s = expires_s
        self.row_version = row_version


class PlacementProgress:
    """Hold the progress of loading the configured model on one server.

    :ivar state: ``waiting``, ``loading``, ``loaded`` or ``failed``
    :ivar detail: reason of the state, or empty
    :ivar holder: name of the router that sends the engine orders
    :ivar fencing: fencing token of that router's lease
    :ivar incarnation: incarnation of the agent that loaded the model
    :ivar failures: number of failed engine orders
    """

    __slots__ = (
        "service",
        "server",
        "model",
        "version",
        "state",
        "detail",
        "holder",
        "fencing",
        "incarnation",
        "failures",
    )

    def __init__(self, service, server, model, version, holder, fencing):
        self.service = service
        self.server = server
        self.model = model
        self.version = version
        self.state = "waiting"
        self.detail = ""
        self.holder = holder
        self.fencing = fencing
        self.incarnation = ""
        self.failures = 0

    def to_dict(self):
        """Return the fields that are reported to operators, by name."""
        unreported = ("incarnation", "failures")
        return {
            n: getattr(self, n) for n in self.__slots__ if n not in unreported
        }


class LeaseManager:
    """Acquire and renew leases in the table service.

    Another process's lease counts as expired once this process has observed
    an unchanged row for longer than the lease term by its own clock. Clocks
    of different processes are thus never compared.

    :param table: client of the table service
    :param holder: incarnation of this process
    :param clock: function that returns monotonic seconds

    :ivar observed_by_service: (version of the lease's row, monotonic time at
        which this version was first read)
    """

    def __init__(self, table, holder, clock):
        self.table = table
        self.holder = holder
        self.clock = clock
        self.leases_by_service = {}
        self.observed_by_service = {}

    async def acquire(self, service):
        """Acquire or renew the lease of a service.

        :returns: :class:`Lease`, or ``None`` if this process did not acquire
            or renew the lease
        """
        lease = self.leases_by_service.get(service)
        if lease is not None:
            return await self._renew(lease)
        key = f"lease/{service}"
        row = await self.table.get(key)
        if isinstance(row, PlatformFailure) or not self._is_expired(
            service, row
        ):
            return None
        fencing = (row.value["fencing"] if row.version else 0) + 1
        return await self._write(service, fencing, row.version)

    def forget(self, service):
        """Discard this process's lease of a service.

        Called when the lease has expired or another process holds it.
        """
        self.leases_by_service.pop(service, None)
        log_event(Event.LEASE_LOST, service=service)

    def _is_expired(self, service, row):
        if not row.version:
            return True
        now = self.clock()
        version, since_s = self.observed_by_service.get(service, (0, now))
        if version != row.version:
            self.observed_by_service[service] = (row.version, now)
            return False
        return now - since_s > LEASE_TERM_S

    async def _renew(self, lease):
        if self.clock() < lease.expires_s - LEASE_TERM_S / 2:
            return lease
        renewed = await self._write(
            lease.service, lease.fencing, lease.row_version
        )
        if renewed is None and self.clock() >= lease.expires_s:
            self.forget(lease.service)
        return renewed

    async def _write(self, service, fencing, row_version):
        requested_s = self.clock()
        value = {"holder": self.holder, "fencing": fencing}
        version = await self.table.transact_one(
            f"lease/{service}", value, row_version
        )
        if isinstance(version, PlatformFailure):
            if version.conflicts_by_key and row_version:
                self.leases_by_service.pop(service, None)
            return None
        if service not in self.leases_by_service:
            log_event(Event.LEASE_ACQUIRED, service=service, fencing=fencing)
        lease = Lease(service, fencing, requested_s + LEASE_TERM_S, version)
        self.leases_by_service[service] = lease
        return lease


class PlacementController:
    """Load the configured model on every engine of each service.

    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    """

    def __init__(self, router):
        self.router = router
        self.leases = LeaseManager(
            router.table, router.incarnation, router.clock
        )
        url = router.settings.platform.weights
        self.weights = ModelWeightClient(router.session, url)
        self.progress_by_server = {}
        self.order_counter = 0

    async def run(self):
        """Load missing models of all services, periodically."""
        while True:
            await asyncio.sleep(
                RECONCILE_INTERVAL_S * self.router.random.uniform(0.7, 1.3)
            )
            if self.router.stopping:
                continue
            services = self.router.doc.entities_by_kind["service"]
            for name, value in list(services.items()):
                if not value.get("model") or not value.get("model_version"):
                    continue
                if self._is_lease_candidate(name):
                    await self._reconcile(name, value)

    def _is_lease_candidate(self, service):
        """Return whether this router may acquire a service's lease.

        The number of candidates is limited, so that the rate of lease reads
        does not grow with the number of routers.
        """
        members = self.router.membership.members_by_name.values()
        names = {
            member.vm.name
            for member in members
            if member.vm.role == "router"
            and member.vm.state == "live"
            and not member.leaving
        }
        names.add(self.router.name)
        ranked = sorted(
            names, key=lambda name: rendezvous_score(service, name)
        )
        return self.router.name in ranked[:MAX_LEASE_CANDIDATES]

    def to_dicts(self):
        """Return the model loading progress on each server.

        :returns: list with one dictionary for each server
        """
        return [
            progress.to_dict() for progress in self.progress_by_server.values()
        ]

    async def _reconcile(self, service, value):
        lease = await self.leases.acquire(service)
        if lease is None:
            return
        pending = []
        for member in self.router.membership.available_servers(service):
            progress = self._progress_for(
                service, member.vm.name, value, lease
            )
            if progress.state == "loaded":
                if member.incarnation == progress.incarnation:
                    continue
                progress.state = "waiting"
            pending.append(progress)
        if pending:
            # Each round loads the model on one server only, the pending
            # server with the fewest failures.
            selected = min(pending, key=lambda item: item.failures)
            await self._load_model(selected, lease, selected.server)

    def _progress_for(self, service, server, value, lease):
        model, version = value["model"], value["model_version"]
        progress = self.progress_by_server.get(server)
        if progress is None or (progress.model, progress.version) != (
            model,
            version,
        ):
            holder = self.router.name
            progress = PlacementProgress(
                service, server, model, version, holder, lease.fencing
            )
            self.progress_by_server[server] = progress
        return progress

    async def _load_model(self, progress, lease, server):
        wait_s = await self.weights.reserve(progress.model, progress.version)
        if isinstance(wait_s, PlatformFailure):
            progress.detail = wait_s.detail
            return
        if wait_s > 0:
            progress.detail = f"weight store: retry in {wait_s:.1f} s"
            return
        link = self.router.link_for(server)
        connection = await link.connection()
        if isinstance(connection, LinkFailure):
            progress.state, progress.detail = "failed", connection.detail
            progress.failures += 1
            return
        self.order_counter += 1
        order = EngineOrder(
            f"{self.router.incarnation}.order.{self.order_counter}",
            connection.incarnation,
            lease.fencing,
            "load",
            {"model": progress.model, "version": progress.version},
        )
        progress.state, progress.fencing = "loading", lease.fencing
        result = await self._send_order(link, connection, order)
        self._record_result(progress, lease, connection, result)

    def _record_result(self, progress, lease, connection, result):
        if isinstance(result, ConnectionLost):
            progress.state, progress.detail = (
                "failed",
                "engine order timed out",
            )
        elif result.reason:
            progress.state, progress.detail = "failed", result.detail
        else:
            progress.state, progress.detail = "loaded", ""
            progress.incarnation = connection.incarnation
            return
        progress.failures += 1
        if getattr(result, "reason", "") == Reason.FENCED.code:
            self.leases.forget(lease.service)

    async def _send_order(self, link, connection, order):
        inbox = link.open_inbox(order.order_id)
        inbox.connection = connection
        try:
            await link.send(connection, order)
            async with asyncio.timeout(ENGINE_ORDER_TIMEOUT_S):
                return await inbox.queue.get()
        except TimeoutError:
            return ConnectionLost()
        finally:
            link.close_inbox(order.order_id)
