"""Tests of the small datagrams between digests."""

import random

from boragetrail.direct.counts import server_key
from boragetrail.direct.datagrams import (
    Update,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.directory import Directory
from boragetrail.direct.interfaces import ChangeSet, Row, Table
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.relayedshards import RelayedShard
from boragetrail.direct.reports import ReportTable
from boragetrail.direct.tests.test_peers import digest, work
from boragetrail.policy.prefix import PrefixCacheIndex
from standins.clock import ManualClock

HOST = "10.0.0.1"
PORT = 7000
RUN = "00000000000000c3"
# What a packet of the network holds.
PACKET_BYTES = 1472


def news(**fields):
    """Return news of the router that :func:`digest` speaks of."""
    data = {
        "incarnation": "00000000000000a1",
        "sequence": 2,
        "gossip_port": PORT,
        "versions_by_table": {},
        "store": {},
        "part": 0,
        "parts": 1,
        "work": [],
        "relayed": [],
        "reports": [],
        "placements": [],
        **fields,
    }
    return Update(**data)


class TestNews:
    """Work is told whole, so that a lost datagram does no harm."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, random.Random(1))

    def requests(self, *ids):
        """Return the requests that others have at servers."""
        return [self.table.load(key).requests for key in ids]

    def test_news_replace_what_a_digest_told(self):
        self.table.apply_digest(digest(work=work(s=3, t=2)), HOST)
        assert self.table.apply_update(news(work=work(s=1, u=4)), HOST)
        assert self.requests("s", "t", "u") == [1, 0, 4]

    def test_news_after_lost_ones_are_right(self):
        self.table.apply_digest(digest(work=work(s=3)), HOST)
        # Three datagrams with other work are lost.
        self.table.apply_update(news(sequence=6, work=work(t=1)), HOST)
        assert self.requests("s", "t") == [0, 1]

    def test_late_news_is_older_than_a_digest(self):
        self.table.apply_digest(digest(sequence=5, work=work(s=3)), HOST)
        late = news(sequence=4, work=work(s=9))
        assert self.table.apply_update(late, HOST)
        assert self.requests("s") == [3]

    def test_news_of_a_run_that_is_not_known(self):
        self.table.apply_digest(digest(), HOST)
        other = news(incarnation="00000000000000b2", work=work(s=9))
        assert not self.table.apply_update(other, HOST)
        assert self.requests("s") == [0]

    def test_news_tells_of_newer_rows(self):
        self.table.apply_digest(digest(versions_by_table={"servers": 4}), HOST)
        self.clock.now_s += self.table.MAX_DIGEST_AGE_S
        self.table.apply_update(news(versions_by_table={"servers": 6}), HOST)
        self.clock.now_s += 0.1
        assert len(self.table.peers_ahead("servers", 5)) == 1

    def test_unknown_sender_is_greeted_and_its_placements_count(self):
        told = []
        socket = PeerSocket(
            self.table, lambda: digest(), lambda: None, told.append
        )
        socket.transport = Transport()
        sent = news(placements=[["deck", "s"]])
        socket.datagram_received(encode_datagram(sent), (HOST, PORT))
        assert told == [sent]
        (greeting,) = socket.transport.sent
        assert decode_datagram(greeting).wants_reply


class TestRelayedRows:
    """Work of a router that a third one tells of."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, random.Random(1))
        self.table.own_address = ("10.0.0.9", PORT)
        self.table.apply_digest(digest(work=work(s=3)), HOST)

    def row(self, **fields):
        """Return a newer row of the known router."""
        data = {
            "host": HOST,
            "port": PORT,
            "incarnation": "00000000000000a1",
            "sequence": 5,
            "age_ms": 100,
            "part": 0,
            "parts": 1,
            "work": work(s=1),
            **fields,
        }
        return RelayedShard(**data)

    def test_newer_row_replaces_an_older_one(self):
        assert self.table.apply_relayed(self.row())
        assert self.table.load("s").requests == 1

    def test_row_that_comes_twice_or_late_changes_nothing(self):
        self.table.apply_relayed(self.row())
        self.table.apply_relayed(self.row(sequence=4, work=work(s=9)))
        self.table.apply_relayed(self.row(work=work(s=9)))
        assert self.table.load("s").requests == 1

    def test_row_of_an_earlier_run_counts_no_more(self):
        self.table.apply_digest(
            digest(incarnation="00000000000000b2", work=work(s=2)), HOST
        )
        self.table.apply_relayed(self.row(sequence=50))
        assert self.table.load("s").requests == 2

    def test_own_row_that_comes_back_is_not_counted_twice(self):
        self.table.apply_relayed(self.row(host="10.0.0.9"))
        assert self.table.load("s").requests == 3

    def test_unknown_router_is_to_be_greeted_first(self):
        assert not self.table.apply_relayed(self.row(host="10.0.0.3"))
        assert self.table.load("s").requests == 3

    def test_row_is_as_old_as_its_source_says(self):
        self.table.apply_relayed(self.row(age_ms=1400))
        self.clock.now_s += 0.2
        assert self.table.load("s").requests == 0


class TestUnheardRouters:
    """More routers than are heard in the time that work counts for."""

    def test_those_unheard_are_expected_to_work_as_the_others(self):
        clock = ManualClock(100.0)
        table = PeerTable(clock, random.Random(1))
        for number in range(10):
            table.apply_digest(digest(work=work(s=2)), f"10.0.0.{number}")
        clock.now_s += 2.0
        for number in range(5):
            told = digest(sequence=2, work=work(s=2))
            table.apply_digest(told, f"10.0.0.{number}")
        assert table.load("s").requests == 20
        clock.now_s += 2.5
        assert table.load("s").requests == 0

    def test_rows_are_passed_on_only_where_one_router_does_not_reach_all(self):
        for count, relays in ((4, 0), (40, MessageBuilder.RELAYED)):
            fleet = FleetAtWork(ManualClock(100.0))
            for number in range(count):
                fleet.peers.apply_digest(
                    digest(work=work(s=2)), f"10.0.0.{number}"
                )
            message_builder = MessageBuilder(fleet, {}, RUN, PORT, PORT, 100.0)
            assert len(message_builder.take_update().relayed) == relays


class Transport:
    """Keep the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Keep a datagram."""
        self.sent.append(data)

    def get_extra_info(self, name):
        """Return the own address."""
        return ("10.0.0.9", PORT)


class FleetAtWork:
    """Stand for a fleet with work at all of its servers."""

    SERVERS = 30

    def __init__(self, clock):
        self.clock = clock
        self.directory = Directory(None, clock)
        self.reports = ReportTable(clock)
        self.peers = PeerTable(clock, random.Random(1))
        self.placements = PlacementQueue(PrefixCacheIndex(clock), clock)
        self.ids = [f"i-{number:010x}" for number in range(self.SERVERS)]
        self.requests_by_id = dict.fromkeys(self.ids, 2)

    def work(self):
        """Return the entries of a digest."""
        return work(**self.requests_by_id)

    def outcomes(self):
        """Return an answer of each server."""
        return [(server_key(key), 0, 1) for key in self.ids]


class TestMemory:
    """A router that serves nobody for long hears others all the while."""

    def test_what_was_told_long_ago_is_not_kept(self):
        clock = ManualClock(100.0)
        table = PeerTable(clock, random.Random(1))
        for number in range(1, 1000):
            clock.now_s += 0.1
            told = digest(sequence=number, work=work(s=1))
            table.apply_digest(told, HOST)
        assert len(table.work.recent) < 10
        assert len(table.work.sums.expiry_heap) < 20
        assert len(table.outcomes.expiry_heap) < 50


class TestTeller:
    """Many routers, each with new parts all the time."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.fleet = FleetAtWork(self.clock)
        self.message_builder = MessageBuilder(
            self.fleet, {}, RUN, PORT, PORT, 100.0
        )
        self.first, self.second = self.fleet.ids[:2]

    def test_nothing_is_told_twice(self):
        assert self.message_builder.take_update().work == self.fleet.work()
        assert self.message_builder.take_update() is None

    def test_work_is_told_once_it_changes(self):
        self.message_builder.take_update()
        self.clock.now_s += 0.3
        self.fleet.reports.record(self.second, 6)
        self.fleet.requests_by_id[self.second] += 1
        sent = self.message_builder.take_update()
        assert sent.work == self.fleet.work()
        assert sent.reports == [(server_key(self.second), 6, 0)]

    def test_newer_rows_of_the_platform_are_told_at_once(self):
        self.message_builder.take_update()
        rows = ChangeSet([Row("x", 7, None)], 7, False)
        self.fleet.directory.mirrors[Table.SERVERS].apply(rows)
        sent = self.message_builder.take_update()
        assert sent.versions_by_table[Table.SERVERS.value] == 7

    def test_new_places_of_parts_are_told_and_passed_on(self):
        self.message_builder.take_update()
        placements = self.fleet.placements
        placements.add_prompt([("deck", 9), ("own", 1)], self.first)
        placements.receive("brand", self.second)
        placements.receive("known to all", self.second, forward=False)
        wanted = [["deck", self.first], ["brand", self.second]]
        for _ in range(PlacementQueue.SEND_COUNT):
            assert self.message_builder.take_update().placements == wanted
        assert self.message_builder.take_update() is None
        # What is known is not told on when it is heard again.
        placements.receive("brand", self.second)
        assert self.message_builder.take_update() is None

    def test_datagrams_fit_few_packets_however_many_servers_there_are(self):
        """One digest names some of 1,400 servers, rows in turn name all."""
        many = [f"i-{number:08x}" for number in range(1400)]
        self.fleet.ids = many
        self.fleet.requests_by_id = dict.fromkeys(many[:400], 1)
        for key in many:
            self.fleet.reports.record(key, 3)
        told = set()
        for _ in range(4):
            digest_told = self.message_builder.digest(False, False)
            data = encode_datagram(digest_told)
            assert len(data) <= 2 * PACKET_BYTES
            told.update(decode_datagram(data).work)
        assert told == set(self.fleet.work())

    def test_all_rows_of_a_router_count_together(self):
        ids = [f"i-{number:08x}" for number in range(250)]
        self.fleet.requests_by_id = dict.fromkeys(ids, 1)
        table = PeerTable(self.clock, random.Random(1))
        for number in range(3):
            told = self.message_builder.digest(False, False)
            told.sequence = number + 1
            table.apply_digest(told, HOST)
        assert all(table.load(key).requests == 1 for key in ids)
        # Fewer servers are split in another way.
        self.fleet.requests_by_id = dict.fromkeys(ids[:9], 1)
        last = news(incarnation=RUN, sequence=9, work=self.fleet.work())
        assert table.apply_update(last, HOST)
        counts = [table.load(key).requests for key in ids]
        assert counts == [1] * 9 + [0] * 241
