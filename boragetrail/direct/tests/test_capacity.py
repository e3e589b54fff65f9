"""Tests of the memory and the speed of servers at routers."""

import asyncio
import json
import random
import types

import pytest

from boragetrail.direct.capacity import SpeedExchange, SpeedTable
from boragetrail.direct.capacity.heldtokens import TokenHold
from boragetrail.direct.capacity.loadheader import LoadFigures, parse_figures
from boragetrail.direct.capacity.requestsize import request_size
from boragetrail.direct.counts import server_key
from boragetrail.direct.directory import Directory
from boragetrail.direct.headers import parse_prompt_parts
from boragetrail.direct.model import Service
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.recordmessages import decode_records, encode_records
from boragetrail.direct.datagrams import (
    InvalidDatagram,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.reports import parse_load
from boragetrail.direct.tests.capacitysimulation import (
    ENGINE_TOKENS,
    CapacitySimulation,
)
from boragetrail.direct.tests.conftest import configuration, route, service
from boragetrail.platform import HEADER_NAMES, PlatformRowDecoder
from boragetrail.direct.interfaces import Row
from boragetrail.policy.enginememory import RequestSize
from boragetrail.policy.speed import SpeedReport
from standins.clock import ManualClock
from standins.httpserver import whole_answer

LOAD = HEADER_NAMES.load
LIMIT_BYTES_PER_S = 700
# (requests per second, tokens of the parts, number of shared parts, seconds)
OWN_PROMPTS = ((112.0, (600,), (), 0.6),)
LARGE_PROMPTS = ((120.0, (100, 100, 9000), (8, 40), 1.5),)
USUAL_REQUESTS = ((28.5, (1500, 1500, 580), (4, 41), 0.5),)


def slow_ratio(routers, seeds, **options):
    """Return requests at slow engines, relative to an even spread."""
    sent = expected = over = 0
    for seed in seeds:
        simulation = CapacitySimulation(
            seed, routers=routers, servers=25, **options
        )
        simulation.kinds = OWN_PROMPTS
        simulation.slow_down_at_times()
        simulation.run(6.0)
        sent += simulation.sent_slow
        expected += simulation.expected_slow
        over += simulation.over(1.0, 6.0)[0]
    return sent / expected, over


class TestSlowEngines:
    """Guard against placement that ignores speed, or follows it too far."""

    def test_share_of_requests_at_slow_engines(self):
        """Fails if figures are not used, exchanged or kept long enough."""
        without, _ = slow_ratio(11, range(2), capacity=False)
        ratio, _ = slow_ratio(11, range(2), loss=0.2)
        assert ratio < 0.8 * without

    def test_routers_do_not_pile_up_at_fast_engines(self):
        """Fails if all routers send to the engine with the best figure."""
        _, over = slow_ratio(24, range(1), loss=0.2)
        assert over <= 3

    def test_one_engine_appears_far_faster(self):
        """Fails if a false figure of 1 draws the requests of all routers."""
        simulation = CapacitySimulation(3, routers=24, servers=10)
        simulation.kinds = OWN_PROMPTS
        simulation.lies_by_id["i-0"] = 1
        simulation.factors_by_id["i-0"] = 2.5
        simulation.run(5.0)
        mean = sum(simulation.sent_by_id.values()) / 10
        assert simulation.sent_by_id["i-0"] < 1.25 * mean
        assert simulation.over(1.0, 5.0)[0] <= 3

    @pytest.mark.parametrize("figure", [9999, 100000])
    def test_engine_that_reports_to_be_far_slower(self, figure):
        """Fails if a false figure keeps all requests away."""
        simulation = CapacitySimulation(3, routers=4, servers=5)
        simulation.kinds = OWN_PROMPTS
        simulation.lies_by_id["i-0"] = figure
        simulation.run(8.0)
        mean = sum(simulation.sent_by_id.values()) / 5
        assert simulation.sent_by_id["i-0"] > 0.5 * mean

    def test_slow_application_server(self):
        """Fails if measured times are not compared or not exchanged."""
        shares = []
        for capacity in (False, True):
            simulation = CapacitySimulation(
                2, capacity, figures=False, routers=11, servers=3, loss=0.2
            )
            simulation.kinds = ((22.0, (), (), 0.06),)
            simulation.factors_by_id["i-0"] = 2.5
            simulation.run(20.0)
            sent = simulation.sent_by_id
            shares.append(sent["i-0"] / sent.total())
        assert shares[1] < 0.8 * shares[0]


class TestMemory:
    """Guard against engines that crash because their memory is exceeded."""

    @pytest.mark.parametrize("loss", [0.0, 0.2])
    @pytest.mark.parametrize("routers", [1, 4, 24])
    def test_burst_of_large_requests(self, routers, loss):
        """Fails if a router ignores its own or other routers' requests."""
        for seed in (1, 8):
            simulation = CapacitySimulation(seed, routers=routers, loss=loss)
            simulation.kinds = LARGE_PROMPTS
            simulation.run(4.0)
            assert 0.5 * ENGINE_TOKENS < simulation.max_tokens < ENGINE_TOKENS
            assert simulation.refused

    def test_usual_load(self):
        """Fails if the filter acts while there is memory for all."""
        simulation = CapacitySimulation(2, routers=11, servers=10)
        simulation.kinds = USUAL_REQUESTS
        simulation.run(5.0, 4.0)
        assert not simulation.refused

    def test_tokens_are_released(self):
        simulation = CapacitySimulation(1, routers=4)
        simulation.kinds = LARGE_PROMPTS
        simulation.run(3.0, 0.2)
        simulation._arrive = lambda kind, load: None
        simulation.run(10.0, 0.2)
        for router in simulation.routers:
            assert not router.monitor.held.tokens_by_id
            assert not router.monitor.held.requests_by_part


class TestExchange:
    """Guard against messages about speed that cost too much or are wrong."""

    def _exchange(self, peer_count):
        self.clock = ManualClock(100.0)
        peers = PeerTable(self.clock, random.Random(1))
        for number in range(peer_count):
            peers.add_reported(
                (f"10.1.{number // 200}.{number % 200 + 1}", 7000)
            )
        directory = Directory(PlatformRowDecoder(), self.clock)
        speeds = SpeedTable(directory, self.clock)
        return SpeedExchange(speeds, peers, self.clock)

    @pytest.mark.parametrize("peer_count", [10, 23, 329])
    def test_bytes_per_second(self, peer_count):
        """Fails if messages are not bounded where all figures change."""
        exchange = self._exchange(peer_count)
        rng = random.Random(2)
        sent_bytes = 0
        for _ in range(200):
            self.clock.now_s += 0.1
            for number in range(25):
                percent = rng.choice((100, 250))
                exchange.record_figure(f"i-{number}", percent)
            reports, addresses = exchange.take_due()
            message = encode_records(reports, self.clock())
            if reports:
                sent_bytes += len(encode_datagram(message)) * len(addresses)
        assert 0 < sent_bytes / 20.0 < LIMIT_BYTES_PER_S

    def test_known_figure_is_not_sent_again(self):
        exchange = self._exchange(3)
        peer = next(iter(exchange.peers.peers_by_address))
        report = SpeedReport(server_key("i-0"), 250, 0, 99.95)
        exchange.apply(report, peer)
        exchange.record_figure("i-0", 240)
        assert exchange.take_due() == ([], [])
        exchange.record_figure("i-1", 240)
        reports, addresses = exchange.take_due()
        assert [each.percent for each in reports] == [240]
        assert len(addresses) == 3

    def test_records_in_datagrams(self):
        report = SpeedReport(7, 250, 0, 99.5)
        data = encode_datagram(encode_records([report], 100.0))
        (decoded,) = decode_records(decode_datagram(data), 100.0)
        assert decoded == report

    @pytest.mark.parametrize(
        "entry",
        [[7, 1, 0, 0], [7, 10**9, 0, 0], [7, -5, 0, 0], [7, 100, 0], "x"],
    )
    def test_invalid_records(self, entry):
        message = encode_records([], 100.0)
        message.lists_by_type["speed"] = [entry]
        decoded = decode_datagram(encode_datagram(message))
        assert isinstance(decoded, InvalidDatagram)

    def test_figures_of_strangers(self):
        exchange = self._exchange(3)
        report = SpeedReport(server_key("i-0"), 400, 0, 100.0)
        exchange.apply(report, ("10.9.9.9", 7000))
        assert not exchange.speeds.estimates_by_key


class TestReuse:
    """Guard against a slowness that is kept for too long."""

    def test_slowness_follows_figures_and_age(self):
        clock = ManualClock(100.0)
        directory = Directory(PlatformRowDecoder(), clock)
        speeds = SpeedTable(directory, clock)
        record = types.SimpleNamespace(id="i-0", service="apps")
        assert speeds.slowness(record) == 1.0
        speeds.record_figure(server_key("i-0"), 250, clock())
        slowness = speeds.slowness(record)
        assert slowness > 2.0
        clock.now_s += 2 * speeds.REUSE_S
        assert speeds.slowness(record) < slowness
        speeds.remove_unlisted()
        assert not speeds.slowness_by_key


HOSTILE_NUMBERS = ("x", "-1", "²", "٣", "9" * 400, "9" * 5000, "", "1_0")


class TestHostileHeaders:
    """Guard against header values that raise or that are believed."""

    @pytest.mark.parametrize("number", HOSTILE_NUMBERS)
    @pytest.mark.parametrize("field", range(4))
    def test_load(self, field, number):
        fields = ["12", "1", "96", "130"]
        fields[field] = number
        figures = parse_figures(",".join(fields), 96)
        assert figures.malformed
        assert figures.requests == (None if field < 2 else 13)
        assert figures.percent == (None if field == 3 else 130)
        parse_load(",".join(fields))
        assert parse_prompt_parts(f"deck:{number}") == []

    def test_unusual_loads(self):
        assert parse_figures("") == LoadFigures()
        assert parse_figures("3,1") == LoadFigures(4)
        assert parse_figures("3,1,8") == LoadFigures(4)
        assert parse_figures("3,1,8,0") == LoadFigures(4, None, True)
        assert parse_figures("3,1,8,90,7").malformed
        assert parse_figures("50000,1,96", 96).requests is None
        assert parse_figures("3").requests is None

    @pytest.mark.parametrize("number", HOSTILE_NUMBERS)
    def test_tokens(self, number):
        prompt = [("deck", 700)]
        for text in (f"{number},80", f"700,{number}", number, "1,2,3"):
            headers = {
                HEADER_NAMES.tokens: text,
                HEADER_NAMES.length_hint: number,
            }
            size = request_size(headers, HEADER_NAMES, prompt)
            assert size.prompt == 700 and size.output in (0, 80)

    def test_hint(self):
        headers = {
            HEADER_NAMES.tokens: "1460,80",
            HEADER_NAMES.length_hint: "25",
        }
        size = request_size(headers, HEADER_NAMES, [])
        assert size == RequestSize(1460, 50, 80)

    @pytest.mark.parametrize("value", ["x", -5, 10**400, None, 1.5])
    def test_capacity_in_the_configuration(self, value):
        backend = {"model": "m", "kvCapacity": value}
        decoded = self._service(backend)
        assert decoded.is_model and decoded.token_capacity == 0

    def test_valid_capacity(self):
        assert self._service({"kvCapacity": 271624}).token_capacity == 271624
        assert self._service(None) == Service("apps", 64, 0.0, False)

    def _service(self, backend):
        data = configuration(services=[service("apps", backend=backend)])
        row = Row("config", 1, json.dumps(data).encode())
        decoded = PlatformRowDecoder().configuration(row)
        return decoded.services_by_name["apps"]


def report_load(text):
    """Return a handler that reports a load in its response."""

    async def respond(request):
        return whole_answer(request, b"done", fields=(f"{LOAD}: {text}",))

    return respond


def configure_memory(cluster):
    """Limit the memory of the engines to 5000 tokens."""
    data = configuration(
        version=2,
        routes=[route("status", "idempotent")],
        services=[service("apps", backend={"kvCapacity": 5000})],
    )
    cluster.store.put("op", "config", data)


class TestRouter:
    """Guard against figures that do not reach the selection of servers."""

    async def test_header(self, cluster):
        daemon = await cluster.add_router(rules=["pressure"])
        server = cluster.servers[0]
        for each in cluster.servers:
            each.default = report_load("2,0,8,100")
        server.default = report_load("2,0,8,250")
        while not server.requests:
            await cluster.call(daemon, "/status/1")
        state = daemon.fleet.states_by_id[server.id]
        assert daemon.fleet.engine_view(state).slowness > 1.5
        assert daemon.fleet.server_view(state).slowness > 1.5
        assert server.id in daemon.dump()["capacity"]["slowness"]
        server.default = report_load("²,0,8,-1")
        count = len(server.requests)
        while len(server.requests) == count:
            status, _, _ = await cluster.call(daemon, "/status/1")
            assert status == 200
        assert daemon.parts.capacity.malformed_ids == {server.id}

    async def test_figure_reaches_another_router(self, cluster):
        """Fails if figures are not sent, or not accepted from a peer."""
        first = await cluster.add_router(rules=["pressure"])
        second = await cluster.add_router(rules=["pressure"])
        await cluster.until(lambda: first.peers.peers_by_address)
        server = cluster.servers[0]
        server.default = report_load("2,0,8,250")
        while not server.requests:
            await cluster.call(first, "/status/1")
        figures = second.parts.capacity.speeds.estimates_by_key
        await cluster.until(lambda: server_key(server.id) in figures)
        assert figures[server_key(server.id)].figure == 2.5

    async def test_memory(self, cluster):
        configure_memory(cluster)
        daemon = await cluster.add_router(rules=["pressure"])
        tokens = HEADER_NAMES.tokens
        status, headers, _ = await cluster.call(
            daemon, "/status/1", headers={tokens: "4000,80"}
        )
        assert status == 200 and not daemon.parts.capacity.held.tokens_by_id
        status, headers, _ = await cluster.call(
            daemon, "/status/1", headers={tokens: "4000,2000"}
        )
        assert status == 503 and float(headers["Retry-After"]) >= 30
        # The means of services that are gone were kept forever.
        daemon.parts.capacity.record_demand(
            Service("removed", 64, 0.0, True), RequestSize(1, 0, 0)
        )
        daemon.parts.capacity.remove_unlisted()
        assert set(daemon.parts.capacity.tokens_by_service) == {"apps"}
        assert sum(len(each.requests) for each in cluster.servers) == 1

    async def test_router_without_the_feature(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.parts.capacity is None and daemon.fleet.speeds is None
        assert daemon.dispatcher.capacity is None
        assert daemon.record_gossip.speeds is None
        assert "capacity" not in daemon.dump()

    async def test_requests_before_the_feature(self, cluster):
        """Fails if requests without a hold count as no tokens."""
        configure_memory(cluster)
        daemon = await cluster.add_router()
        ended = asyncio.Event()

        async def respond(request):
            if sum(each.in_flight for each in states) <= len(states):
                await ended.wait()
            return whole_answer(request, b"done")

        for each in cluster.servers:
            each.default = respond
        states = daemon.fleet.ready_servers("apps")

        def call():
            headers = {HEADER_NAMES.tokens: "4000,100"}
            return cluster.call(daemon, "/status/1", headers=headers)

        tasks = [asyncio.ensure_future(call()) for _ in states]
        await cluster.until(lambda: all(each.in_flight for each in states))
        daemon.parts.enable_for_uneven_servers()
        status, _, _ = await call()
        ended.set()
        for task in tasks:
            assert (await task)[0] == 200
        assert status == 503
        assert not daemon.parts.capacity.held.requests_by_id

    async def test_retry_after_without_memory(self, cluster):
        """Fails if callers are not told when tokens become free."""
        configure_memory(cluster)
        daemon = await cluster.add_router(rules=["pressure"])
        size = RequestSize(4200, 0, 0)
        for each in cluster.servers:
            hold = TokenHold(each.id, [], size, daemon.clock())
            daemon.parts.capacity.held.add(hold)
        status, headers, body = await cluster.call(
            daemon, "/status/1", headers={HEADER_NAMES.tokens: "4200,0"}
        )
        assert status == 503 and b"overloaded" in body
        assert float(headers["Retry-After"]) > 0.9
