"""Emulated fleet: engines, and routers that exchange load reports."""

import random

from boragetrail.direct.datagrams import Update
from boragetrail.direct.directory import Directory, ListedServer
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.knowledge import ServerKnowledge
from boragetrail.direct.model import ServerRecord, Service
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.selector import ServerSelector
from boragetrail.emulator.engine import EmulatedEngine, EngineRequest
from boragetrail.settings.direct import Bounds

__all__ = ["EmulatedFleet", "EmulatedRouter"]

# Model service with 360 connections per server and no limit on the request
# rate of a cold server.
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
# One-way network delay of a datagram.
DATAGRAM_DELAY_S = 0.002
PORT = 7000
LINK_MBPS = 1000.0


class RequestStub:
    """Request with the attributes that the server selector reads."""

    __slots__ = ("service",)

    def __init__(self):
        self.service = SERVICE


class EmulatedRouter:
    """Router that chooses engines with the code of the direct path.

    :param number: number of the router, which determines its address
    :param zone: availability zone of the router
    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param seed: seed of the random generator
    :param placement: class such as
        :class:`~boragetrail.policy.prefix.PrefixPlacement`, called with the
        prefix index and the random generator
    """

    def __init__(self, number, zone, clock, seed, placement):
        self.clock = clock
        self.random = random.Random(seed)
        self.host = (
            f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        )
        self.peers = PeerTable(clock, self.random)
        self.peers.own_address = (self.host, PORT)
        self.directory = Directory(None, clock)
        self.fleet = Fleet(
            self.directory,
            self.peers,
            zone,
            clock,
            ServerKnowledge(self.peers),
        )
        self.selector = ServerSelector(
            self.fleet, None, BOUNDS, clock, self.random
        )
        self.selector.prefix_placement = placement(
            self.fleet.prefix_index, self.random
        )
        self.message_builder = MessageBuilder(
            self.fleet, {}, f"{number:016x}", PORT, PORT, LINK_MBPS
        )
        self.sequence = 0

    def set_servers(self, records):
        """Replace the entries of the router's directory of servers.

        :param records: list of
            :class:`~boragetrail.direct.model.ServerRecord`
        """
        self.directory.servers_by_id = {
            record.id: ListedServer(record, 0.0) for record in records
        }

    def digest(self):
        """Return a digest, numbered as the router's next datagram."""
        return self._with_sequence(self.message_builder.digest(False, False))

    def take_update(self):
        """Return an update with the changes since the last one.

        :returns: the update, numbered as the router's next datagram, or
            ``None`` if there is nothing to send
        """
        update = self.message_builder.take_update()
        return None if update is None else self._with_sequence(update)

    def _with_sequence(self, message):
        self.sequence += 1
        message.sequence = self.sequence
        return message

    def receive(self, message, host):
        """Apply a digest or an update that another router sent.

        :param host: host of the other router
        """
        if isinstance(message, Update):
            self.peers.apply_update(message, host)
            self.fleet.apply_placements(message.placements)
            for row in message.relayed:
                self.peers.apply_relayed(row)
        elif self.peers.apply_digest(message, host)[0] is None:
            return
        self.fleet.apply_load_reports(message)


class EmulatedFleet:
    """Engines, routers and the datagrams between the routers.

    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param profile: :class:`~boragetrail.emulator.EngineProfile`
    :param engines: number of engines
    :param routers: number of routers
    :param zones: names of availability zones, to which engines and routers
        are assigned in turn
    :param seed: seed of all random generators
    :param placement: class of the routers' placement policy, see
        :class:`EmulatedRouter`
    :ivar arrivals: number of requests sent to engines
    :ivar over_limit: number of requests whose engine, when they were sent to
        it, had more than ``LOAD_LIMIT_MULTIPLE`` times the engines' mean
        number of requests plus ``LOAD_LIMIT_SLACK``
    """

    LOAD_LIMIT_MULTIPLE = 2.0
    LOAD_LIMIT_SLACK = 3

    def __init__(
        self, clock, profile, engines, routers, zones, seed, placement
    ):
        self.clock = clock
        self.random = random.Random(seed)
        self.arrivals = 0
        self.over_limit = 0
        self.engines_by_id = {}
        self.records = []
        for number in range(engines):
            name = f"e{number}"
            self.engines_by_id[name] = EmulatedEngine(clock, profile)
            zone = zones[number % len(zones)]
            address = (name, PORT)
            # Each engine is ready, warm and has no start time.
            record = ServerRecord(
                name, SERVICE.name, address, zone, profile.slots, True, 0.0, 0
            )
            self.records.append(record)
        self.routers = [
            EmulatedRouter(
                n, zones[n % len(zones)], clock, seed + n, placement
            )
            for n in range(routers)
        ]
        for router in self.routers:
            router.set_servers(self.records)

    def start(self):
        """Exchange initial digests and schedule the periodic datagrams."""
        for router in self.routers:
            self._send_datagram(router, router.digest(), len(self.routers))
            for period_s, action in (
                (PeerSocket.DIGEST_INTERVAL_S, self._send_digest),
                (PeerSocket.UPDATE_INTERVAL_S, self._send_update),
            ):
                self.clock.call_later(
                    self.random.uniform(0, period_s),
                    lambda router=router, action=action: action(router),
                )

    def send(self, router, request, priority, on_first_event, on_complete):
        """Send a request to the engine that a router chooses.

        :param router: :class:`EmulatedRouter`
        :param request: :class:`~boragetrail.emulator.workload.CallerRequest`
        :param priority: priority; 0 is served first
        :param on_first_event: called when the first stream event is complete
        :param on_complete: called when the response is complete
        :returns: function that cancels the request, or ``None`` if no
            engine accepts it
        """
        progress = RequestProgress(request.prompt, [])
        state = router.selector.choose(RequestStub(), progress)
        if state is None:
            return None
        plan = router.selector.plan(RequestStub(), progress, state.record)
        pending = PendingWork(state, plan.prefill_tokens)
        source = self.engines_by_id.get(plan.copy_from.partition(":")[0])
        engine = self.engines_by_id[state.record.id]

        def first_event():
            pending.prefill_finished()
            # The header of a response reports the engine's load.
            router.fleet.reports.record(state.record.id, engine.active)
            on_first_event()

        def complete():
            pending.end()
            state.record_response()
            on_complete()

        engine_request = EngineRequest(
            request.prompt,
            request.output_tokens,
            priority,
            source,
            first_event,
            complete,
        )

        def cancel():
            pending.end()
            engine.cancel(engine_request)

        self._count_arrival(engine)
        engine.submit(engine_request)
        return cancel

    def set_zone_out(self, zone, out):
        """Take a zone out of service or put it back into service.

        The caches of the zone's engines are empty when it is back.

        :param out: whether the zone is taken out of service
        """
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

    def _count_arrival(self, engine):
        loads = [each.active for each in self.engines_by_id.values()]
        mean = sum(loads) / len(loads)
        limit = self.LOAD_LIMIT_MULTIPLE * mean + self.LOAD_LIMIT_SLACK
        self.arrivals += 1
        self.over_limit += engine.active > limit

    def _send_digest(self, router):
        self._send_datagram(router, router.digest(), PeerSocket.DIGEST_FANOUT)
        delay_s = PeerSocket.DIGEST_INTERVAL_S * self.random.uniform(0.8, 1.2)
        self.clock.call_later(delay_s, lambda: self._send_digest(router))

    def _send_update(self, router):
        update = router.take_update()
        if update is not None:
            self._send_datagram(router, update, router.peers.update_fanout())
        self.clock.call_later(
            PeerSocket.UPDATE_INTERVAL_S, lambda: self._send_update(router)
        )

    def _send_datagram(self, router, message, fanout):
        others = [each for each in self.routers if each is not router]
        count = min(fanout, len(others))
        for other in self.random.sample(others, count):
            self.clock.call_later(
                DATAGRAM_DELAY_S,
                lambda other=other: other.receive(message, router.host),
            )
