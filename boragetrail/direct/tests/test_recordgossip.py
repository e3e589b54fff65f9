"""Tests of the records of crashes that routers exchange."""

import random

import cbor2
import pytest

from boragetrail.direct.knowledge.leaving import Leaving
from boragetrail.direct.knowledge.streams import (
    StreamOrigin,
    StreamQuery,
    StreamUnknown,
)
from boragetrail.direct.recordmessages import (
    RecordMessage,
    decode_records,
    encode_records,
)
from boragetrail.direct.datagrams import (
    Digest,
    InvalidDatagram,
    Update,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.tests.test_peers import digest
from boragetrail.direct.tests.test_updates import Transport, make_record_gossip
from boragetrail.policy.crashrecords import CrashReport, Survival, Trial
from boragetrail.policy.serverlimits import LimitReport
from standins.clock import ManualClock

PORT = 7000
NOW_S = 500.0
RECORDS = [
    Survival("base", NOW_S - 0.25),
    CrashReport(7, ("base", "odd"), True, NOW_S - 0.5),
    Trial("odd", NOW_S - 2.0),
    Leaving(9),
    LimitReport(7, 2.5, NOW_S - 1.0),
    LimitReport(8, None, NOW_S - 1.0),
    StreamOrigin(3, "v1", NOW_S - 0.5),
    StreamOrigin(4, "", NOW_S),
    StreamQuery(5),
    StreamUnknown(6),
]


class Router:
    """Hold the parts of a router that exchange records of crashes."""

    def __init__(self, clock, peer_count=3):
        self.clock = clock
        self.peers = PeerTable(clock, random.Random(1))
        for number in range(peer_count):
            self.peers.add_reported((f"10.0.0.{number + 1}", PORT))
        self.gossip = make_record_gossip(self.peers)
        self.quarantine = self.gossip.quarantine
        self.socket = PeerSocket(
            self.peers,
            lambda: digest(),
            lambda: None,
            lambda message: None,
            self.gossip,
        )
        self.socket.transport = Transport()

    def crash(self, server, *parts):
        """Observe a crash."""
        report = CrashReport(server, parts, True, self.clock())
        self.quarantine.add_crash(report)
        self.gossip.add(report)

    def convict(self):
        """Observe two crashes with the part ``odd``."""
        for server in (1, 2):
            self.crash(server, "base", "odd")
            self.clock.now_s += 0.5

    def receive(self, messages):
        """Handle messages as if the network delivered them."""
        for message in messages:
            data = encode_datagram(message)
            self.socket.datagram_received(data, ("10.0.0.1", PORT))

    def convicted(self):
        """Return the convicted parts in order."""
        return sorted(self.quarantine.held_until_s_by_part)


@pytest.fixture
def routers():
    """Three routers with one clock."""
    clock = ManualClock(NOW_S)
    return [Router(clock) for _ in range(3)]


class TestCodec:
    """Records of crashes survive the way over the network."""

    def test_all_records(self):
        message = encode_records(RECORDS, NOW_S)
        decoded = decode_datagram(encode_datagram(message))
        assert decode_records(decoded, NOW_S) == RECORDS

    # Guards against routers of an earlier release that refuse the message.
    def test_crash_after_an_event_has_a_type_of_its_own(self):
        reports = [
            CrashReport(7, ("odd",), begun, NOW_S - 0.5, progressed=True)
            for begun in (True, False)
        ]
        message = encode_records(reports, NOW_S)
        assert "crash" not in message.lists_by_type
        decoded = decode_datagram(encode_datagram(message))
        assert decode_records(decoded, NOW_S) == reports

    def test_number_of_fields_is_that_of_no_other_message(self):
        kinds = (Digest, Update, RecordMessage)
        assert len({len(each.__slots__) for each in kinds}) == len(kinds)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("crash", [[1, ["odd"], True]]),
            ("crash", [[1, ["odd"], 1, 5]]),
            ("crash", [[-1, ["odd"], True, 5]]),
            ("crash", [[1, ["odd"] * 17, True, 5]]),
            ("crash", [[1, ["x" * 201], True, 5]]),
            ("crash", [[1, ["odd"], True, 5]] * 33),
            ("late crash", [[1, ["odd"], 5]]),
            ("late crash", [[1, ["odd"], True, -5]]),
            ("survival", [["odd", -1]]),
            ("survival", [["odd", 1.5]]),
            ("trial", [[5, 5]]),
            ("trial", {}),
            ("leaving", ["server"]),
            ("limit", [[1, -1, 5]]),
            ("limit", [[1, 2.5, 5]]),
            ("limit", [[1, 10**10, 5]]),
            ("limit", [[1, 5]]),
            ("stream", [[1, 5, 5]]),
            ("stream", [[1, "v" * 201, 5]]),
            ("stream", [[2**64, "v1", 5]]),
            ("query", ["request"]),
            ("unknown", [-1]),
        ],
    )
    def test_invalid_list(self, name, value):
        message = RecordMessage("records", {name: value})
        result = decode_datagram(encode_datagram(message))
        assert isinstance(result, InvalidDatagram)
        assert result.detail.startswith("lists_by_type")

    def test_other_kind(self):
        result = decode_datagram(encode_datagram(RecordMessage("other", {})))
        assert isinstance(result, InvalidDatagram)

    def test_unknown_type_is_ignored(self):
        message = encode_records(RECORDS, NOW_S)
        message.lists_by_type["later version"] = [[1, 2, 3]]
        decoded = decode_datagram(encode_datagram(message))
        assert decode_records(decoded, NOW_S) == RECORDS

    def test_random_byte_errors(self):
        generator = random.Random(3)
        data = encode_datagram(encode_records(RECORDS, NOW_S))
        for _ in range(3000):
            changed = bytearray(data)
            changed[generator.randrange(len(data))] = generator.randrange(256)
            router = Router(ManualClock(NOW_S))
            router.socket.datagram_received(changed, ("10.0.0.1", PORT))
            assert len(router.quarantine.reports_by_key) <= 1

    def test_router_of_an_earlier_version_rejects_it(self):
        values = cbor2.loads(encode_datagram(encode_records([], NOW_S)))
        earlier = (Digest, Update)
        assert all(len(values) != len(each.__slots__) for each in earlier)


class TestDelay:
    """Other routers hear of a crash without waiting for an interval."""

    def test_report_is_sent_at_once(self, routers):
        first, second, _ = routers
        report = CrashReport(1, ("odd",), True, first.clock())
        first.gossip.send_now(report)
        (data, *others) = first.socket.transport.sent
        second.socket.datagram_received(data, ("10.0.0.1", PORT))
        assert second.quarantine.active_reports() == [report]
        assert len(others) == 2
        assert len(first.gossip.take_messages()) == 1
        assert not first.gossip.take_messages()

    def test_report_is_sent_to_all_peers_of_a_large_fleet(self):
        router = Router(ManualClock(NOW_S), peer_count=60)
        router.gossip.send_now(RECORDS[1])
        assert len(router.socket.transport.sent) == 60


class TestExchange:
    """Routers combine what each of them observed."""

    def test_two_routers_observe_one_crash_each(self, routers):
        first, second, third = routers
        first.crash(1, "base", "odd")
        first.clock.now_s += 0.5
        second.crash(2, "base", "odd")
        for sender in (first, second):
            messages = sender.gossip.take_messages()
            for receiver in routers:
                if receiver is not sender:
                    receiver.receive(messages)
        assert [each.convicted() for each in routers] == [["odd"]] * 3

    def test_lost_datagrams(self, routers):
        first, second, _ = routers
        first.convict()
        first.gossip.take_messages()
        second.receive(first.gossip.take_messages())
        assert second.convicted() == ["odd"]

    def test_all_datagrams_of_the_first_seconds_are_lost(self, routers):
        first, second, _ = routers
        first.convict()
        while first.gossip.take_messages():
            first.clock.now_s += 0.1
        second.receive(first.gossip.snapshot())
        assert second.convicted() == ["odd"]

    def test_starting_router_is_told_at_once(self, routers):
        first, second, _ = routers
        first.convict()
        second.socket.request_digest(("10.0.0.1", PORT))
        (request,) = second.socket.transport.sent
        first.socket.datagram_received(request, ("10.0.0.2", PORT))
        for data in first.socket.transport.sent:
            second.socket.datagram_received(data, ("10.0.0.1", PORT))
        assert second.convicted() == ["odd"]

    def test_survival_reaches_the_others(self, routers):
        first, second, _ = routers
        first.convict()
        second.receive(first.gossip.take_messages())
        second.quarantine.survived(["base", "odd"])
        first.receive(second.gossip.take_messages())
        assert first.convicted() == second.convicted() == []

    def test_survival_that_a_router_missed_is_told_again(self, routers):
        first, second, third = routers
        first.convict()
        for each in (second, third):
            each.receive(first.gossip.take_messages())
        third.quarantine.survived(["base", "odd"])
        while third.gossip.take_messages():
            third.clock.now_s += 1.0
        third.receive(second.gossip.snapshot())
        second.receive(third.gossip.take_messages())
        assert second.convicted() == []

    def test_nothing_is_sent_without_crashes(self, routers):
        first = routers[0]
        first.quarantine.survived(["base", "odd"])
        assert not first.gossip.take_messages()
        assert not first.gossip.snapshot()

    @pytest.mark.parametrize(("peer_count", "forwards"), [(3, 0), (60, 1)])
    def test_forwarded_in_a_large_fleet(self, peer_count, forwards):
        router = Router(ManualClock(NOW_S), peer_count)
        router.receive([encode_records(RECORDS[1:2], NOW_S)])
        assert len(router.gossip.take_messages()) == forwards
        router.receive([encode_records(RECORDS[1:2], NOW_S)])
        router.gossip.take_messages()
        assert not router.gossip.take_messages()
