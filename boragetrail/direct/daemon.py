"""The process of a direct router."""

import asyncio
import random
import signal
import time

import aiohttp.web

from boragetrail.direct.begunresponses import BegunResponses
from boragetrail.direct.crashes import CrashMonitor, log_quarantine
from boragetrail.direct.datagrams import Update
from boragetrail.direct.directory import Directory
from boragetrail.direct.discovery import CacheDiscovery
from boragetrail.direct.dispatch import Dispatcher
from boragetrail.direct.dump import dump_state
from boragetrail.direct.feed import Feed
from boragetrail.direct.filters import FilterChain
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.frontend import Frontend
from boragetrail.direct.interfaces import Table
from boragetrail.direct.knowledge import CrashArchive, ServerKnowledge
from boragetrail.direct.limitwatch import LimitWatch
from boragetrail.direct.listconfirmation import ListConfirmation
from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.metrics import DirectMetrics
from boragetrail.direct.parts import FeatureParts
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.readers import reader_role
from boragetrail.direct.recordgossip import RecordGossip
from boragetrail.direct.recordmessages import pack_records, unpack_records
from boragetrail.direct.reconnection import Reconnector
from boragetrail.direct.registration import Registration
from boragetrail.direct.relay import PeerSource, PeerFetcher, RelayServer
from boragetrail.direct.resumption import StreamVersions
from boragetrail.direct.selector import ServerSelector
from boragetrail.direct.shutdown import Shutdown
from boragetrail.direct.silentservers import SilentServerMonitor
from boragetrail.direct.streamarchive import StreamArchive
from boragetrail.direct.versionledger import VersionLedger
from boragetrail.events import Event, log_event
from boragetrail.policy.quarantine import PromptQuarantine
from boragetrail.utils import BackgroundTasks, new_incarnation, split_address
from boragetrail.utils.calls import make_session

__all__ = ["DirectDaemon"]

POLL_INTERVAL_S = 0.05
CLOSE_TIMEOUT_S = 0.1
UNLISTED_REMOVAL_INTERVAL_S = 5.0
IDLE_CHECK_INTERVAL_S = 1.0


class DirectDaemon:
    """Own the components and tasks of one router.

    :param settings: :class:`~boragetrail.settings.direct.DirectSettings`
    :param platform: module of the platform's adapter
    :param reload: function that reads the settings file again and returns
        (settings or ``None``, errors)
    """

    def __init__(self, settings, platform, reload):
        self.settings = settings
        self.platform = platform
        self.reload = reload
        self.clock = time.monotonic
        self.random = random.Random()
        self.incarnation = new_incarnation()
        self.tasks = BackgroundTasks()
        self.stop_requested = asyncio.Event()
        self.metrics = DirectMetrics()
        self.peers = PeerTable(self.clock, self.random)
        self.peers.own_address = split_address(settings.gossip)
        self.peers.link_mbps = settings.link_mbps
        self.directory = Directory(platform.PlatformRowDecoder(), self.clock)
        self.liveness_by_table = {
            table: StoreLiveness(self.clock) for table in Table
        }
        self.list_confirmation = ListConfirmation(
            self.directory,
            self.liveness_by_table[Table.SERVERS],
            self.tasks,
            self.clock,
        )
        self.knowledge = ServerKnowledge(self.peers)
        self.fleet = Fleet(
            self.directory,
            self.peers,
            settings.zone,
            self.clock,
            self.knowledge,
        )
        names = platform.HEADER_NAMES
        bounds = settings.bounds
        self.quarantine = PromptQuarantine(
            self.clock, self.random, self._quarantine_changed
        )
        self.record_gossip = RecordGossip(
            self.quarantine, self.knowledge, self.peers, self.clock
        )
        self.selector = ServerSelector(
            self.fleet, names, bounds, self.clock, self.random
        )
        self.crash_monitor = CrashMonitor(
            self.directory,
            self.quarantine,
            self.record_gossip,
            self.metrics,
            self.tasks,
        )
        self.dispatcher = Dispatcher(
            self.fleet,
            self.selector,
            names,
            bounds,
            self.clock,
            self.random,
            self.crash_monitor,
            StreamVersions(self.fleet, names, self.list_confirmation),
        )
        filter_chain = FilterChain(
            self.directory, platform.HEADER_NAMES, self.random
        )
        self.shutdown = Shutdown(self.clock)
        self.frontend = Frontend(
            filter_chain,
            self.dispatcher,
            self.metrics,
            self.clock,
            self.shutdown,
        )
        self.relay = RelayServer(
            self.directory,
            self.fleet.prefix_index,
            self.dump,
            self.metrics.render,
        )
        self.message_builder = MessageBuilder(
            self.fleet,
            self.liveness_by_table,
            self.incarnation,
            gossip_port=split_address(settings.gossip)[1],
            relay_port=split_address(settings.relay)[1],
            link_mbps=settings.link_mbps,
        )
        self.socket = PeerSocket(
            self.peers,
            self._digest,
            self.message_builder.take_update,
            self._apply_message,
            self.record_gossip,
        )
        self.parts = FeatureParts(self)
        self.parts.enable(platform.features(settings.rules))
        self.dispatcher.on_speed_reported = (
            self.parts.enable_for_uneven_servers
        )
        self.session = None
        self.engines = None
        self.store = None
        self.registration = None
        self.fetcher = None
        self.feeds_by_table = {}
        self.health_runner = None
        self.discovery_task = None

    async def run(self):
        """Run until a signal asks for a graceful stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.open()
        log_event(
            Event.STARTED,
            name=self.settings.name,
            zone=self.settings.zone,
            incarnation=self.incarnation,
            features=sorted(each.value for each in self.parts.features),
        )
        await self.stop_requested.wait()
        log_event(
            Event.STOPPING,
            name=self.settings.name,
            active=self.frontend.active,
        )
        await self.stop()
        log_event(Event.STOPPED, name=self.settings.name)

    async def open(self):
        """Open the sockets and start the tasks."""
        settings = self.settings
        self.session = make_session()
        self.store = self.platform.PlatformStoreClient(
            self.session,
            settings.store,
            self.metrics.record_unanswered_store_call,
        )
        self.list_confirmation.source = self.store
        self.feeds_by_table = {
            table: Feed(
                table,
                self.store,
                self.directory,
                self.liveness_by_table[table],
                self.random,
                self.reader_role,
            )
            for table in Table
        }
        servers_feed = self.feeds_by_table[Table.SERVERS]
        servers_feed.on_response = self.list_confirmation.advance
        self.fetcher = PeerFetcher(
            self.directory,
            self.peers,
            self._peer_source,
            self.feeds_by_table,
            self.random,
        )
        await self.socket.open(*split_address(settings.gossip))
        addresses = [settings.relay, settings.metrics]
        await self.relay.open(
            [split_address(each) for each in addresses if each]
        )
        await self._open_health()
        await self.frontend.open(*split_address(settings.callers))
        for feed in self.feeds_by_table.values():
            self.tasks.start(feed.run(), f"feed {feed.table.value}")
        self.tasks.start(self.socket.run(), "gossip")
        self.tasks.start(self.socket.run_updates(), "news")
        self.registration = Registration(
            self.store,
            self.directory,
            self.socket,
            split_address(settings.gossip),
        )
        join = self.registration.join(settings.seed_hosts)
        self.tasks.start(join, "join")
        self.tasks.start(self.registration.run(), "registration")
        self._archive_crashes()
        ledger = VersionLedger(self.directory, self.store, self.reader_role)
        self.tasks.start(
            ledger.run(self.settings.first_start), "versions in service"
        )
        streams = self.knowledge.streams
        archive = StreamArchive(
            streams, self.store, ledger.are_mixed, self.peers
        )
        self.tasks.start(archive.run(ledger.loaded), "streams")
        self.engines = self.platform.PlatformEngineClient(self.session)
        watch = LimitWatch(self.fleet, self.engines)
        self.tasks.start(watch.run(), "limits")
        silence = SilentServerMonitor(self.fleet, self.engines, self.tasks)
        reconnector = Reconnector(self.fleet, self.tasks, self.random)
        for interval_s, function in (
            (UNLISTED_REMOVAL_INTERVAL_S, self.fleet.remove_unlisted),
            (SilentServerMonitor.CHECK_INTERVAL_S, silence.check),
            (IDLE_CHECK_INTERVAL_S, self._close_idle),
            (BegunResponses.CALL_INTERVAL_S, self.crash_monitor.check_begun),
            (Reconnector.INTERVAL_S, reconnector.reconnect),
        ):
            self.tasks.start_calls(interval_s, function)
        self.parts.start()
        self.discovery_task = self.tasks.start(
            self._discover_caches(), "learn"
        )

    async def close(self):
        """Stop the tasks and close all sockets."""
        await self.tasks.close()
        await self.frontend.close()
        self.fleet.close()
        self.socket.close()
        await self.relay.close()
        await self.health_runner.cleanup()
        await self.session.close()

    async def stop(self):
        """Stop gracefully."""
        await self.drain()
        await self.close()

    async def drain(self):
        """Serve until the load balancer stops sending and all requests end.

        See :meth:`~boragetrail.direct.shutdown.Shutdown.drain`.
        """
        self.shutdown.begin(self.settings.grace_s)
        await self.shutdown.drain(self.frontend)

    async def wait_for_discovery(self):
        """Wait until the discovery of cached prompt parts has ended."""
        await self.discovery_task

    def is_ready(self):
        """Return whether the load balancer may open new connections."""
        return not self.shutdown.begun and self.directory.is_complete()

    def dump(self):
        """Return the state of the process."""
        return dump_state(self)

    def _quarantine_changed(self, held, released):
        log_quarantine(held, released)
        self.fleet.abort_attempts(held)

    def _digest(self):
        store_unreachable = any(
            feed.failing for feed in self.feeds_by_table.values()
        )
        return self.message_builder.digest(
            store_unreachable, self.shutdown.begun
        )

    def _apply_message(self, message):
        self.fleet.apply_load_reports(message)
        if isinstance(message, Update):
            self.fleet.apply_placements(message.placements)
        for table, feed in self.feeds_by_table.items():
            if table.value in message.store:
                age_ms, uptime_ms = message.store[table.value]
                feed.record_peer_report(age_ms / 1000.0, uptime_ms / 1000.0)
        if self.fetcher.is_behind():
            self.tasks.start(self.fetcher.fetch_if_behind(), "pull")
        elif not self.fetcher.fetching:
            self.list_confirmation.advance()

    def _peer_source(self, peer):
        return PeerSource(self.session, peer.address[0], peer.relay_port)

    def reader_role(self):
        """Return whether this router reads the store for the fleet."""
        return reader_role(self.peers)

    def _reload(self):
        settings, errors = self.reload()
        if settings is None:
            texts = [str(error) for error in errors]
            log_event(Event.SETTINGS_REFUSED, errors=texts)
            return
        self.selector.bounds = settings.bounds
        self.dispatcher.bounds = settings.bounds
        self.parts.reload(settings)
        self.settings.seed_hosts = settings.seed_hosts
        self.settings.grace_s = settings.grace_s
        log_event(Event.SETTINGS_RELOADED, name=settings.name)

    def _archive_crashes(self):
        """Start to read the saved reports of crashes, and to save new ones."""
        archive = CrashArchive(
            self.quarantine,
            self.store,
            split_address(self.settings.gossip)[0],
            (pack_records, unpack_records),
            self.clock,
        )
        self.crash_monitor.on_report = archive.add
        self.crash_monitor.loaded = archive.loaded
        self.tasks.start(archive.run(self.settings.first_start), "crashes")

    async def _discover_caches(self):
        while not self.directory.is_complete():
            await asyncio.sleep(POLL_INTERVAL_S)
        discovery = CacheDiscovery(
            self.fleet, self.peers, self.engines, self.session
        )
        await discovery.run(self.settings.first_start)

    def _close_idle(self):
        configuration = self.directory.configuration
        if configuration is not None:
            self.frontend.close_idle(configuration.limits)

    async def _open_health(self):
        server = aiohttp.web.Server(self._health, access_log=None)
        runner = aiohttp.web.ServerRunner(
            server, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await runner.setup()
        host, port = split_address(self.settings.health)
        await aiohttp.web.TCPSite(runner, host, port).start()
        self.health_runner = runner

    async def _health(self, request):
        status = 200 if self.is_ready() else 503
        return aiohttp.web.Response(status=status)
