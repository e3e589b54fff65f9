"""Tests of callers that stay idle."""

import asyncio

from boragetrail.direct.idletracker import IdleTracker
from boragetrail.direct.model import Limits
from boragetrail.direct.tests.conftest import configuration, connect
from standins.clock import ManualClock

LIMITS = Limits(4096, 100000, 3.0, 15.0)


class TestIdleGuard:
    """Times before the first request and between two."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.idle_tracker = IdleTracker(self.clock)

    def after(self, seconds, connections, busy=()):
        """Return what has expired some time later."""
        self.clock.now_s += seconds
        return self.idle_tracker.expired(connections, set(busy), LIMITS)

    def test_connection_without_a_request(self):
        assert not self.after(0.0, ["a"])
        assert not self.after(3.9, ["a"])
        assert self.after(0.2, ["a"]) == ["a"]

    def test_connection_between_requests(self):
        self.idle_tracker.request_seen("a")
        assert not self.after(0.0, ["a"])
        assert not self.after(15.9, ["a"])
        assert self.after(0.2, ["a"]) == ["a"]

    def test_long_request_is_no_idle_time(self):
        self.idle_tracker.request_seen("a")
        for _ in range(40):
            assert not self.after(1.0, ["a"], busy=["a"])
        assert not self.after(1.0, ["a"])

    def test_quick_request_between_two_looks_begins_anew(self):
        for _ in range(10):
            self.idle_tracker.request_seen("a")
            assert not self.after(10.0, ["a"])

    def test_closed_connections_are_forgotten(self):
        self.idle_tracker.request_seen("a")
        self.after(0.0, ["a", "b"])
        self.after(1.0, [])
        assert not self.idle_tracker.since_by_connection
        assert not self.idle_tracker.used


class TestRouter:
    """The router closes what has expired."""

    async def test_head_that_does_not_end(self, cluster):
        limits = configuration()["limits"]
        limits["headerTimeoutMs"] = 50
        cluster.store.put("op", "config", configuration(limits=limits))
        daemon = await cluster.add_router()
        daemon.frontend.idle_tracker.SLACK_S = 0.0
        reader, writer = await connect(daemon)
        writer.write(b"POST /status/1 HTTP/1.1\r\nHost: ")
        async with asyncio.timeout(5.0):
            assert await reader.read() == b""
        writer.close()
