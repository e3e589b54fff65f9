"""Tests of the ejection of failing servers with sockets, and of its parts."""

import asyncio
import dataclasses
import math
import random

import pytest

from boragetrail.direct.datagrams import decode_datagram, encode_datagram
from boragetrail.direct.datagrams import InvalidDatagram
from boragetrail.direct.ejection import OutcomeReport
from boragetrail.direct.ejection.outcomes import AttemptResult
from boragetrail.direct.progress import RequestProgress
from boragetrail.direct.recordmessages import (
    RecordMessage,
    decode_records,
    encode_records,
)
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.ejectionfleet import (
    LOOKUP,
    RESERVATION,
    EjectionFleet,
)
from boragetrail.direct.tests.fleetsimulation import SERVICE, Router
from standins.clock import ManualClock
from standins.httpserver import whole_answer

NOW_S = 500.0
REPORT = OutcomeReport(
    7, 9, (3, 1), (0, 2), 11, 4, NOW_S - 2.0, NOW_S - 0.25, NOW_S
)


WORK_S = 0.03


async def answer_200(request):
    """Answer a request after some work; a handler of the test server."""
    await asyncio.sleep(WORK_S)
    return whole_answer(request)


async def answer_500(request):
    """Fail a request; a handler of the test server."""
    await asyncio.sleep(WORK_S)
    return whole_answer(request, b"failed", "500 Internal Server Error")


class TestRouters:
    """Guard against parts that are not connected in a real router."""

    async def _open(self, cluster, routers, **fields):
        """Start a third server, and routers that know each other."""
        await cluster.add_server()
        for server in cluster.servers:
            server.default = answer_200
        daemons = [await cluster.add_router(**fields) for _ in range(routers)]
        await cluster.until(
            lambda: all(
                len(each.peers.peers_by_address) == routers - 1
                for each in daemons
            )
        )
        return daemons

    async def _send(self, cluster, daemons, path, count=12):
        """Send requests at once; returns the list of their statuses."""
        calls = [
            cluster.call(daemons[number % len(daemons)], path)
            for number in range(count)
        ]
        return [status for status, _, _ in await asyncio.gather(*calls)]

    async def test_failing_server_is_ejected_and_readmitted(self, cluster):
        daemons = await self._open(cluster, 2, rules=["pressure"])
        failing = cluster.servers[0]
        failing.default = answer_500

        async def send_until(path, condition):
            async with asyncio.timeout(10.0):
                while not condition():
                    await self._send(cluster, daemons, path)

        def are_ejected(ids):
            return all(
                each.dump()["ejected_servers"] == ids for each in daemons
            )

        await send_until("/order/", lambda: are_ejected([failing.id]))
        count = len(failing.requests)
        assert count <= 20
        assert set(await self._send(cluster, daemons, "/order/")) == {200}
        assert len(failing.requests) == count
        await send_until("/status/", lambda: len(failing.requests) > count)
        failing.default = answer_200
        await send_until("/status/", lambda: are_ejected([]))
        text = daemons[0].metrics.render(["text/plain"])[0].decode()
        assert 'boragetrail_ejections_total{service="apps"} 1' in text

    async def test_router_without_rules(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.parts.ejection is None
        assert daemon.record_gossip.outcomes is None
        assert daemon.dump()["ejected_servers"] == []

    async def test_second_attempt_goes_to_another_server(self, cluster):
        """Guard against a retry at the server that has just failed."""
        daemons = await self._open(cluster, 2)
        failing = cluster.servers[0]
        failing.default = answer_500
        statuses = []
        for _ in range(10):
            statuses += await self._send(cluster, daemons, "/status/")
        assert set(statuses) == {200}
        ids = [each.id for each in failing.requests]
        assert len(ids) == len(set(ids)) > 5


class TestRecords:
    """Guard against reports that other routers refuse or misread."""

    def test_round_trip(self):
        for report in (
            REPORT,
            dataclasses.replace(REPORT, ejected_s=-math.inf),
        ):
            data = encode_datagram(encode_records([report], NOW_S))
            assert decode_records(decode_datagram(data), NOW_S) == [report]

    @pytest.mark.parametrize(
        "counts", [[1, 1, 1, 1, 3, 0], [0, 0, 0, 0, 1], [0, 0, 0, 0, -1, 0], 4]
    )
    def test_impossible_counts(self, counts):
        value = [7, 9, counts, 0, 0, 0]
        data = encode_datagram(RecordMessage("records", {"outcomes": [value]}))
        assert isinstance(decode_datagram(data), InvalidDatagram)

    def test_router_without_ejection_ignores_reports(self):
        fleet = EjectionFleet(1, routers=2)
        gossip = fleet.routers[0].gossip
        gossip.outcomes = None
        gossip.apply(encode_records([REPORT], 100.0), ("h", 1))
        assert gossip.snapshot() == []

    def test_repeated_reports_count_once(self):
        fleet = EjectionFleet(1, routers=2)
        sender, receiver = fleet.routers
        (state, *_) = sender.fleet.listed_servers(SERVICE.name)
        for _ in range(4):
            state.record_response(failed=True)
        (message,) = sender.gossip.snapshot(1)
        for _ in range(9):
            receiver.gossip.apply(message, ("h", 1))
        assert receiver.monitor.ejected_ids() == []

    def test_starting_router_learns_of_an_ejection(self):
        fleet = EjectionFleet(1, routers=3)
        states = [
            each.fleet.listed_servers(SERVICE.name)[1]
            for each in fleet.routers
        ]
        for router, state in zip(fleet.routers[:2], states):
            while not router.monitor.ejected_ids():
                state.record_response(failed=True)
            assert router.monitor.ejected_ids() == ["i-1"]
        starting = fleet.routers[2]
        for router in fleet.routers[:2]:
            for message in router.gossip.snapshot():
                starting.gossip.apply(message, ("h", 1))
        assert starting.monitor.ejected_ids() == ["i-1"]


class TestFilter:
    """Guard against requests that are lost because of the filter."""

    def setup_method(self):
        self.fleet = EjectionFleet(1, routers=1)
        self.router = self.fleet.routers[0]
        self.states = self.router.fleet.listed_servers(SERVICE.name)
        for _ in range(12):
            self.states[1].record_response(failed=True)
        assert self.router.monitor.ejected_ids() == ["i-1"]

    def _choose(self, route, progress=None):
        request = DirectRequest(None, self.fleet.clock())
        request.route, request.service = route, SERVICE
        progress = progress or RequestProgress([], [])
        return self.router.selector.choose(request, progress).record.id

    def test_requests_that_must_not_be_repeated_are_no_trials(self):
        ids = {self._choose(RESERVATION) for _ in range(50)}
        assert "i-1" not in ids

    def test_trials_are_bounded(self):
        ids = [self._choose(LOOKUP) for _ in range(100)]
        assert ids.count("i-1") == 15

    def test_request_with_one_attempt_is_no_trial(self):
        route = dataclasses.replace(LOOKUP, max_attempts=1)
        assert "i-1" not in {self._choose(route) for _ in range(50)}

    def test_only_server_of_a_version_is_kept(self):
        for state in self.states:
            state.record.version = state.record.id
        progress = RequestProgress([], [])
        progress.version = "i-1"
        assert self._choose(RESERVATION, progress) == "i-1"

    def test_retry_avoids_a_server_below_the_threshold(self):
        self.states[0].record_response(failed=True)
        self.states[0].record_response(failed=True)
        assert self.router.monitor.ejected_ids() == ["i-1"]
        self.states[2].in_flight = 3
        assert self._choose(RESERVATION) == "i-0"
        progress = RequestProgress([], [])
        progress.attempts_sent = 1
        assert {self._choose(LOOKUP, progress) for _ in range(50)} == {"i-2"}

    def test_lost_responses_of_one_router_eject_nothing(self):
        fleet = EjectionFleet(1, routers=1)
        router = fleet.routers[0]
        for state in router.fleet.listed_servers(SERVICE.name)[:1]:
            for _ in range(50):
                state.record_failure(fleet.clock())
        assert router.monitor.ejected_ids() == []


class TestUnchangedChoices:
    """Guard against other choices where the feature is off."""

    def test_random_numbers_are_the_same(self):
        routers = [
            Router(0, ManualClock(100.0), random.Random(1), 3)
            for _ in range(2)
        ]
        results = []
        routers[1].knowledge.on_result = lambda *args: results.append(args)
        for router in routers:
            for state in router.fleet.listed_servers(SERVICE.name):
                state.record_response(failed=state.record.id == "i-0")
        request = DirectRequest(None, 100.0)
        request.route, request.service = RESERVATION, SERVICE
        first, second = (
            [
                router.selector.choose(request, RequestProgress([], [])).record
                for _ in range(30)
            ]
            for router in routers
        )
        assert first == second
        assert [each[1] for each in results].count(AttemptResult.ERROR) == 1
