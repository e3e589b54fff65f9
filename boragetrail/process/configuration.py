"""Controller of a process's copy of the configuration."""

import asyncio

import cbor2
import reactivex.subject

from boragetrail.configuration import History
from boragetrail.errors import PlatformFailure
from boragetrail.events import Event, log_event
from boragetrail.store.transport import call

__all__ = ["ConfigurationController"]

# Limit on the rate at which all routers together poll the change log.
MAX_FLEET_READS_PER_S = 50.0
MIN_POLL_INTERVAL_S = 1.0
FRESHNESS_CHECK_INTERVAL_S = 0.25
MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 3.0


class ConfigurationController:
    """Keep the configuration document current and track the freshness.

    :param doc: :class:`~boragetrail.configuration.Document`
    :param freshness: :class:`~boragetrail.configuration.Freshness`
    :param table: client of the table service
    :param objects: client of the object store
    :param session: ``aiohttp.ClientSession`` to fetch documents from peers
    :param service: service of an agent, or ``None`` for a router
    :param random: instance of ``random.Random``

    :ivar versions: subject that emits each new version of the document
    :ivar router_count: number of routers in the fleet
    """

    def __init__(
        self, doc, freshness, table, objects, session, service, random
    ):
        self.doc = doc
        self.freshness = freshness
        self.history = History(table, objects)
        self.session = session
        self.service = service
        self.random = random
        self.versions = reactivex.subject.BehaviorSubject(0)
        self.router_count = 1
        self.was_fresh = None
        self.fetching = False

    def is_fresh(self):
        """Return whether the document is recent enough to admit new work."""
        if not self.doc.version:
            return False
        zones = self.doc.entities_by_kind["zone"]
        return self.freshness.is_fresh(zones, self.doc.version)

    def announce(self, changes):
        """Notify subscribers that changes were applied to the document."""
        if changes:
            log_event(Event.CONFIG_APPLIED, version=self.doc.version)
            self.versions.on_next(self.doc.version)

    async def poll(self, on_changes):
        """Poll the table service for changes.

        A router polls less often when the fleet has more routers. An agent
        polls only while the agent's document is stale.

        :param on_changes: called with the changes that were read
        """
        pause_s = MIN_RETRY_PAUSE_S
        while True:
            if self.service is None or not self.is_fresh():
                succeeded = await self._read(on_changes)
                pause_s = MIN_RETRY_PAUSE_S if succeeded else pause_s * 2
            await asyncio.sleep(self._poll_pause_s(pause_s))

    async def watch_freshness(self):
        """Log when the document becomes fresh or stale."""
        while True:
            fresh = self.is_fresh()
            if fresh != self.was_fresh:
                event = Event.CONFIG_FRESH if fresh else Event.CONFIG_STALE
                log_event(event, version=self.doc.version)
                self.was_fresh = fresh
            await asyncio.sleep(FRESHNESS_CHECK_INTERVAL_S)

    async def fetch(self, admin_address):
        """Fetch a snapshot of the configuration from a peer.

        An agent fetches only the subset for its service.

        :param admin_address: address of the peer's administration port
        """
        if self.fetching:
            return
        self.fetching = True
        try:
            url = f"http://{admin_address}/configuration"
            params = {"service": self.service or ""}
            answer = await call(self.session, "GET", url, params=params)
            if not isinstance(answer, PlatformFailure):
                self._apply_snapshot(cbor2.loads(answer.data))
        finally:
            self.fetching = False

    def snapshot_for(self, service):
        """Return an encoded configuration snapshot.

        :param service: service of an agent, which gets only the subset for
            this service; empty for the whole configuration
        """
        snapshot = (
            self.doc.subset(service) if service else self.doc.to_snapshot()
        )
        return cbor2.dumps(snapshot)

    def _poll_pause_s(self, pause_s):
        if not self.is_fresh():
            pause_s = min(pause_s, MAX_RETRY_PAUSE_S)
        else:
            pause_s = max(
                MIN_POLL_INTERVAL_S, self.router_count / MAX_FLEET_READS_PER_S
            )
        return pause_s * self.random.uniform(0.7, 1.3)

    async def _read(self, on_changes):
        if self.service is not None or not self.doc.version:
            return await self._load()
        changes = await self.history.read_after(self.doc)
        if isinstance(changes, PlatformFailure):
            log_event(Event.STORE_FAILED, detail=changes.detail)
            return False
        self.freshness.record_store_read()
        if changes:
            self.announce(changes)
            on_changes(changes)
        return True

    async def _load(self):
        doc = await self.history.load()
        if isinstance(doc, PlatformFailure):
            log_event(Event.STORE_FAILED, detail=doc.detail)
            return False
        snapshot = (
            doc.subset(self.service) if self.service else doc.to_snapshot()
        )
        self._apply_snapshot(snapshot)
        if self.doc.version == doc.version:
            self.freshness.record_store_read()
        return True

    def _apply_snapshot(self, snapshot):
        if self.doc.apply_snapshot(snapshot):
            log_event(Event.CONFIG_APPLIED, version=self.doc.version)
            self.versions.on_next(self.doc.version)
