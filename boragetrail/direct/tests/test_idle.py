"""Tests of callers' idle connections."""

import asyncio

from boragetrail.direct.idletracker import IdleTracker
from boragetrail.direct.model import Limits
from boragetrail.direct.tests.conftest import configuration, connect
from standins.clock import ManualClock

LIMITS = Limits(4096, 100000, 3.0, 15.0)


class TestIdleTracker:
    """Limits before the first request and between requests."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.idle_tracker = IdleTracker(self.clock)

    def expired_after(self, seconds, connections, busy=()):
        """Advance the clock; return the connections that have expired."""
        self.clock.now_s += seconds
        return self.idle_tracker.expired(connections, set(busy), LIMITS)

    def test_connection_without_a_request(self):
        assert not self.expired_after(0.0, ["a"])
        assert not self.expired_after(3.9, ["a"])
        assert self.expired_after(0.2, ["a"]) == ["a"]

    def test_connection_between_requests(self):
        self.idle_tracker.mark_used("a")
        assert not self.expired_after(0.0, ["a"])
        assert not self.expired_after(15.9, ["a"])
        assert self.expired_after(0.2, ["a"]) == ["a"]

    def test_time_of_a_request_does_not_count(self):
        self.idle_tracker.mark_used("a")
        for _ in range(40):
            assert not self.expired_after(1.0, ["a"], busy=["a"])
        assert not self.expired_after(1.0, ["a"])

    def test_request_between_two_checks_resets_the_time(self):
        for _ in range(10):
            self.idle_tracker.mark_used("a")
            assert not self.expired_after(10.0, ["a"])

    def test_closed_connections_are_forgotten(self):
        self.idle_tracker.mark_used("a")
        self.expired_after(0.0, ["a", "b"])
        self.expired_after(1.0, [])
        assert not self.idle_tracker.idle_since_by_connection
        assert not self.idle_tracker.used_connections


class TestRouter:
    """The router closes expired connections."""

    async def test_incomplete_request_head_expires(self, cluster):
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
