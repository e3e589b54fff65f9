"""Tests of datagrams as bytes: what is read, and what is refused whole."""

import dataclasses
import random

import cbor2
import pytest

from boragetrail.direct.datagrams import (
    MAX_DATAGRAM_BYTES,
    DatagramRefusal,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.directory import Directory
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.relayedshards import RelayedShard, pack_shards
from boragetrail.direct.tests.test_updates import HOST, Transport, news
from boragetrail.direct.tests.test_peers import digest
from standins.clock import ManualClock

ROW = RelayedShard(
    "10.0.0.7", 7000, "00000000000000a7", 3, 40, 0, 1, [(7, 2, 100)]
)
FULL_DIGEST = digest(
    versions_by_table={"servers": 4},
    work=[(7, 2, 100), (8, 1, 0)],
    outcomes=[(7, 1, 9)],
    reports=[(8, 3, 120)],
    store={"servers": [120, 2500]},
    peers=[["10.0.0.7", 7000]],
)
FULL_NEWS = news(
    versions_by_table={"servers": 4},
    work=[(7, 2, 100)],
    relayed=[ROW],
    reports=[(8, 3, 120)],
    placements=[["deck", "s"]],
)


def with_field(message, name, value):
    """Return the bytes of a message with one field of any kind."""
    values = cbor2.loads(encode_datagram(message))
    values[list(message.__slots__).index(name)] = value
    return cbor2.dumps(values)


class Router:
    """What one router knows, with its socket."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.peers = PeerTable(self.clock, random.Random(1))
        self.peers.own_address = ("10.0.0.9", 7000)
        directory = Directory(None, self.clock)
        self.fleet = Fleet(directory, self.peers, "z", self.clock)
        self.socket = PeerSocket(
            self.peers,
            lambda: digest(),
            lambda: None,
            self.fleet.apply_load_reports,
        )
        self.socket.transport = Transport()

    def gets(self, data):
        """Receive a datagram."""
        self.socket.datagram_received(data, (HOST, 7000))

    def state(self):
        """Return all that datagrams change."""
        peers = {
            address: [getattr(peer, name) for name in peer.__slots__]
            for address, peer in self.peers.peers_by_address.items()
        }
        return (
            peers,
            self.peers.work.shards_by_source,
            dict(self.peers.work.sums.sums_by_key),
            dict(self.peers.outcomes.sums_by_key),
            dict(self.fleet.reports.reports_by_key),
            dict(self.fleet.prefix_index.times_by_part),
        )


class TestRoundTrip:
    """Datagrams are read as they were written."""

    @pytest.mark.parametrize("message", [FULL_DIGEST, FULL_NEWS])
    def test_all_fields(self, message):
        assert decode_datagram(encode_datagram(message)) == message


class TestRefusals:
    """Bytes that are no datagram of a router."""

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("sequence", -1),
            ("sequence", 10**30),
            ("sequence", True),
            ("gossip_port", 0),
            ("gossip_port", 70000),
            ("incarnation", ""),
            ("incarnation", "of another kind"),
            ("incarnation", "00000000000000A1"),
            ("incarnation", "x" * 1000),
            ("versions_by_table", [1]),
            ("versions_by_table", {"servers": "4"}),
            ("work", b"123"),
            ("work", [[1, 2, 3]]),
            ("reports", b"\x01\x00\x00\x00\x01\x00\xff\xff\xff\xff"),
            ("store", {"servers": [1]}),
            ("store", {"servers": [-1, 0]}),
            ("store", {5: [1, 1]}),
            ("turned_away", None),
            ("up_s", -1.0),
            ("up_s", float("inf")),
            ("link_mbps", float("nan")),
            ("link_mbps", "fast"),
            ("peers", [["a.example", 7000]]),
            ("peers", [["10.0.0.1", "7000"]]),
            ("leaving", 1),
        ],
    )
    def test_digest_with_a_field_of_the_wrong_kind(self, name, value):
        refusal = decode_datagram(with_field(FULL_DIGEST, name, value))
        assert isinstance(refusal, DatagramRefusal)
        assert refusal.detail.startswith(name)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("placements", [["deck"]]),
            ("placements", [["deck", 5]]),
            ("placements", [["deck", "s"]] * 1000),
            ("relayed", [b""]),
            ("relayed", pack_shards([ROW])[:-1]),
            ("relayed", pack_shards([ROW])[:20]),
            ("relayed", pack_shards([ROW] * 40)),
            ("relayed", pack_shards([dataclasses.replace(ROW, part=1)])),
        ],
    )
    def test_news_with_a_field_of_the_wrong_kind(self, name, value):
        refusal = decode_datagram(with_field(FULL_NEWS, name, value))
        assert isinstance(refusal, DatagramRefusal)
        assert refusal.detail.startswith(name)

    def test_bytes_that_are_no_list(self):
        tagged = (
            cbor2.dumps(cbor2.CBORTag(number, value))
            for number in (0, 1, 2, 4, 5, 30, 35, 36, 37, 258, 260, 261)
            for value in ("(", [1, 0], b"\xff", {}, [], None, 10**40)
        )
        for data in (b"", b"\xff\x00", b"\x80", b"\x9f" * 3000, *tagged):
            assert isinstance(decode_datagram(data), DatagramRefusal)

    def test_too_many_bytes_are_refused_aloud(self):
        router = Router()
        router.gets(b"\x00" * (MAX_DATAGRAM_BYTES + 1))
        assert router.socket.datagrams_refused == 1


class TestMutations:
    """Datagrams with wrong bytes, as a faulty router may send them."""

    COUNT = 4000

    def mutate(self, data, chance):
        """Return the bytes with some changed, dropped or doubled."""
        data = bytearray(data)
        for _ in range(chance.randint(1, 4)):
            place = chance.randrange(len(data))
            action = chance.randrange(3)
            if action == 0:
                data[place] = chance.randrange(256)
            elif action == 1:
                del data[place : place + chance.randint(1, 6)]
            else:
                data[place:place] = data[place : place + 6]
            if not data:
                return b""
        return bytes(data)

    @pytest.mark.parametrize("message", [FULL_DIGEST, FULL_NEWS])
    def test_each_is_taken_over_or_changes_nothing(self, message):
        chance = random.Random(5)
        refused = 0
        for _ in range(self.COUNT):
            router = Router()
            first = dataclasses.replace(FULL_DIGEST, sequence=1)
            router.gets(encode_datagram(first))
            before = repr(router.state())
            later = dataclasses.replace(message, sequence=9)
            router.gets(self.mutate(encode_datagram(later), chance))
            if router.socket.datagrams_refused:
                refused += 1
                assert repr(router.state()) == before
            for server in ("s", "t"):
                load = router.peers.load(server)
                assert 0 <= load.requests <= 2 * 0xFFFF
        assert refused > self.COUNT / 4
