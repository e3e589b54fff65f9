"""The router that speaks HTTP to backend servers itself."""

import asyncio
import random
import signal
import time

import aiohttp
import aiohttp.web

from boragetrail.direct.datagrams import Update
from boragetrail.direct.directory import Directory
from boragetrail.direct.discovery import CacheDiscovery
from boragetrail.direct.dispatch import Dispatcher
from boragetrail.direct.feed import Feed
from boragetrail.direct.filters import FilterChain
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.frontend import Frontend
from boragetrail.direct.interfaces import Table
from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.metrics import DirectMetrics
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.readers import reader_role
from boragetrail.direct.relay import PeerSource, PeerFetcher, RelayServer
from boragetrail.direct.selector import ServerSelector
from boragetrail.events import Event, log_event
from boragetrail.utils import TaskGroup, new_incarnation, split_address

__all__ = ["DirectDaemon"]

# Time after the signal to stop in which the balancer still sends.
BALANCER_LAG_S = 3.2
# Time before the end of the grace at which the last requests are cut.
CUT_BEFORE_S = 0.25
POLL_S = 0.05
CLOSE_TIMEOUT_S = 0.1
SWEEP_S = 5.0
GONE_CHECK_S = 0.25
IDLE_CHECK_S = 1.0
ANNOUNCE_PAUSE_S = 1.0


class DirectDaemon:
    """Own the tasks of one router.

    :param settings: :class:`~boragetrail.settings.DirectSettings`
    :param platform: module of a platform's adapter
    :param reload: function that returns (settings or ``None``, errors)
    """

    def __init__(self, settings, platform, reload):
        self.settings = settings
        self.platform = platform
        self.reload = reload
        self.clock = time.monotonic
        self.random = random.Random()
        self.incarnation = new_incarnation()
        self.tasks = TaskGroup()
        self.stop_asked = asyncio.Event()
        self.metrics = DirectMetrics()
        self.peers = PeerTable(self.clock, self.random)
        self.peers.own_address = split_address(settings.gossip)
        self.peers.link_mbps = settings.link_mbps
        self.directory = Directory(platform.PlatformRowDecoder(), self.clock)
        self.liveness_by_table = {
            table: StoreLiveness(self.clock) for table in Table
        }
        self.fleet = Fleet(
            self.directory, self.peers, settings.zone, self.clock
        )
        names = platform.HEADER_NAMES
        bounds = settings.bounds
        self.selector = ServerSelector(
            self.fleet, names, bounds, self.clock, self.random
        )
        self.dispatcher = Dispatcher(
            self.fleet, self.selector, names, bounds, self.clock
        )
        chain = FilterChain(self.directory, platform.HEADER_NAMES, self.random)
        self.frontend = Frontend(
            chain, self.dispatcher, self.metrics, self.clock
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
            self._heard,
        )
        self.session = None
        self.store = None
        self.fetcher = None
        self.feeds_by_table = {}
        self.health = None
        self.learning = None

    async def run(self):
        """Run until a signal asks for a graceful stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.open()
        log_event(
            Event.STARTED,
            name=self.settings.name,
            zone=self.settings.zone,
            incarnation=self.incarnation,
        )
        await self.stop_asked.wait()
        log_event(
            Event.STOPPING,
            name=self.settings.name,
            active=self.frontend.active,
        )
        await self.drain()
        await self.close()
        log_event(Event.STOPPED, name=self.settings.name)

    async def open(self):
        """Open the sockets and start the tasks."""
        settings = self.settings
        self.session = aiohttp.ClientSession()
        self.store = self.platform.PlatformStoreClient(
            self.session, settings.store
        )
        self.feeds_by_table = {
            table: Feed(
                table,
                self.store,
                self.directory,
                self.liveness_by_table[table],
                self.random,
                self._reader_role,
            )
            for table in Table
        }
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
        self.tasks.start(self._join(), "join")
        self.tasks.start(self._sweep(), "sweep")
        self.tasks.start(self._watch_gone(), "servers that are gone")
        self.tasks.start(self._close_idle(), "idle connections")
        self.learning = self.tasks.start(self._learn(), "learn")

    async def close(self):
        """Stop the tasks and close everything."""
        await self.tasks.close()
        await self.frontend.close()
        self.fleet.close()
        self.socket.close()
        await self.relay.close()
        await self.health.cleanup()
        await self.session.close()

    async def drain(self):
        """Serve until the balancer has noticed, then end what is left."""
        started_s = self.clock()
        self.frontend.stopping = True
        await asyncio.sleep(BALANCER_LAG_S)
        await self.frontend.stop_accepting()
        last_s = started_s + self.settings.grace_s - CUT_BEFORE_S
        while self.frontend.active and self.clock() < last_s:
            await asyncio.sleep(POLL_S)

    async def until_learned(self):
        """Wait until what servers keep was asked for after the start."""
        await self.learning

    def is_ready(self):
        """Return whether the balancer may send new connections."""
        return not self.frontend.stopping and self.directory.is_complete()

    def dump(self):
        """Return the state of the process."""
        configuration = self.directory.configuration
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "active": self.frontend.active,
            "configuration": configuration and configuration.version,
            "evacuated_zones": sorted(self.directory.evacuated_zones),
            "tables": {
                feed.table.value: {
                    "version": self.directory.mirrors[feed.table].version,
                    "age_s": feed.liveness.age_s(),
                    "lost": feed.lost,
                }
                for feed in self.feeds_by_table.values()
            },
            "servers": {
                key: {
                    "service": known.record.service,
                    "zone": known.record.zone,
                    "ready": known.record.ready,
                }
                for key, known in self.directory.servers_by_id.items()
            },
            "loads": self.fleet.loads_by_id(),
            "routers": self.peers.size(),
            "datagrams_refused": self.socket.datagrams_refused,
            "store_calls": self.store.calls,
        }

    def _digest(self):
        turned_away = any(
            feed.failing for feed in self.feeds_by_table.values()
        )
        return self.message_builder.digest(turned_away, self.frontend.stopping)

    def _heard(self, message):
        self.fleet.apply_load_reports(message)
        if isinstance(message, Update):
            self.fleet.apply_placements(message.placements)
        for table, feed in self.feeds_by_table.items():
            if table.value in message.store:
                age_ms, steady_ms = message.store[table.value]
                feed.record_peer_report(age_ms / 1000.0, steady_ms / 1000.0)
        if self.fetcher.is_behind():
            self.tasks.start(self.fetcher.fetch_if_behind(), "pull")

    def _peer_source(self, peer):
        return PeerSource(self.session, peer.address[0], peer.relay_port)

    def _reader_role(self):
        return reader_role(self.peers)

    def _reload(self):
        settings, errors = self.reload()
        if settings is None:
            texts = [str(error) for error in errors]
            log_event(Event.SETTINGS_REFUSED, errors=texts)
            return
        self.selector.bounds = settings.bounds
        self.dispatcher.bounds = settings.bounds
        self.settings.seed_hosts = settings.seed_hosts
        self.settings.grace_s = settings.grace_s
        log_event(Event.SETTINGS_RELOADED, name=settings.name)

    async def _join(self):
        """Make this router known, and greet those that are."""
        host, port = split_address(self.settings.gossip)
        for seed in self.settings.seed_hosts:
            self._greet(seed, host, port)
        while not await self.store.announce(host):
            await asyncio.sleep(ANNOUNCE_PAUSE_S)
        members = await self.store.members()
        if members:
            self.peers.add_listed([(member, port) for member in members])
        for member in members:
            self._greet(member, host, port)

    def _greet(self, host, own_host, port):
        if host != own_host:
            self.socket.request_digest((host, port))

    async def _learn(self):
        while not self.directory.is_complete():
            await asyncio.sleep(POLL_S)
        engines = self.platform.PlatformEngineClient(self.session)
        learner = CacheDiscovery(self.fleet, self.peers, engines, self.session)
        await learner.run(self.settings.first_start)

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S)
            self.fleet.remove_unlisted()

    async def _watch_gone(self):
        while True:
            await asyncio.sleep(GONE_CHECK_S)
            self.fleet.abort_unlisted_attempts()

    async def _close_idle(self):
        while True:
            await asyncio.sleep(IDLE_CHECK_S)
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
        self.health = runner

    async def _health(self, request):
        status = 200 if self.is_ready() else 503
        return aiohttp.web.Response(status=status)
