"""Routers that each see a part of the work, and their engines."""

import random

from boragetrail.direct.datagrams import Update
from boragetrail.direct.directory import Directory, ListedServer
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.model import ServerRecord, Service
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.selector import ServerSelector
from boragetrail.emulator.engine import EmulatedEngine, Work
from boragetrail.settings.direct import Bounds

__all__ = ["EmulatedFleet", "EmulatedRouter"]

SERVICE = Service("chats", 360, 0.0, True)
BOUNDS = Bounds(
    {
        "retry_ratio": 0.2,
        "retry_window_s": 10.0,
        "retry_extra": 52,
        "cold_factor": 1.5,
        "cold_margin": 5.0,
    }
)
# Time of a datagram, or of an answer's head, on its way.
DATAGRAM_S = 0.002
PORT = 7000
LINK_MBPS = 1000.0


class ChatRequest:
    """What a choice needs to know of a request."""

    __slots__ = ("service",)

    def __init__(self):
        self.service = SERVICE


class EmulatedRouter:
    """One router: the product's decisions on its own view.

    :param number: number of the router, which gives its address
    :param zone: its availability zone
    :param time: :class:`~boragetrail.emulator.VirtualTime`
    :param seed: seed of its random generator
    :param placement: function from (parts, random) to what orders engines,
        as :class:`~boragetrail.policy.prefix.PrefixPlacement` does
    """

    def __init__(self, number, zone, time, seed, placement):
        self.time = time
        self.random = random.Random(seed)
        self.host = (
            f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        )
        self.peers = PeerTable(time, self.random)
        self.peers.own_address = (self.host, PORT)
        self.directory = Directory(None, time)
        self.fleet = Fleet(self.directory, self.peers, zone, time)
        self.selector = ServerSelector(
            self.fleet, None, BOUNDS, time, self.random
        )
        self.selector.prefix_placement = placement(
            self.fleet.prefix_index, self.random
        )
        self.message_builder = MessageBuilder(
            self.fleet, {}, f"{number:016x}", PORT, PORT, LINK_MBPS
        )
        self.sequence = 0

    def list_servers(self, records):
        """Take over the list of engines.

        :param records: :class:`~boragetrail.direct.model.ServerRecord` each
        """
        self.directory.servers_by_id = {
            record.id: ListedServer(record, 0.0) for record in records
        }

    def digest(self):
        """Return what this router tells others."""
        return self._numbered(self.message_builder.digest(False, False))

    def take_news(self):
        """Return what others should hear soon, or ``None``."""
        news = self.message_builder.take_update()
        return None if news is None else self._numbered(news)

    def _numbered(self, message):
        self.sequence += 1
        message.sequence = self.sequence
        return message

    def heard(self, message, host):
        """Take over a digest or news of another router."""
        if isinstance(message, Update):
            self.peers.apply_update(message, host)
            self.fleet.apply_placements(message.placements)
            for row in message.relayed:
                self.peers.apply_relayed(row)
        elif self.peers.apply_digest(message, host)[0] is None:
            return
        self.fleet.apply_load_reports(message)


class EmulatedFleet:
    """Engines, routers and the datagrams between them.

    :param time: :class:`~boragetrail.emulator.VirtualTime`
    :param shape: :class:`~boragetrail.emulator.EngineShape`
    :param engines: number of engines
    :param routers: number of routers
    :param zones: names of availability zones; engines and routers take
        turns
    :param seed: seed of all chance
    :param placement: see :class:`EmulatedRouter`
    :ivar arrivals: requests that reached engines
    :ivar over_limit: those of them that found an engine with more than
        twice the mean load and 3 requests
    """

    LIMIT_MULTIPLE = 2.0
    LIMIT_SLACK = 3

    def __init__(self, time, shape, engines, routers, zones, seed, placement):
        self.time = time
        self.random = random.Random(seed)
        self.arrivals = 0
        self.over_limit = 0
        self.engines_by_id = {}
        self.records = []
        for number in range(engines):
            name = f"e{number}"
            self.engines_by_id[name] = EmulatedEngine(time, shape)
            zone = zones[number % len(zones)]
            address = (name, PORT)
            record = ServerRecord(
                name, SERVICE.name, address, zone, shape.slots, True, 0.0, 0
            )
            self.records.append(record)
        self.routers = [
            EmulatedRouter(n, zones[n % len(zones)], time, seed + n, placement)
            for n in range(routers)
        ]
        for router in self.routers:
            router.list_servers(self.records)

    def start(self):
        """Let the routers greet each other, and plan their datagrams."""
        for router in self.routers:
            self._tell(router, router.digest(), len(self.routers))
            for period_s, action in (
                (PeerSocket.DIGEST_INTERVAL_S, self._round),
                (PeerSocket.UPDATE_INTERVAL_S, self._news),
            ):
                self.time.after(
                    self.random.uniform(0, period_s),
                    lambda router=router, action=action: action(router),
                )

    def send(self, router, request, priority, on_first, on_end):
        """Place a request.

        :param request: :class:`~boragetrail.emulator.workload.CallerRequest`
        :returns: function that ends the request, or ``None`` if no engine
            may get it
        """
        progress = RequestProgress(request.prompt)
        state = router.selector.choose(ChatRequest(), progress)
        if state is None:
            return None
        plan = router.selector.plan(ChatRequest(), progress, state.record.id)
        pending = PendingWork(state, plan.prefill_tokens)
        source = self.engines_by_id.get(plan.copy_from.partition(":")[0])
        engine = self.engines_by_id[state.record.id]

        def first():
            pending.prefill_finished()
            # The head of an answer tells the engine's load.
            router.fleet.reports.record(state.record.id, engine.active)
            on_first()

        def end():
            pending.end()
            state.record_response()
            on_end()

        work = Work(
            request.prompt,
            request.output_tokens,
            priority,
            source,
            first,
            end,
        )

        def cancel():
            pending.end()
            engine.cancel(work)

        self._count(engine)
        engine.submit(work)
        return cancel

    def set_zone(self, zone, out):
        """Take a zone's engines out of service, or back with no cache."""
        for router in self.routers:
            zones = router.directory.evacuated_zones
            (zones.add if out else zones.discard)(zone)
        if out:
            return
        for record in self.records:
            if record.zone == zone:
                self.engines_by_id[record.id].cache.clear()
                self.engines_by_id[record.id].cached_tokens = 0
                for router in self.routers:
                    router.fleet.prefix_index.remove_engine(record.id)

    def _count(self, engine):
        loads = [each.active for each in self.engines_by_id.values()]
        mean = sum(loads) / len(loads)
        most = self.LIMIT_MULTIPLE * mean + self.LIMIT_SLACK
        self.arrivals += 1
        self.over_limit += engine.active > most

    def _round(self, router):
        self._tell(router, router.digest(), PeerSocket.DIGEST_FANOUT)
        pause_s = PeerSocket.DIGEST_INTERVAL_S * self.random.uniform(0.8, 1.2)
        self.time.after(pause_s, lambda: self._round(router))

    def _news(self, router):
        news = router.take_news()
        if news is not None:
            self._tell(router, news, router.peers.update_fanout())
        self.time.after(
            PeerSocket.UPDATE_INTERVAL_S, lambda: self._news(router)
        )

    def _tell(self, router, message, fanout):
        others = [each for each in self.routers if each is not router]
        count = min(fanout, len(others))
        for other in self.random.sample(others, count):
            self.time.after(
                DATAGRAM_S,
                lambda other=other: other.heard(message, router.host),
            )
