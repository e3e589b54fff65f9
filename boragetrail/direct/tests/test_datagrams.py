"""Tests of the codec of datagrams and of rejecting invalid ones."""

import dataclasses
import random

import cbor2
import pytest

from boragetrail.direct.datagrams import (
    MAX_DATAGRAM_BYTES,
    InvalidDatagram,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.directory import Directory
from boragetrail.direct.fleet import Fleet
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.relayedshards import RelayedShard, pack_shards
from boragetrail.direct.tests.test_updates import (
    HOST,
    Transport,
    make_record_gossip,
    update,
)
from boragetrail.direct.tests.test_peers import digest
from standins.clock import ManualClock

SHARD = RelayedShard(
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
FULL_UPDATE = update(
    versions_by_table={"servers": 4},
    work=[(7, 2, 100)],
    relayed=[SHARD],
    reports=[(8, 3, 120)],
    placements=[["deck", "s"]],
)


def with_field(message, name, value):
    """Return an encoded message in which one field has another value."""
    values = cbor2.loads(encode_datagram(message))
    values[list(message.__slots__).index(name)] = value
    return cbor2.dumps(values)


class Router:
    """Holds the parts of a router that handle received datagrams."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.peers = PeerTable(self.clock, random.Random(1))
        self.peers.own_address = ("10.0.0.9", 7000)
        directory = Directory(None, self.clock)
        gossip = make_record_gossip(self.peers)
        self.fleet = Fleet(
            directory, self.peers, "z", self.clock, gossip.knowledge
        )
        self.socket = PeerSocket(
            self.peers,
            lambda: digest(),
            lambda: None,
            self.fleet.apply_load_reports,
            gossip,
        )
        self.socket.transport = Transport()

    def receive(self, data):
        """Handle the bytes of a datagram as if the network delivered them."""
        self.socket.datagram_received(data, (HOST, 7000))

    def state(self):
        """Return all state that datagrams change."""
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
    """Decoding an encoded datagram returns an equal one."""

    @pytest.mark.parametrize("message", [FULL_DIGEST, FULL_UPDATE])
    def test_all_fields(self, message):
        assert decode_datagram(encode_datagram(message)) == message


class TestInvalidDatagrams:
    """Bytes that are not a valid datagram of a router."""

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
            ("store_unreachable", None),
            ("uptime_s", -1.0),
            ("uptime_s", float("inf")),
            ("link_mbps", float("nan")),
            ("link_mbps", "fast"),
            ("peers", [["a.example", 7000]]),
            ("peers", [["10.0.0.1", "7000"]]),
            ("leaving", 1),
        ],
    )
    def test_digest_with_an_invalid_field(self, name, value):
        result = decode_datagram(with_field(FULL_DIGEST, name, value))
        assert isinstance(result, InvalidDatagram)
        assert result.detail.startswith(name)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("placements", [["deck"]]),
            ("placements", [["deck", 5]]),
            ("placements", [["deck", "s"]] * 1000),
            ("relayed", [b""]),
            ("relayed", pack_shards([SHARD])[:-1]),
            ("relayed", pack_shards([SHARD])[:20]),
            ("relayed", pack_shards([SHARD] * 40)),
            (
                "relayed",
                pack_shards([dataclasses.replace(SHARD, shard_index=1)]),
            ),
        ],
    )
    def test_update_with_an_invalid_field(self, name, value):
        result = decode_datagram(with_field(FULL_UPDATE, name, value))
        assert isinstance(result, InvalidDatagram)
        assert result.detail.startswith(name)

    def test_data_that_is_not_a_list(self):
        tagged = (
            cbor2.dumps(cbor2.CBORTag(number, value))
            for number in (0, 1, 2, 4, 5, 30, 35, 36, 37, 258, 260, 261)
            for value in ("(", [1, 0], b"\xff", {}, [], None, 10**40)
        )
        for data in (b"", b"\xff\x00", b"\x80", b"\x9f" * 3000, *tagged):
            assert isinstance(decode_datagram(data), InvalidDatagram)

    def test_oversized_datagram_is_rejected_and_counted(self):
        router = Router()
        router.receive(b"\x00" * (MAX_DATAGRAM_BYTES + 1))
        assert router.socket.datagrams_refused == 1


class TestMutations:
    """Datagrams with random byte errors, as from a faulty router."""

    COUNT = 4000

    def mutate(self, data, generator):
        """Return the bytes with some changed, removed or duplicated."""
        data = bytearray(data)
        for _ in range(generator.randint(1, 4)):
            position = generator.randrange(len(data))
            action = generator.randrange(3)
            if action == 0:
                data[position] = generator.randrange(256)
            elif action == 1:
                del data[position : position + generator.randint(1, 6)]
            else:
                data[position:position] = data[position : position + 6]
            if not data:
                return b""
        return bytes(data)

    @pytest.mark.parametrize("message", [FULL_DIGEST, FULL_UPDATE])
    def test_rejected_datagrams_change_nothing(self, message):
        generator = random.Random(5)
        rejected = 0
        for _ in range(self.COUNT):
            router = Router()
            first = dataclasses.replace(FULL_DIGEST, sequence=1)
            router.receive(encode_datagram(first))
            state_before = repr(router.state())
            later = dataclasses.replace(message, sequence=9)
            router.receive(self.mutate(encode_datagram(later), generator))
            if router.socket.datagrams_refused:
                rejected += 1
                assert repr(router.state()) == state_before
            for server in ("s", "t"):
                load = router.peers.load(server)
                assert 0 <= load.requests <= 2 * 0xFFFF
        assert rejected > self.COUNT / 4
