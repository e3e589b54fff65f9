"""Tests of bytes of other processes that are not what was agreed on."""

import random

import cbor2
import pytest

from boragetrail.direct.discovery import decode_parts, encode_parts
from boragetrail.direct.mirror import Mirror
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure
from boragetrail.direct.relay import decode_changes, encode_changes
from boragetrail.platform.store import _change_set
from boragetrail.policy.prefix import PrefixCacheIndex
from standins.clock import ManualClock

ROWS = ChangeSet([Row("a", 3, b"1"), Row("b", 4, None)], 4, False)
MUTATIONS = 3000


def mutate(data, chance):
    """Return the bytes with one to three of them changed."""
    data = bytearray(data)
    for _ in range(chance.randint(1, 3)):
        data[chance.randrange(len(data))] = chance.randrange(256)
    return bytes(data)


class TestRowsOfRouters:
    """Rows that another router gives."""

    def test_rows_are_read_as_they_were_written(self):
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
            {},
            None,
        ],
    )
    def test_rows_of_another_shape_are_refused_whole(self, value):
        assert isinstance(decode_changes(cbor2.dumps(value)), SourceFailure)

    def test_mutations_are_refused_or_can_be_taken_over(self):
        chance = random.Random(3)
        for _ in range(MUTATIONS):
            result = decode_changes(mutate(encode_changes(ROWS), chance))
            if not isinstance(result, SourceFailure):
                Mirror().apply(result)


class TestPartsOfRouters:
    """Cached parts that another router gives."""

    def test_mutations_are_refused_or_can_be_taken_over(self):
        chance = random.Random(3)
        parts = PrefixCacheIndex(ManualClock(1.0))
        parts.add_holder("deck", "i-1")
        parts.add_holder("brand", "i-2")
        data = encode_parts(parts)
        for _ in range(MUTATIONS):
            for part, server_ids in decode_parts(mutate(data, chance)):
                for server_id in server_ids:
                    parts.add_holder(part, server_id)

    def test_ids_of_another_kind_are_refused(self):
        for value in ([["deck", [7]]], [[7, ["i-1"]]], [["deck", 7]], 7):
            assert decode_parts(cbor2.dumps(value)) == []


class TestRowsOfTheStore:
    """Answers of the store with fields of another kind."""

    @pytest.mark.parametrize(
        "value",
        [
            {"rows": [5], "ver": 4},
            {"rows": [{"key": "a", "ver": "x"}], "ver": 4},
            {"rows": [{"key": "a", "ver": 1, "data": 7}], "ver": 4},
            {"rows": [{"key": "a", "ver": 1, "data": "abc"}], "ver": 4},
            {"rows": [{"ver": 1}], "ver": 4},
            {"rows": None, "ver": 4},
            {"rows": []},
            [],
            None,
        ],
    )
    def test_are_a_failure_of_the_call(self, value):
        assert isinstance(_change_set(value, True), SourceFailure)
