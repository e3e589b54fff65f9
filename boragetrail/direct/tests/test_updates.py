"""Tests of updates, relayed shards and the builder of messages."""

import random

from boragetrail.direct.counts import server_key
from boragetrail.direct.datagrams import (
    Update,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.directory import Directory
from boragetrail.direct.knowledge.epochs import RowPosition
from boragetrail.direct.interfaces import ChangeSet, Row, Table
from boragetrail.direct.knowledge import ServerKnowledge
from boragetrail.direct.messagebuilder import MessageBuilder
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.recordgossip import RecordGossip
from boragetrail.direct.relayedshards import RelayedShard
from boragetrail.direct.reports import ReportTable
from boragetrail.direct.tests.test_peers import digest, work
from boragetrail.policy.prefix import PrefixCacheIndex
from boragetrail.policy.quarantine import PromptQuarantine
from standins.clock import ManualClock

HOST = "10.0.0.1"
PORT = 7000
INCARNATION = "00000000000000c3"
# Largest UDP payload that fits into an Ethernet frame.
MAX_PAYLOAD_BYTES = 1472


def make_record_gossip(peers):
    """Return the exchange of crash records with peers."""
    quarantine = PromptQuarantine(
        peers.clock, peers.random, lambda held, released: None
    )
    knowledge = ServerKnowledge(peers)
    return RecordGossip(quarantine, knowledge, peers, peers.clock)


def update(**fields):
    """Return an update; ``fields`` replace its default values.

    The sender is the router that sends :func:`digest`.
    """
    data = {
        "incarnation": "00000000000000a1",
        "sequence": 2,
        "gossip_port": PORT,
        "versions_by_table": {},
        "store": {},
        "shard_index": 0,
        "shard_count": 1,
        "work": [],
        "relayed": [],
        "reports": [],
        "placements": [],
        **fields,
    }
    return Update(**data)


class TestUpdates:
    """An update holds all work, so a lost datagram has no lasting effect."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, random.Random(1))

    def requests(self, *ids):
        """Return the numbers of other routers' requests at some servers.

        :param ids: ids of the servers
        """
        return [self.table.load(key).requests for key in ids]

    def test_update_replaces_work_of_a_digest(self):
        self.table.apply_digest(digest(work=work(s=3, t=2)), HOST)
        assert self.table.apply_update(update(work=work(s=1, u=4)), HOST)
        assert self.requests("s", "t", "u") == [1, 0, 4]

    def test_update_after_lost_ones_is_complete(self):
        self.table.apply_digest(digest(work=work(s=3)), HOST)
        # Three datagrams with other work are lost.
        self.table.apply_update(update(sequence=6, work=work(t=1)), HOST)
        assert self.requests("s", "t") == [0, 1]

    def test_late_update_is_ignored(self):
        self.table.apply_digest(digest(sequence=5, work=work(s=3)), HOST)
        late = update(sequence=4, work=work(s=9))
        assert self.table.apply_update(late, HOST)
        assert self.requests("s") == [3]

    def test_update_of_an_unknown_run(self):
        self.table.apply_digest(digest(), HOST)
        other = update(incarnation="00000000000000b2", work=work(s=9))
        assert not self.table.apply_update(other, HOST)
        assert self.requests("s") == [0]

    def test_update_reports_newer_rows(self):
        self.table.apply_digest(digest(versions_by_table={"servers": 4}), HOST)
        self.clock.now_s += self.table.MAX_DIGEST_AGE_S
        self.table.apply_update(update(versions_by_table={"servers": 6}), HOST)
        self.clock.now_s += 0.1
        assert len(self.table.peers_ahead("servers", RowPosition(5))) == 1

    def test_unknown_sender_is_asked_for_a_digest(self):
        received = []
        socket = PeerSocket(
            self.table,
            lambda: digest(),
            lambda: None,
            received.append,
            make_record_gossip(self.table),
        )
        socket.transport = Transport()
        sent = update(placements=[["deck", "s"]])
        socket.datagram_received(encode_datagram(sent), (HOST, PORT))
        assert received == [sent]
        (request,) = socket.transport.sent
        assert decode_datagram(request).wants_reply


class TestRelayedShards:
    """Shards of a router's work that another router relays."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, random.Random(1))
        self.table.own_address = ("10.0.0.9", PORT)
        self.table.apply_digest(digest(work=work(s=3)), HOST)

    def shard(self, **fields):
        """Return a newer shard of the router that sent the digest."""
        data = {
            "host": HOST,
            "port": PORT,
            "incarnation": "00000000000000a1",
            "sequence": 5,
            "age_ms": 100,
            "shard_index": 0,
            "shard_count": 1,
            "work": work(s=1),
            **fields,
        }
        return RelayedShard(**data)

    def test_newer_shard_replaces_an_older_one(self):
        assert self.table.apply_relayed(self.shard())
        assert self.table.load("s").requests == 1

    def test_duplicate_or_late_shard_has_no_effect(self):
        self.table.apply_relayed(self.shard())
        self.table.apply_relayed(self.shard(sequence=4, work=work(s=9)))
        self.table.apply_relayed(self.shard(work=work(s=9)))
        assert self.table.load("s").requests == 1

    def test_shard_of_an_earlier_run_is_ignored(self):
        self.table.apply_digest(
            digest(incarnation="00000000000000b2", work=work(s=2)), HOST
        )
        self.table.apply_relayed(self.shard(sequence=50))
        assert self.table.load("s").requests == 2

    def test_own_relayed_shard_is_not_counted_twice(self):
        self.table.apply_relayed(self.shard(host="10.0.0.9"))
        assert self.table.load("s").requests == 3

    def test_shard_of_an_unknown_router_is_ignored(self):
        assert not self.table.apply_relayed(self.shard(host="10.0.0.3"))
        assert self.table.load("s").requests == 3

    def test_age_of_a_relayed_shard_counts(self):
        self.table.apply_relayed(self.shard(age_ms=1400))
        self.clock.now_s += 0.2
        assert self.table.load("s").requests == 0


class TestScaling:
    """Scaling of sums and relaying of shards in large fleets."""

    def test_silent_routers_are_assumed_to_have_average_work(self):
        clock = ManualClock(100.0)
        table = PeerTable(clock, random.Random(1))
        for number in range(10):
            table.apply_digest(digest(work=work(s=2)), f"10.0.0.{number}")
        clock.now_s += 2.0
        for number in range(5):
            message = digest(sequence=2, work=work(s=2))
            table.apply_digest(message, f"10.0.0.{number}")
        assert table.load("s").requests == 20
        clock.now_s += 2.5
        assert table.load("s").requests == 0

    def test_shards_are_relayed_only_in_large_fleets(self):
        for count, relayed_count in (
            (4, 0),
            (40, MessageBuilder.MAX_RELAYED_SHARDS),
        ):
            fleet = BusyFleet(ManualClock(100.0))
            for number in range(count):
                fleet.peers.apply_digest(
                    digest(work=work(s=2)), f"10.0.0.{number}"
                )
            message_builder = MessageBuilder(
                fleet, {}, INCARNATION, PORT, PORT, 100.0
            )
            assert len(message_builder.take_update().relayed) == relayed_count


class Transport:
    """Records the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Record a datagram."""
        self.sent.append(data)


class BusyFleet:
    """Replaces the fleet of a router that has work at all servers."""

    SERVER_COUNT = 30

    def __init__(self, clock):
        self.clock = clock
        self.directory = Directory(None, clock)
        self.reports = ReportTable(clock)
        self.peers = PeerTable(clock, random.Random(1))
        self.placements = PlacementQueue(PrefixCacheIndex(clock), clock)
        self.ids = [f"i-{number:010x}" for number in range(self.SERVER_COUNT)]
        self.requests_by_id = dict.fromkeys(self.ids, 2)

    def work(self):
        """Return the counts of the router's work."""
        return work(**self.requests_by_id)

    def outcomes(self):
        """Return one response of each server."""
        return [(server_key(key), 0, 1) for key in self.ids]


class TestMemory:
    """An idle router receives many digests and never reads the sums.

    If expired counts were removed just on reads, memory use would grow.
    """

    def test_expired_counts_are_removed(self):
        clock = ManualClock(100.0)
        table = PeerTable(clock, random.Random(1))
        for number in range(1, 1000):
            clock.now_s += 0.1
            message = digest(sequence=number, work=work(s=1))
            table.apply_digest(message, HOST)
        assert len(table.work.recent) < 10
        assert len(table.work.sums.expiry_heap) < 20
        assert len(table.outcomes.expiry_heap) < 50


class TestMessageBuilder:
    """Updates and digests of a router whose work and placements change."""

    def setup_method(self):
        self.clock = ManualClock(100.0)
        self.fleet = BusyFleet(self.clock)
        self.message_builder = MessageBuilder(
            self.fleet, {}, INCARNATION, PORT, PORT, 100.0
        )
        self.first, self.second = self.fleet.ids[:2]

    def test_no_update_without_changes(self):
        assert self.message_builder.take_update().work == self.fleet.work()
        assert self.message_builder.take_update() is None

    def test_update_after_a_change_of_work(self):
        self.message_builder.take_update()
        self.clock.now_s += 0.3
        self.fleet.reports.record(self.second, 6)
        self.fleet.requests_by_id[self.second] += 1
        sent = self.message_builder.take_update()
        assert sent.work == self.fleet.work()
        assert sent.reports == [(server_key(self.second), 6, 0)]

    def test_update_after_a_newer_row(self):
        self.message_builder.take_update()
        rows = ChangeSet([Row("x", 7, None)], 7, False)
        self.fleet.directory.mirrors[Table.SERVERS].apply(rows)
        sent = self.message_builder.take_update()
        assert sent.versions_by_table[Table.SERVERS.value] == 7

    def test_new_placements_are_sent_and_forwarded(self):
        self.message_builder.take_update()
        placements = self.fleet.placements
        placements.add_prompt([("deck", 9), ("own", 1)], self.first)
        placements.receive("brand", self.second)
        placements.receive("known to all", self.second, forward=False)
        expected = [["deck", self.first], ["brand", self.second]]
        for _ in range(PlacementQueue.SEND_COUNT):
            assert self.message_builder.take_update().placements == expected
        assert self.message_builder.take_update() is None
        # A known placement is not forwarded when it is received again.
        placements.receive("brand", self.second)
        assert self.message_builder.take_update() is None

    def test_digest_size_is_bounded_with_many_servers(self):
        """With 1,400 servers, successive digests together hold all work."""
        server_ids = [f"i-{number:08x}" for number in range(1400)]
        self.fleet.ids = server_ids
        self.fleet.requests_by_id = dict.fromkeys(server_ids[:400], 1)
        for key in server_ids:
            self.fleet.reports.record(key, 3)
        received = set()
        for _ in range(4):
            message = self.message_builder.digest(False, False)
            data = encode_datagram(message)
            assert len(data) <= 2 * MAX_PAYLOAD_BYTES
            received.update(decode_datagram(data).work)
        assert received == set(self.fleet.work())

    def test_all_shards_of_a_router_are_added_up(self):
        ids = [f"i-{number:08x}" for number in range(250)]
        self.fleet.requests_by_id = dict.fromkeys(ids, 1)
        table = PeerTable(self.clock, random.Random(1))
        for number in range(3):
            message = self.message_builder.digest(False, False)
            message.sequence = number + 1
            table.apply_digest(message, HOST)
        assert all(table.load(key).requests == 1 for key in ids)
        # Work at fewer servers is split into fewer shards.
        self.fleet.requests_by_id = dict.fromkeys(ids[:9], 1)
        last = update(
            incarnation=INCARNATION, sequence=9, work=self.fleet.work()
        )
        assert table.apply_update(last, HOST)
        counts = [table.load(key).requests for key in ids]
        assert counts == [1] * 9 + [0] * 241
