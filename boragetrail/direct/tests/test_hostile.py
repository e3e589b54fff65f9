"""Tests of malformed data from other processes."""

import random

import cbor2
import pytest

from boragetrail.direct.discovery import decode_parts, encode_parts
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure
from boragetrail.direct.knowledge.epochs import RetainedRow
from boragetrail.direct.mirror import Mirror
from boragetrail.direct.relay import decode_changes, encode_changes
from boragetrail.platform.rows import decode_change_set
from boragetrail.policy.prefix import PrefixCacheIndex
from standins.clock import ManualClock

ROWS = ChangeSet(
    [Row("a", 3, b"1"), Row("b", 4, None)],
    4,
    False,
    epoch=2,
    retained=[RetainedRow("c", 9, b"2", -1)],
    retained_s=1.5,
)
MUTATION_COUNT = 3000


def mutate(data, generator):
    """Return a copy of the data with one to three bytes replaced."""
    data = bytearray(data)
    for _ in range(generator.randint(1, 3)):
        data[generator.randrange(len(data))] = generator.randrange(256)
    return bytes(data)


class TestRowsOfRouters:
    """Rows that a peer sends."""

    def test_encoded_rows_decode_to_the_same(self):
        assert decode_changes(encode_changes(ROWS)) == ROWS

    @pytest.mark.parametrize(
        "value",
        [
            [4, False, [["a", "3", b"1"]]],
            [4, False, [[7, 3, b"1"]]],
            [4, False, [["a", 3, "text"]]],
            [4, False, [["a", 3]]],
            ["4", False, []],
            [4, 0, []],
            [4, False, None],
            [4, False, [], -1, [], 0],
            [4, False, [], 1, [["a", 3, b"1"]], 0],
            [4, False, [], 1, [["a", 3, b"1", -2]], 0],
            [4, False, [], 1, [], "soon"],
            [4, False, [], 1],
            {},
            None,
        ],
    )
    def test_malformed_rows_are_rejected_together(self, value):
        assert isinstance(decode_changes(cbor2.dumps(value)), SourceFailure)

    def test_mutations_are_rejected_or_can_be_applied(self):
        generator = random.Random(3)
        for _ in range(MUTATION_COUNT):
            result = decode_changes(mutate(encode_changes(ROWS), generator))
            if not isinstance(result, SourceFailure):
                Mirror().apply(result)


class TestPartsOfRouters:
    """Cached prompt parts that a peer sends."""

    def test_mutations_are_rejected_or_can_be_applied(self):
        generator = random.Random(3)
        prefix_index = PrefixCacheIndex(ManualClock(1.0))
        prefix_index.add_holder("deck", "i-1")
        prefix_index.add_holder("brand", "i-2")
        data = encode_parts(prefix_index)
        for _ in range(MUTATION_COUNT):
            for part, server_ids in decode_parts(mutate(data, generator)):
                for server_id in server_ids:
                    prefix_index.add_holder(part, server_id)

    def test_ids_of_other_types_are_rejected(self):
        for value in ([["deck", [7]]], [[7, ["i-1"]]], [["deck", 7]], 7):
            assert decode_parts(cbor2.dumps(value)) == []


class TestRowsOfTheStore:
    """Responses of the store with missing fields or fields of wrong types."""

    @pytest.mark.parametrize(
        "value",
        [
            {"rows": None, "ver": 4},
            {"rows": []},
            [],
            None,
        ],
    )
    def test_malformed_response_is_a_failure(self, value):
        assert isinstance(decode_change_set(value, True), SourceFailure)

    @pytest.mark.parametrize(
        "row",
        [
            5,
            {"key": "a", "ver": "x"},
            {"key": "a", "ver": 1, "data": 7},
            {"key": "a", "ver": 1, "data": "abc"},
            {"ver": 1},
        ],
    )
    def test_malformed_row_is_never_applied(self, row):
        mirror = Mirror()
        mirror.apply(ChangeSet([Row("a", 3, b"1")], 3, True))
        changes = decode_change_set({"rows": [row], "ver": 4}, False)
        assert mirror.apply(changes) == []
        assert mirror.rows_by_key["a"].data == b"1"
