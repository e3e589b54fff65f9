"""Tests of which routers ask the store, and of what the others know of it."""

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
    """A fleet in which each router knows all others.

    :param links_mbps: speed of each router's link
    """

    def __init__(self, links_mbps):
        self.clock = ManualClock(100.0)
        self.links_mbps = links_mbps
        self.tables = []
        for own_address, link_mbps in enumerate(links_mbps):
            table = PeerTable(self.clock, random.Random(own_address))
            table.own_address = (f"10.0.0.{own_address}", 7000)
            table.link_mbps = link_mbps
            self.tables.append(table)
        self.tell(range(len(links_mbps)))

    def tell(self, numbers, sequence=1, **fields):
        """Let some routers tell all others of themselves."""
        for own_address, table in enumerate(self.tables):
            for other in numbers:
                if other != own_address:
                    told = digest(
                        sequence=sequence,
                        link_mbps=self.links_mbps[other],
                        **fields,
                    )
                    table.apply_digest(told, f"10.0.0.{other}")

    def with_role(self, role):
        """Return the numbers of the routers that have a role."""
        roles = [reader_role(table) for table in self.tables]
        return [n for n, each in enumerate(roles) if each is role]


class TestReaderRole:
    """Some routers ask the store for all."""

    @pytest.mark.parametrize("link_mbps", [SLOW_MBPS, FAST_MBPS])
    @pytest.mark.parametrize("count", [18, 68])
    def test_few_routers_read_whatever_their_links(self, count, link_mbps):
        """With slow links only, none once read the configuration."""
        routers = Routers([link_mbps] * count)
        assert len(routers.with_role(ReaderRole.READER)) == READER_COUNT
        others = routers.with_role(ReaderRole.FOLLOWER)
        assert len(others) == count - READER_COUNT

    def test_fast_links_read_first(self):
        routers = Routers([SLOW_MBPS] * 30 + [FAST_MBPS] * 4)
        assert min(routers.with_role(ReaderRole.READER)) >= 30

    def test_small_fleets_all_ask(self):
        routers = Routers([FAST_MBPS] * SMALL_FLEET_SIZE)
        assert not routers.with_role(ReaderRole.FOLLOWER)

    def test_others_take_over_from_readers_that_are_gone(self):
        routers = Routers([FAST_MBPS] * 30)
        gone = routers.with_role(ReaderRole.READER)
        routers.clock.now_s += PRESENCE_TIMEOUT_S + 1.0
        left = [n for n in range(30) if n not in gone]
        routers.tell(left, sequence=2)
        reading = routers.with_role(ReaderRole.READER)
        assert len(set(reading) & set(left)) == READER_COUNT

    def test_others_take_over_from_readers_that_are_turned_away(self):
        routers = Routers([FAST_MBPS] * 30)
        away = routers.with_role(ReaderRole.READER)
        routers.tell(away, sequence=2, turned_away=True)
        assert len(routers.with_role(ReaderRole.STANDBY)) == READER_COUNT
        # Those that are turned away ask on, and so notice their return.
        assert routers.with_role(ReaderRole.READER) == away

    def test_outage_for_all_leaves_two_first_readers(self):
        routers = Routers([FAST_MBPS] * 30)
        routers.tell(range(30), sequence=2, turned_away=True)
        assert len(routers.with_role(ReaderRole.READER)) == READER_COUNT
        others = routers.with_role(ReaderRole.STANDBY)
        assert len(others) == 30 - READER_COUNT

    def test_router_that_knows_no_other_reads(self):
        routers = Routers([SLOW_MBPS])
        assert routers.with_role(ReaderRole.READER) == [0]


class TestStoreHearing:
    """Outages as a router sees them that does not ask itself."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.liveness = StoreLiveness(self.clock)

    def test_outage_of_this_router_alone(self):
        self.clock.now_s += 5.0
        assert self.liveness.record_peer_report(0.1, 60.0) == 0
        assert not self.liveness.is_down()
        assert self.liveness.record_response(uninterrupted=False) == 0

    def test_first_to_hear_a_store_that_returned(self):
        self.clock.now_s += 5.0
        assert self.liveness.record_response(uninterrupted=False) == 5.0
        assert self.liveness.uptime_s() == 0

    def test_outage_that_another_router_tells_of(self):
        # Its hearing the store now says nothing of the time before.
        self.clock.now_s += 5.0
        assert self.liveness.record_peer_report(0.1, 0.3) == pytest.approx(4.9)
        assert self.liveness.uptime_s() == pytest.approx(0.3)

    def test_older_news_change_nothing(self):
        self.clock.now_s += 1.0
        self.liveness.record_response(uninterrupted=True)
        assert self.liveness.record_peer_report(0.5, 60.0) == 0
        assert self.liveness.age_s() == 0

    def test_short_silence_is_no_outage(self):
        for _ in range(5):
            self.clock.now_s += 0.9 * self.liveness.MIN_OUTAGE_S
            assert self.liveness.record_response(uninterrupted=False) == 0
        assert self.liveness.uptime_s() == pytest.approx(9.0)

    def test_long_wait_for_changes_is_no_outage(self):
        self.clock.now_s += 10.0
        assert self.liveness.record_response(uninterrupted=True) == 0
        assert self.liveness.uptime_s() == pytest.approx(10.0)
