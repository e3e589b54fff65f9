"""Tests of the selection among cold, crowded and full servers."""

import random

import pytest

from boragetrail.direct.failures import RETURN_SPREAD_S, no_server_failure
from boragetrail.direct.interfaces import ChangeSet, Table
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.tests.fleetsimulation import (
    ROUTE,
    SERVICE,
    Router,
    server_row,
)
from boragetrail.reasons import Executed, Reason
from standins.clock import ManualClock

COLD_MS = 3000
PROMPT = [("deck", 6000), ("own", 500)]
# A cold server takes 24.5 requests a second of all routers; one router alone
# may use three quarters.
QUOTA = 18
CROWD = 120
# Load of a full server of 64 slots.
FULL = 80


class Selection:
    """Own a router with three servers, some of them cold.

    :param cold: numbers of the cold servers
    """

    def __init__(self, cold=(1, 2)):
        self.clock = ManualClock(100.0)
        self.router = Router(0, self.clock, random.Random(1), 3)
        rows = [
            server_row(number, 10 + number, born=2, coldLeftMs=COLD_MS)
            for number in cold
        ]
        changes = ChangeSet(rows, 12, False)
        self.router.fleet.directory.apply(Table.SERVERS, changes)
        self.progress = RequestProgress(PROMPT, [])

    def state(self, number):
        """Return the state of a server."""
        ready = self.router.fleet.ready_servers("chat")
        return next(s for s in ready if s.record.id == f"i-{number}")

    def choose(self):
        """Return the id of the server that gets a request, or ``None``."""
        request = DirectRequest(None, self.clock())
        request.route, request.service = ROUTE, SERVICE
        self.progress = RequestProgress(PROMPT, [])
        state = self.router.selector.choose(request, self.progress)
        if state is None:
            self.failure = no_server_failure(
                request,
                self.progress,
                self.router.fleet,
                self.router.selector.least_loaded.random,
            )
            return None
        PendingWork(state, 0)
        return state.record.id


@pytest.fixture
def selection():
    return Selection()


@pytest.fixture
def warm_selection():
    return Selection(cold=())


class TestFullServers:
    """A request that no engine has a place for is refused at once."""

    # All requests went to the one engine that was left, 117 at 64 places.
    def test_all_are_full(self, warm_selection):
        selection = warm_selection
        for number in range(3):
            for _ in range(FULL):
                PendingWork(selection.state(number), 0)
        assert selection.choose() is None
        failure = selection.failure
        assert failure.reason is Reason.OVERLOADED
        assert failure.ran is Executed.NO
        assert 0.3 <= failure.retry_after_s <= 0.3 + RETURN_SPREAD_S

    def test_one_has_room(self, warm_selection):
        selection = warm_selection
        for number in range(3):
            for _ in range(FULL - (number == 1)):
                PendingWork(selection.state(number), 0)
        assert selection.choose() is not None

    def test_all_are_avoided(self, warm_selection):
        selection = warm_selection
        for number in range(3):
            state = selection.state(number)
            for _ in range(FULL):
                PendingWork(state, 0)
            selection.router.fleet.record_unreachable(state, 0.0)
        assert selection.choose() is not None


class TestCrowdedWarmServer:
    """Requests without quota at cold servers do not crowd the warm one."""

    # A router without quota sent to a server with 74 requests, mean 18.
    def test_refused_with_the_time_until_a_cold_server_takes_it(
        self, selection
    ):
        for _ in range(CROWD):
            PendingWork(selection.state(0), 0)
        chosen = [selection.choose() for _ in range(2 * QUOTA)]
        assert sorted(chosen) == QUOTA * ["i-1"] + QUOTA * ["i-2"]
        selection.clock.now_s += 0.4
        assert selection.choose() is None
        failure = selection.failure
        assert failure.reason is Reason.OVERLOADED
        assert failure.ran is Executed.NO
        assert 0.6 <= failure.retry_after_s <= 0.6 + RETURN_SPREAD_S + 1e-6
        selection.clock.now_s += 0.61
        assert selection.choose() in ("i-1", "i-2")

    def test_warm_server_below_the_bound_takes_it(self, selection):
        chosen = [selection.choose() for _ in range(4)]
        assert "i-0" in chosen

    # An ended server that was still listed as warm came before cold ones.
    def test_cold_servers_are_preferred_to_an_unreachable_one(self, selection):
        warm = selection.state(0)
        selection.router.fleet.record_unreachable(warm, selection.clock())
        assert selection.choose() in ("i-1", "i-2")
