"""Tests of requests that wait at a router until a server has a place."""

import asyncio
import collections

import pytest

from boragetrail.direct.admission import WaitingQueue, WaitingRequest
from boragetrail.direct.features import Feature
from boragetrail.direct.model import Service
from boragetrail.direct.progress import RequestProgress
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.conftest import configuration, route
from boragetrail.platform.names import HEADER_NAMES
from standins.httpserver import whole_answer

GOAL_MS = 1500
# Part of the goal for which a request may wait at the router.
MAX_WAIT_S = 0.3 * GOAL_MS / 1000.0
# Two servers of one slot are full with three requests.
FULL = 3


class Pressure:
    """Own a router with two servers that hold requests until told to end.

    :param cluster: fixture ``cluster``
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.held = collections.deque()
        self.arrived = []
        self.tasks = []
        self.daemon = None

    async def open(self):
        """Start the router, and fill the servers."""
        cluster = self.cluster
        kinds = (
            ("urgent", "non_idempotent", 0),
            ("look", "idempotent", 2),
            ("stream", "streaming", 1),
        )
        routes = [
            route(
                name,
                kind,
                priority=priority,
                goalMs=GOAL_MS,
                maxAttempts=1,
            )
            for name, kind, priority in kinds
        ]
        cluster.store.put("op", "config", configuration(2, routes=routes))
        for server in cluster.servers:
            server.default = self._respond
            entry = server.entry("apps", slots=1)
            cluster.store.put("servers", server.id, entry)
        self.daemon = await cluster.add_router(rules=["pressure"])
        await cluster.until(
            lambda: self.daemon.directory.configuration.version == 2
        )
        for _ in range(FULL):
            self.call("/look/1")
        await cluster.until(lambda: len(self.held) == FULL)
        self.arrived.clear()
        # Requests of a service with long work do not queue at its servers.
        self.gate.services_by_name["apps"].demand.work_s = 10.0

    async def _respond(self, request):
        self.arrived.append(request.line.split()[1])
        self.held.append(asyncio.get_running_loop().create_future())
        if await self.held[-1]:
            fields = [f"{HEADER_NAMES.not_executed}: 1"]
            return whole_answer(request, b"", "503 Full", fields)
        return whole_answer(request)

    @property
    def gate(self):
        """Return the gate of the router."""
        return self.daemon.dispatcher.gate

    def waiting(self):
        """Return the number of waiting requests."""
        service = self.gate.services_by_name.get("apps")
        return len(service.queue) if service else 0

    def call(self, path):
        """Send a request; returns the task of its response."""
        task = asyncio.ensure_future(self.cluster.call(self.daemon, path))
        self.tasks.append(task)
        return task

    async def call_and_wait(self, path):
        """Send a request that waits at the router."""
        count = self.waiting()
        task = self.call(path)
        await self.cluster.until(lambda: self.waiting() == count + 1)
        return task

    def end_one(self):
        """Let a server respond to the request that it has had longest."""
        self.held.popleft().set_result(False)

    def refuse_newest(self):
        """Let a server refuse the request that it got last."""
        self.held.pop().set_result(True)

    async def close(self):
        """Let the servers respond to all requests."""
        for task in self.tasks:
            task.cancel()
        for each in self.held:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def pressure(cluster):
    made = Pressure(cluster)
    await made.open()
    yield made
    await made.close()


def is_refusal(response):
    """Return whether a response says that the request has not run."""
    status, headers, body = response
    return (
        status == 503
        and float(headers["Retry-After"]) > 0.0
        and b'"ran": "no"' in body
    )


def removed_request():
    """Return a request for a service that is not configured."""
    request = DirectRequest(None, 100.0)
    request.service = Service("removed", 360, 0.0, False)
    return request


class TestFullService:
    """Guard against places that go to the wrong request, or to none."""

    async def test_freed_place_goes_to_the_more_urgent(self, pressure):
        await pressure.call_and_wait("/look/1")
        urgent = await pressure.call_and_wait("/urgent/1")
        pressure.end_one()
        await pressure.cluster.until(lambda: pressure.arrived)
        assert pressure.arrived == ["/urgent/1"]
        while pressure.held:
            pressure.end_one()
        assert (await urgent)[0] == 200
        assert pressure.gate.services_by_name["apps"].reserved == 0

    # A request without a place was held until its deadline.
    async def test_wait_is_bounded(self, pressure):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await (await pressure.call_and_wait("/urgent/1"))
        assert is_refusal(response)
        assert loop.time() - began_s < MAX_WAIT_S + 0.2
        assert not pressure.arrived

    # A request would wait as often as servers refuse it.
    async def test_no_request_waits_twice(self, pressure):
        await pressure.call_and_wait("/urgent/1")
        newest = await pressure.call_and_wait("/urgent/2")
        pressure.end_one()
        await pressure.cluster.until(lambda: pressure.arrived)
        assert pressure.arrived == ["/urgent/2"]
        # The other one gets the place that the refusal leaves.
        pressure.refuse_newest()
        async with asyncio.timeout(MAX_WAIT_S / 2):
            assert is_refusal(await newest)
        await pressure.cluster.until(lambda: len(pressure.arrived) == 2)
        assert pressure.arrived == ["/urgent/2", "/urgent/1"]

    async def test_metrics(self, pressure):
        await (await pressure.call_and_wait("/urgent/1"))
        body, _ = pressure.daemon.metrics.render([])
        text = body.decode()
        for name in ("refused", "waited"):
            labels = '{priority="0",service="apps"}'
            assert f"boragetrail_admission_{name}_total{labels} 1" in text
        assert 'admission_queue_length{service="apps"} 0' in text


class TestEndOfWait:
    """Guard against requests that run after their callers have gone."""

    # One that must not be repeated goes on without its caller once it runs.
    @pytest.mark.parametrize("path", ["/urgent/1", "/look/1", "/stream/1"])
    async def test_caller_leaves(self, pressure, path):
        task = await pressure.call_and_wait(path)
        task.cancel()
        async with asyncio.timeout(MAX_WAIT_S / 2):
            await pressure.cluster.until(lambda: not pressure.waiting())
        while pressure.held:
            pressure.end_one()
        await asyncio.sleep(0.05)
        assert not pressure.arrived
        assert pressure.gate.services_by_name["apps"].reserved == 0

    async def test_router_stops(self, pressure):
        task = await pressure.call_and_wait("/urgent/1")
        pressure.daemon.shutdown.begin(8.0)
        pressure.daemon.frontend.end_requests()
        assert is_refusal(await task)
        assert pressure.waiting() == 0
        assert not pressure.arrived


class TestWaitingQueue:
    """Guard against a queue without bounds, or in the wrong order."""

    def _fill(self, queue, key, count, size=0):
        self.woken = []
        for number in range(count):
            queue.try_add(
                WaitingRequest(
                    key, 1.0, size, lambda has, n=number: self.woken.append(n)
                )
            )

    def test_count_is_bounded(self):
        queue = WaitingQueue()
        self._fill(queue, 1, queue.MAX_REQUESTS + 5)
        assert len(queue) == queue.MAX_REQUESTS

    def test_memory_is_bounded(self):
        queue = WaitingQueue()
        self._fill(queue, 1, 10, queue.MAX_BYTES // 4)
        assert len(queue) == 4

    def test_more_urgent_request_replaces_the_oldest(self):
        queue = WaitingQueue()
        self._fill(queue, 1, queue.MAX_REQUESTS)
        assert queue.try_add(WaitingRequest(0, 1.0, 0, print))
        assert self.woken == [0]
        assert queue.first().key == 0


class TestChangedConfiguration:
    """Guard against state of routes and services that are gone."""

    async def test_removed_routes_and_services(self, pressure):
        await pressure.call_and_wait("/urgent/1")
        gate = pressure.gate
        gate.offer(removed_request(), RequestProgress([], []), print)
        demand = gate.services_by_name["apps"].demand
        demand.goal_s_by_route["removed"] = 0.01
        demand.work_s_by_route["removed"] = 0.01
        gate.check()
        # The shortest goal was still that of a route without requests.
        assert demand.goal_s() == GOAL_MS / 1000.0
        assert "removed" not in demand.work_s_by_route
        assert set(gate.services_by_name) == {"apps"}
        # Its request that waits needs the state of the service.
        pressure.daemon.directory.configuration.services_by_name.clear()
        gate.check()
        assert len(gate.services_by_name["apps"].queue) == 1


class TestFeature:
    """Guard against a gate where nothing calls for it."""

    async def test_router_without_rules(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.dispatcher.gate is None
        assert b"admission" not in daemon.metrics.render([])[0]

    async def test_pressure_rule(self, cluster):
        daemon = await cluster.add_router(rules=["pressure"])
        assert Feature.PRIORITY_ADMISSION in daemon.parts.features
        assert (await cluster.call(daemon, "/status/1"))[0] == 200
        assert daemon.dump()["admission"]["apps"]["share"] == 1.0
        # The work of a request that found the service idle was not counted.
        demand = daemon.dispatcher.gate.services_by_name["apps"].demand
        assert demand.work_s > 0.0
