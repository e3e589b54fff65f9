"""Tests of the roles of routers at the store and of detecting outages."""

import random

import pytest

from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.readers import (
    PRESENCE_TIMEOUT_S,
    READER_COUNT,
    SMALL_FLEET_SIZE,
    ReaderRole,
    reader_role,
)
from boragetrail.direct.tests.test_peers import digest
from standins.clock import ManualClock

SLOW_MBPS = 10.0
FAST_MBPS = 200.0


class Routers:
    """Holds the peer tables of a fleet in which each router knows all others.

    :param links_mbps: bandwidth of each router's link
    """

    def __init__(self, links_mbps):
        self.clock = ManualClock(100.0)
        self.links_mbps = links_mbps
        self.tables = []
        for number, link_mbps in enumerate(links_mbps):
            table = PeerTable(self.clock, random.Random(number))
            table.own_address = (f"10.0.0.{number}", 7000)
            table.link_mbps = link_mbps
            self.tables.append(table)
        self.send_digests(range(len(links_mbps)))

    def send_digests(self, numbers, sequence=1, **fields):
        """Let some routers send a digest to all others.

        :param numbers: indexes of the routers that send
        """
        for number, table in enumerate(self.tables):
            for other in numbers:
                if other != number:
                    message = digest(
                        sequence=sequence,
                        link_mbps=self.links_mbps[other],
                        **fields,
                    )
                    table.apply_digest(message, f"10.0.0.{other}")

    def with_role(self, role):
        """Return the indexes of the routers that have a role."""
        roles = [reader_role(table) for table in self.tables]
        return [n for n, each in enumerate(roles) if each is role]


class TestReaderRole:
    """Selection of a fixed number of readers from the known routers."""

    @pytest.mark.parametrize("link_mbps", [SLOW_MBPS, FAST_MBPS])
    @pytest.mark.parametrize("count", [18, 68])
    def test_number_of_readers_is_independent_of_links(self, count, link_mbps):
        """A fleet in which all links are slow must have readers as well.

        Otherwise no router would read the configuration.
        """
        routers = Routers([link_mbps] * count)
        assert len(routers.with_role(ReaderRole.READER)) == READER_COUNT
        followers = routers.with_role(ReaderRole.FOLLOWER)
        assert len(followers) == count - READER_COUNT

    def test_routers_with_fast_links_are_readers(self):
        routers = Routers([SLOW_MBPS] * 30 + [FAST_MBPS] * 4)
        assert min(routers.with_role(ReaderRole.READER)) >= 30

    def test_no_followers_in_a_small_fleet(self):
        routers = Routers([FAST_MBPS] * SMALL_FLEET_SIZE)
        assert not routers.with_role(ReaderRole.FOLLOWER)

    def test_readers_that_are_gone_are_replaced(self):
        routers = Routers([FAST_MBPS] * 30)
        gone = routers.with_role(ReaderRole.READER)
        routers.clock.now_s += PRESENCE_TIMEOUT_S + 1.0
        remaining = [n for n in range(30) if n not in gone]
        routers.send_digests(remaining, sequence=2)
        readers = routers.with_role(ReaderRole.READER)
        assert len(set(readers) & set(remaining)) == READER_COUNT

    def test_unresponsive_readers_get_standbys(self):
        routers = Routers([FAST_MBPS] * 30)
        refused_readers = routers.with_role(ReaderRole.READER)
        routers.send_digests(
            refused_readers, sequence=2, store_unreachable=True
        )
        assert len(routers.with_role(ReaderRole.STANDBY)) == READER_COUNT
        # The refused readers stay readers, so they notice when the store
        # responds again.
        assert routers.with_role(ReaderRole.READER) == refused_readers

    def test_full_outage_keeps_the_two_readers(self):
        routers = Routers([FAST_MBPS] * 30)
        routers.send_digests(range(30), sequence=2, store_unreachable=True)
        assert len(routers.with_role(ReaderRole.READER)) == READER_COUNT
        standbys = routers.with_role(ReaderRole.STANDBY)
        assert len(standbys) == 30 - READER_COUNT

    def test_single_router_is_a_reader(self):
        routers = Routers([SLOW_MBPS])
        assert routers.with_role(ReaderRole.READER) == [0]


class TestStoreLiveness:
    """Outages as seen by a router that may not poll the store itself."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.liveness = StoreLiveness(self.clock)

    def test_only_this_router_was_disconnected(self):
        self.clock.now_s += 5.0
        assert self.liveness.record_peer_report(0.1, 60.0) == 0
        assert not self.liveness.is_down()
        assert self.liveness.record_response(uninterrupted=False) == 0

    def test_first_response_after_an_outage(self):
        self.clock.now_s += 5.0
        assert self.liveness.record_response(uninterrupted=False) == 5.0
        assert self.liveness.uptime_s() == 0

    def test_outage_reported_by_another_router(self):
        # The other router has had responses for just 0.3 s, so its report
        # does not rule out an outage before that.
        self.clock.now_s += 5.0
        assert self.liveness.record_peer_report(0.1, 0.3) == pytest.approx(4.9)
        assert self.liveness.uptime_s() == pytest.approx(0.3)

    def test_older_report_is_ignored(self):
        self.clock.now_s += 1.0
        self.liveness.record_response(uninterrupted=True)
        assert self.liveness.record_peer_report(0.5, 60.0) == 0
        assert self.liveness.age_s() == 0

    def test_short_silence_is_not_an_outage(self):
        for _ in range(5):
            self.clock.now_s += 0.9 * self.liveness.MIN_OUTAGE_S
            assert self.liveness.record_response(uninterrupted=False) == 0
        assert self.liveness.uptime_s() == pytest.approx(9.0)

    def test_long_poll_is_not_an_outage(self):
        self.clock.now_s += 10.0
        assert self.liveness.record_response(uninterrupted=True) == 0
        assert self.liveness.uptime_s() == pytest.approx(10.0)
