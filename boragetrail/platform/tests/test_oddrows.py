"""Tests of odd rows that another writer left in the store."""

import json

import pytest

from boragetrail.direct.directory import Directory
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure, Table
from boragetrail.platform import PlatformRowDecoder
from boragetrail.platform.names import STREAMS_TABLE, VERSIONS_TABLE
from boragetrail.platform.rows import decode_change_set
from standins.clock import ManualClock

NESTED = b"[" * 200_000
LARGE_NUMBER = b"9" * 400
ENTRY = {
    "service": "apps",
    "address": "127.0.0.1:80",
    "zone": "z1",
    "state": "ready",
}
ODD_DATA = [
    NESTED,
    LARGE_NUMBER,
    b"1e999",
    b'{"listed": [], "gone": {"v1": 1e999}}',
    b'{"listed": [], "gone": {"v1": ' + LARGE_NUMBER + b"}}",
    b'{"v1": ' + NESTED,
    b"\xff",
    b"",
]


def entry(**fields):
    """Return an encoded entry of a server."""
    return json.dumps({**ENTRY, **fields}).encode()


class TestOddEntries:
    """Entries of servers that name no server to use."""

    @pytest.mark.parametrize(
        "data",
        [
            *ODD_DATA,
            entry(address="127.0.0.1:99999"),
            entry(address="127.0.0.1:0"),
            entry(address="127.0.0.1:-1"),
            entry(address="name.example:80"),
            entry(address=":80"),
            entry(slots=10**400),
            entry(born=10**400),
        ],
    )
    def test_other_servers_stay_usable(self, data):
        directory = Directory(PlatformRowDecoder(), ManualClock(1.0))
        rows = [Row("i-1", 1, entry()), Row("odd", 2, data)]
        directory.apply(Table.SERVERS, ChangeSet(rows, 2, True))
        listed = directory.servers_of("apps")
        assert [known.record.id for known in listed] == ["i-1"]


class TestOddRows:
    """Rows that lack a field, or whose fields cannot be read."""

    def change_set(self, row):
        """Return the decoded rows of a response with an odd row."""
        good = {"key": "good", "ver": 3, "data": "e30="}
        return decode_change_set({"rows": [row, good], "ver": 9}, True)

    # One odd row stopped a table: none of its rows was read any more.
    @pytest.mark.parametrize(
        "row",
        [
            {"key": "odd", "data": "e30="},
            {"key": "odd", "ver": 1e999, "data": "e30="},
            {"key": "odd", "ver": 10**400, "data": "e30="},
            {"key": "odd", "ver": "1", "data": "e30="},
            {"key": "odd", "ver": 1, "data": "not base64!"},
            {"key": "odd", "ver": 1, "data": 7},
            {"key": 7, "ver": 1, "data": "e30="},
            {},
            7,
            None,
        ],
    )
    def test_odd_row_costs_no_other_row(self, row):
        changes = self.change_set(row)
        assert [each.key for each in changes.rows] == ["good"]
        assert len(changes.unreadable) == 1

    def test_known_value_holds(self):
        directory = Directory(PlatformRowDecoder(), ManualClock(1.0))
        rows = [Row("odd", 1, entry())]
        directory.apply(Table.SERVERS, ChangeSet(rows, 1, True))
        odd = {"key": "odd", "ver": 4, "data": "not base64!"}
        directory.apply(Table.SERVERS, self.change_set(odd))
        assert directory.servers_of("apps")

    @pytest.mark.parametrize("version", [None, "9", -1, 1e999, 10**400])
    def test_odd_version_of_a_response(self, version):
        changes = decode_change_set({"rows": [], "ver": version}, True)
        assert isinstance(changes, SourceFailure)


class TestOddSavedRows:
    """Rows that routers save, overwritten by another writer."""

    @pytest.mark.parametrize("data", ODD_DATA)
    async def test_versions_and_streams(self, store, data):
        rows, client = store
        rows._write(VERSIONS_TABLE, "chat", data)
        rows._write(STREAMS_TABLE, "10.0.0.1/0", data)
        assert await client.read_versions() == {}
        assert await client.read_streams() == []
