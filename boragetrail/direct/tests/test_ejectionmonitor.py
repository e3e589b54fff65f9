"""Tests of the evidence that one router keeps about failing servers."""

import math

import pytest

from boragetrail.direct.counts import run_key
from boragetrail.direct.ejection.outcomes import (
    WINDOW_S,
    AttemptResult,
    OutcomeReport,
)
from boragetrail.direct.recordmessages import check_lists
from boragetrail.direct.tests.ejectionfleet import EjectionFleet
from boragetrail.direct.tests.fleetsimulation import SERVICE
from boragetrail.policy.ejection import Ejection

OTHER_ROUTER = 7


class MonitorFixture:
    """Give a monitor of one router of a fleet, and one of its servers."""

    def __init__(self):
        self.fleet = EjectionFleet(1, routers=2)
        self.fleet.run(0.5)
        self.clock = self.fleet.clock
        router = self.fleet.routers[0]
        self.monitor = router.monitor
        self.state = router.fleet.ready_servers(SERVICE.name)[0]
        self.key = run_key(self.state.record)

    def eject(self):
        """Begin an ejection now."""
        evidence = self.monitor._evidence(self.state)
        self.monitor._eject(self.state, evidence, self.clock())

    def record(self, result, count=1):
        """Record results of requests that may be repeated."""
        for _ in range(count):
            self.monitor.record(self.state.record, result, True)

    def report(self, failed_s, made_s):
        """Apply a report of another router without counts."""
        self.monitor.apply(
            OutcomeReport(
                OTHER_ROUTER,
                self.key,
                (0, 0),
                (0, 0),
                0,
                0,
                -math.inf,
                failed_s,
                made_s,
            )
        )


@pytest.fixture
def fixture():
    """Return a :class:`MonitorFixture`."""
    return MonitorFixture()


class TestTrials:
    """Guard against trials that count for more than their ejection."""

    def test_repeated_report_keeps_successes(self, fixture):
        # Guards against one failure that ends the row of successes again with
        # each report, since its age varies with the time on the network.
        fixture.eject()
        failed_s = fixture.clock() + 1.0
        fixture.clock.now_s += 1.1
        fixture.report(failed_s, fixture.clock())
        fixture.record(AttemptResult.SUCCESS, 3)
        fixture.clock.now_s += 0.1
        fixture.report(failed_s + 0.004, fixture.clock())
        assert fixture.monitor.own_by_server[fixture.key].successes == 3

    def test_new_failure_ends_successes(self, fixture):
        fixture.eject()
        fixture.record(AttemptResult.SUCCESS, 3)
        fixture.clock.now_s += 1.0
        fixture.report(fixture.clock(), fixture.clock())
        assert fixture.monitor.own_by_server[fixture.key].successes == 0

    def test_failed_trials_do_not_count_after_the_end(self, fixture):
        # Guards against a server that is ejected again by one new failure and
        # the trials that failed before it was readmitted.
        fixture.eject()
        fixture.clock.now_s += 0.1
        fixture.record(AttemptResult.ERROR, 5)
        fixture.clock.now_s += 0.5
        fixture.record(AttemptResult.SUCCESS, Ejection.MIN_SUCCESSES)
        assert not fixture.monitor.ejections_by_server
        fixture.clock.now_s += 0.5
        fixture.record(AttemptResult.ERROR)
        evidence = fixture.monitor._evidence(fixture.state)
        assert evidence.failures_by_kind == (0, 1)

    def test_successes_are_reported_after_the_end(self, fixture):
        # Guards against routers that hear of no success and keep a server out.
        fixture.eject()
        fixture.record(AttemptResult.SUCCESS, Ejection.MIN_SUCCESSES)
        assert not fixture.monitor.ejections_by_server
        (report,) = fixture.monitor.snapshot(includes_peers=False)
        assert report.successes == Ejection.MIN_SUCCESSES


class TestEvidence:
    """Guard against looks at servers that have not failed."""

    def test_it_ages(self, fixture):
        assert not fixture.monitor.has_evidence()
        fixture.record(AttemptResult.ERROR)
        assert fixture.monitor.has_evidence()
        fixture.clock.now_s += WINDOW_S
        assert not fixture.monitor.has_evidence()


class TestReportedCounts:
    """Guard against counts that no router can have."""

    @pytest.mark.parametrize("count, is_valid", [(1024, True), (1025, False)])
    def test_limit(self, count, is_valid):
        # The probability of failures is a sum with one term for each failure.
        report = [1, 2, [count, 0, 0, 0, count, 0], 0, 0, 0]
        if is_valid:
            check_lists({"outcomes": [report]})
            return
        with pytest.raises(ValueError):
            check_lists({"outcomes": [report]})
