"""Base class of the router and agent daemons."""

import asyncio
import random
import signal
import time

from boragetrail.configuration import Document, Freshness
from boragetrail.events import Event, log_event
from boragetrail.gossip import GossipSocket, Peer, GossipProtocol
from boragetrail.store import ObjectClient, TableClient, VmClient
from boragetrail.process.admin import AdminServer
from boragetrail.process.configuration import ConfigurationController
from boragetrail.process.membership import MembershipController
from boragetrail.utils import BackgroundTasks, new_incarnation, split_address
from boragetrail.utils.calls import make_session

__all__ = ["Process"]


class Process:
    """Hold the configuration, membership and gossip of one process.

    :param settings: :class:`~boragetrail.settings.Settings`
    :param role: ``router`` or ``agent``
    """

    def __init__(self, settings, role):
        self.settings = settings
        self.role = role
        self.name = settings.name
        self.zone = settings.zone
        self.service = settings.service
        self.incarnation = new_incarnation()
        self.clock = time.monotonic
        self.random = random.Random()
        self.tasks = BackgroundTasks()
        self.doc = Document()
        self.freshness = Freshness(self.zone, self.clock)
        self.loads_by_service = {}
        self.stopping = False
        self.stop_requested = asyncio.Event()
        self.admin = AdminServer(self)
        self.session = None

    async def open(self):
        """Open clients and sockets and start the controllers."""
        settings = self.settings
        self.session = make_session()
        self.table = TableClient(self.session, settings.platform.table)
        objects = ObjectClient(self.session, settings.platform.objects)
        self.configuration = ConfigurationController(
            self.doc,
            self.freshness,
            self.table,
            objects,
            self.session,
            self.service or None,
            self.random,
        )
        self.gossip_protocol = self._make_gossip_protocol()
        vms = VmClient(self.session, settings.platform.vms)
        self.membership = MembershipController(
            vms, self.doc, self.gossip_protocol, self.session, settings.seeds
        )
        self.gossip = GossipSocket(
            self.gossip_protocol,
            self._on_changes,
            self._on_snapshot_offer,
            self._on_digest,
        )
        await self.gossip.open(*split_address(settings.listen.gossip))
        await self.admin.open(*split_address(settings.listen.admin))
        self.tasks.start(self.gossip.run(), "gossip")
        self.tasks.start(self.membership.run(), "membership")
        on_changes = self.publish_changes
        self.tasks.start(self.configuration.poll(on_changes), "configuration")
        self.tasks.start(self.configuration.watch_freshness(), "freshness")

    async def close(self):
        """Stop the controllers and close all sockets."""
        await self.tasks.close()
        self.gossip.close()
        await self.admin.close()
        await self.session.close()

    async def run(self):
        """Run until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        await self.open()
        log_event(
            Event.STARTED,
            name=self.name,
            role=self.role,
            incarnation=self.incarnation,
        )
        await self.stop_requested.wait()
        log_event(Event.STOPPING, name=self.name)
        self.stopping = True
        await self.drain()
        await self.close()
        log_event(Event.STOPPED, name=self.name)

    async def drain(self):
        """Wait until the work in flight has ended; subclasses override it."""

    def publish_changes(self, changes):
        """Send configuration changes to peers.

        :param changes: changes that this process has committed or has read
            from the table service
        """
        self.gossip.send(self.gossip_protocol.push_changes(changes))

    def admin_routes(self):
        """Return additional routes of the administration port."""
        return []

    def is_ready(self):
        """Return whether the load balancer may send new requests."""
        return not self.stopping and self.configuration.is_fresh()

    def members(self):
        """Return each member as a list of fields, for a peer."""
        return self.membership.to_lists()

    def snapshot_for(self, service):
        """Return an encoded configuration snapshot.

        :param service: service of an agent, which gets only the subset for
            this service; empty for the whole configuration
        """
        return self.configuration.snapshot_for(service)

    def update_metrics(self):
        """Set the gauges before metrics are read; overridden by routers."""

    def dump(self):
        """Return the state of the process as a dictionary."""
        age = self.freshness.store_age_s()
        members = {
            name: {
                "state": member.vm.state,
                "zone": member.vm.zone,
                "service": member.vm.service,
                "incarnation": member.incarnation,
                "leaving": member.leaving,
                "suspect": self.membership.is_suspect(member),
            }
            for name, member in self.membership.members_by_name.items()
        }
        return {
            "name": self.name,
            "role": self.role,
            "zone": self.zone,
            "incarnation": self.incarnation,
            "stopping": self.stopping,
            "ready": self.is_ready(),
            "configuration": {
                "version": self.doc.version,
                "fresh": self.configuration.is_fresh(),
                "store_age_s": age,
                "zone_ages_s": self.freshness.ages_s_by_zone(),
            },
            "gossip": {
                "sent_bytes": self.gossip.sent_bytes,
                "received_bytes": self.gossip.received_bytes,
            },
            "table": {"reads": self.table.reads, "writes": self.table.writes},
            "members": members,
        }

    def _make_gossip_protocol(self):
        listen = self.settings.listen
        address = split_address(listen.gossip)
        local_peer = Peer(self.name, self.role, self.service, address)
        return GossipProtocol(
            local_peer,
            self.incarnation,
            self.zone,
            listen.admin,
            self.doc,
            self.freshness,
            self.loads_by_service,
            self.random,
        )

    def _on_changes(self, changes):
        self.configuration.announce(changes)

    def _on_snapshot_offer(self, version, admin):
        if version > self.doc.version:
            self.tasks.start(self.configuration.fetch(admin), "fetch")

    def _on_digest(self, digest):
        members = self.membership.members_by_name.values()
        router_count = sum(1 for m in members if m.vm.role == "router")
        self.configuration.router_count = max(1, router_count)
        self.membership.merge_digest(digest)
