"""Tests of the history of software versions."""

import pytest

from boragetrail.policy.versionhistory import VersionHistory
from standins.clock import ManualClock

LIFE_S = VersionHistory.STREAM_LIFE_S


@pytest.fixture
def history():
    """The history of a router that has just started and read the store."""
    made = VersionHistory(ManualClock(500.0))
    made.load("chat", {})
    return made


class TestVersionHistory:
    """A stream of unknown origin has a version only if there was but one."""

    def test_one_version(self, history):
        assert history.only_version("chat", {"v1"}) == "v1"
        assert history.wait_s("chat", {"v1"}) == 0.0

    def test_two_versions(self, history):
        assert history.only_version("chat", {"v1", "v2"}) is None
        assert history.wait_s("chat", {"v1", "v2"}) == LIFE_S

    def test_version_that_has_left(self, history):
        history.record("chat", "v1")
        history.clock.now_s += LIFE_S - 1.0
        assert history.only_version("chat", {"v2"}) is None
        assert history.wait_s("chat", {"v2"}) == pytest.approx(1.0)
        history.clock.now_s += 1.0
        assert history.only_version("chat", {"v2"}) == "v2"

    def test_version_that_left_before_the_start(self, history):
        history.load("chat", {"v1": LIFE_S - 5.0, "v0": LIFE_S + 1.0})
        assert history.versions("chat", {"v2"}) == {"v1", "v2"}
        history.clock.now_s += 5.0
        assert history.only_version("chat", {"v2"}) == "v2"

    def test_history_that_was_not_read(self):
        history = VersionHistory(ManualClock(500.0))
        assert history.only_version("chat", {"v1"}) is None
        assert history.wait_s("chat", {"v1"}) == LIFE_S
        history.clock.now_s += LIFE_S
        assert history.only_version("chat", {"v1"}) == "v1"

    def test_no_server(self, history):
        assert history.only_version("chat", set()) is None

    def test_services_are_apart(self, history):
        history.record("chat", "v1")
        history.load("other", {})
        assert history.only_version("other", {"v2"}) == "v2"
