"""Tests of the features that settings switch on, and of server filters."""

import random

from boragetrail.direct.capacity import MemoryFilter
from boragetrail.direct.ejection import EjectionFilter
from boragetrail.direct.failures import no_server_failure
from boragetrail.direct.features import Feature
from boragetrail.direct.parts import UNEVEN_SERVER_FEATURES
from boragetrail.direct.progress import RequestProgress
from boragetrail.direct.request import DirectRequest
from boragetrail.direct.serverfilter import ServerFilter
from boragetrail.direct.tests.fleetsimulation import ROUTE, SERVICE, Router
from boragetrail.direct.tests.test_capacity import report_load
from boragetrail.errors import Refusal
from boragetrail.platform import features
from boragetrail.reasons import Executed, Reason
from standins.clock import ManualClock


class OnlyServer(ServerFilter):
    """Leave at most one server.

    :param server_id: id of that server
    """

    def __init__(self, server_id):
        self.server_id = server_id

    def select(self, request, progress, states, views_by_id):
        """Return the server, or refuse the request without it."""
        left = [each for each in states if each.record.id == self.server_id]
        if not left:
            progress.refusal = Refusal(
                Reason.OVERLOADED, "filtered", Executed.NO, 0.7
            )
        return left


class NoServer(ServerFilter):
    """Leave no server, and tell when one can be expected."""

    WAIT_S = 1.5

    def select(self, request, progress, states, views_by_id):
        """Return no server."""
        progress.room_wait_s = self.WAIT_S
        return []


class TestFeatures:
    """Guard against features that are on where nothing calls for them."""

    def test_rules_without_features(self):
        assert features(["base", "drain", "places"]) == frozenset()

    def test_unknown_rule(self):
        assert features(["from-the-future"]) == frozenset()

    def test_rollout_rule(self):
        assert features(["base", "rollout"]) == {Feature.ROLLOUTS}

    async def test_router_without_rules(self, cluster):
        daemon = await cluster.add_router()
        assert daemon.parts.features == set()
        assert daemon.selector.filters == []

    async def test_servers_that_report_their_speed(self, cluster):
        # Uneven servers would have been served without the parts for them,
        # since no rule tells that servers share their VMs.
        daemon = await cluster.add_router()
        server = cluster.servers[0]
        server.default = report_load("2,0,8,250")
        while not server.requests:
            await cluster.call(daemon, "/status/1")
        assert daemon.parts.features == UNEVEN_SERVER_FEATURES
        assert [type(each) for each in daemon.selector.filters] == [
            EjectionFilter,
            MemoryFilter,
        ]

    async def test_servers_that_report_their_load_only(self, cluster):
        daemon = await cluster.add_router()
        for server in cluster.servers:
            server.default = report_load("2,0,8")
        for number in range(4):
            await cluster.call(daemon, f"/status/{number}")
        assert not daemon.parts.features


class TestServerFilters:
    """Guard against requests that reach servers that a filter leaves out."""

    def _choose(self, *filters):
        self.router = Router(0, ManualClock(100.0), random.Random(1), 3)
        self.router.selector.filters = list(filters)
        request = DirectRequest(None, 100.0)
        request.route, request.service = ROUTE, SERVICE
        self.request = request
        self.progress = RequestProgress([], [])
        return self.router.selector.choose(request, self.progress)

    def test_filter_restricts_the_choice(self):
        chosen = [self._choose(OnlyServer("i-1")) for _ in range(20)]
        assert {state.record.id for state in chosen} == {"i-1"}

    def test_wait_of_a_filter_is_told(self):
        # Callers were told that the service has no server, and to come back
        # after the same time, whatever the filter knew.
        assert self._choose(NoServer()) is None
        failure = no_server_failure(
            self.request, self.progress, self.router.fleet, random.Random(1)
        )
        assert failure.reason is Reason.OVERLOADED
        assert failure.retry_after_s >= NoServer.WAIT_S

    def test_request_is_refused_if_no_server_is_left(self):
        assert self._choose(OnlyServer("i-1"), OnlyServer("i-2")) is None
        failure = no_server_failure(
            self.request, self.progress, self.router.fleet, random.Random(1)
        )
        assert failure.ran is Executed.NO
        assert failure.retry_after_s == 0.7
