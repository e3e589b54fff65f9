"""Tests of the small datagrams between digests."""

import random

from boragetrail.direct.digest import News, decode_datagram, encode_datagram
from boragetrail.direct.directory import Directory
from boragetrail.direct.loads import LoadChanges
from boragetrail.direct.news import Teller
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.reports import ReportTable
from boragetrail.direct.tests.test_peers import digest
from standins.clock import ManualClock

HOST = "10.0.0.1"
PORT = 7000


def news(**fields):
    """Return news of the router that :func:`digest` speaks of."""
    data = {
        "incarnation": "run-1",
        "sequence": 2,
        "gossip_port": PORT,
        "versions_by_table": {},
        "loads_by_id": {},
        "reports_by_id": {},
        "placements": [],
        **fields,
    }
    return News(**data)


class TestNews:
    """What has changed is told without what has not."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, random.Random(1))

    def test_news_changes_what_a_digest_told(self):
        self.table.heard(
            digest(loads_by_id={"s": [3, 0, 0, 0], "t": [2, 0, 0, 0]}), HOST
        )
        changed = {"s": [1, 0, 0, 0], "u": [4, 0, 0, 0]}
        assert self.table.heard_news(news(loads_by_id=changed), HOST)
        requests = [self.table.load(key).requests for key in "stu"]
        assert requests == [1, 2, 4]

    def test_work_that_ended_counts_no_more(self):
        self.table.heard(digest(loads_by_id={"s": [3, 0, 0, 0]}), HOST)
        changes = LoadChanges()
        changes.take({"s": (3, 0, 0, 0)})
        ended = {key: list(each) for key, each in changes.take({}).items()}
        self.table.heard_news(news(loads_by_id=ended), HOST)
        assert self.table.load("s").requests == 0

    def test_late_news_is_older_than_a_digest(self):
        told = digest(sequence=5, loads_by_id={"s": [3, 0, 0, 0]})
        self.table.heard(told, HOST)
        late = news(sequence=4, loads_by_id={"s": [9, 0, 0, 0]})
        assert self.table.heard_news(late, HOST)
        assert self.table.load("s").requests == 3

    def test_news_of_a_run_that_is_not_known(self):
        self.table.heard(digest(), HOST)
        other = news(incarnation="run-2", loads_by_id={"s": [9, 0, 0, 0]})
        assert not self.table.heard_news(other, HOST)
        assert self.table.load("s").requests == 0

    def test_news_tells_of_newer_rows(self):
        self.table.heard(digest(versions_by_table={"servers": 4}), HOST)
        self.clock.now_s += self.table.TRUSTED_AGE_S
        self.table.heard_news(news(versions_by_table={"servers": 6}), HOST)
        self.clock.now_s += 0.1
        assert len(self.table.ahead("servers", 5)) == 1

    def test_datagram_is_read_as_it_was_written(self):
        sent = news(
            loads_by_id={"s": [1, 2, 0, 3]}, placements=[["deck", "s"]]
        )
        assert decode_datagram(encode_datagram(sent)) == sent

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
        self.ids = [f"i-{number:010x}" for number in range(self.SERVERS)]
        self.requests_by_id = dict.fromkeys(self.ids, 2)
        for key in self.ids:
            self.reports.note_told(key, 5, 0.1)

    def loads_by_id(self):
        """Return the counts of a digest."""
        return {key: (n, 0, 0, 1) for key, n in self.requests_by_id.items()}


class Placements:
    """Stand for a router's choices."""

    def __init__(self):
        self.placed = []

    def take_news(self):
        """Return whether there is something to tell."""
        return bool(self.placed)

    def recent_placements(self):
        """Return what was placed."""
        return self.placed


class TestTeller:
    """Many routers, each with new parts all the time."""

    def setup_method(self):
        self.fleet = FleetAtWork(ManualClock(100.0))
        self.choice = Placements()
        self.teller = Teller(
            self.fleet, self.choice, "run-1", PORT, PORT, 100.0
        )

    def test_nothing_is_told_without_a_new_part(self):
        assert self.teller.take_news() is None

    def test_work_that_others_know_is_not_told_again(self):
        first, second = self.fleet.ids[:2]
        self.choice.placed = [("deck", first)]
        assert len(self.teller.take_news().loads_by_id) == 30
        self.fleet.requests_by_id[second] += 1
        self.fleet.clock.now_s += 0.3
        self.fleet.reports.note(second, 6)
        sent = self.teller.take_news()
        assert list(sent.loads_by_id) == [second]
        assert list(sent.reports_by_id) == [second]

    def test_new_part_takes_a_quarter_of_a_digest(self):
        self.choice.placed = [("0123456789ab", self.fleet.ids[0])]
        self.teller.take_news()
        self.fleet.requests_by_id[self.fleet.ids[0]] += 1
        sent = self.teller.take_news()
        whole = self.teller.digest(5.0, False)
        assert 4 * len(encode_datagram(sent)) <= len(encode_datagram(whole))
