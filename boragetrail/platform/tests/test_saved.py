"""Tests of what routers save in the store."""

import json
import random

import pytest

from boragetrail.direct.directory import Directory
from boragetrail.direct.interfaces import (
    ChangeSet,
    Row,
    Table,
)
from boragetrail.direct.knowledge.crasharchive import CrashArchive
from boragetrail.direct.knowledge.streams import StreamOrigins, stream_key
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.readers import ReaderRole
from boragetrail.direct.recordmessages import pack_records, unpack_records
from boragetrail.direct.registries import (
    SavedVersions,
)
from boragetrail.direct.streamarchive import StreamArchive
from boragetrail.direct.tests.conftest import configuration
from boragetrail.direct.versionledger import VersionLedger
from boragetrail.platform import PlatformRowDecoder
from boragetrail.platform.names import (
    CRASHES_TABLE,
    STREAMS_TABLE,
    VERSIONS_TABLE,
)
from boragetrail.policy.crashrecords import CrashReport
from boragetrail.policy.quarantine import PromptQuarantine
from standins.clock import ManualClock


class TestSavedVersions:
    """Versions in service are read as they were saved."""

    async def test_saved_row(self, store):
        _, client = store
        saved = SavedVersions(["v2"], {"v1": 5000.0})
        assert await client.save_versions("chat", saved)
        read = await client.read_versions()
        assert read["chat"].listed == ["v2"]
        assert read["chat"].gone_ms_by_version == {"v1": 5000.0}
        assert read["chat"].now_ms > 0

    async def test_row_that_changed_since_is_not_replaced(self, store):
        _, client = store
        assert await client.save_versions("chat", SavedVersions(["v1"]))
        assert not await client.save_versions("chat", SavedVersions(["v2"]))
        read = (await client.read_versions())["chat"]
        assert read.listed == ["v1"]

    @pytest.mark.parametrize(
        "row",
        ["junk", 7, {}, {"listed": 5, "gone": {}}, {"listed": [], "gone": 1}],
    )
    async def test_invalid_row_is_skipped(self, store, row):
        rows, client = store
        rows.put(VERSIONS_TABLE, "chat", row)
        assert await client.read_versions() == {}


class TestSavedStreams:
    """Origins of streams are read as they were saved."""

    async def test_saved_rows(self, store):
        _, client = store
        streams = {"v1": [1, 2**64 - 1], "v2": [3]}
        assert await client.save_streams("10.0.0.1/0", streams)
        assert await client.save_streams("10.0.0.1/1", {"v2": [4]})
        assert sorted(await client.read_streams()) == [
            (1, "v1"),
            (3, "v2"),
            (4, "v2"),
            (2**64 - 1, "v1"),
        ]

    @pytest.mark.parametrize("row", ["junk", 7, [], {"v1": 5}, {"v1": "AAA"}])
    async def test_invalid_row_is_skipped(self, store, row):
        rows, client = store
        rows.put(STREAMS_TABLE, "10.0.0.1/0", row)
        assert await client.read_streams() == []


class TestSavedAgain:
    """What the store has lost with a return from a copy is saved again."""

    async def test_versions(self, store):
        rows, client = store
        ledger, directory, _ = make_ledger(client)
        rows.save_copy()
        list_version(directory, 1, "v1")
        await ledger._load(True)
        await ledger._save("chat", {"v1"})
        list_version(directory, 2, "v2")
        await ledger._save("chat", {"v2"})
        rows.return_from_copy()
        assert isinstance(await client.read_versions(), dict)
        ledger._enter_epoch()
        await ledger._save("chat", {"v2"})
        saved = (await client.read_versions())["chat"]
        assert saved.listed == ["v2"]
        assert "v1" in saved.gone_ms_by_version

    async def test_condition_on_a_version_of_another_epoch(self, store):
        rows, client = store
        rows.save_copy()
        assert await client.save_versions("chat", SavedVersions(["v1"]))
        read = (await client.read_versions())["chat"]
        rows.return_from_copy()
        # The new epoch gives out the same version for another row.
        rows.put(VERSIONS_TABLE, "chat", {"listed": ["v9"], "gone": {}})
        assert not await client.save_versions("chat", read)

    async def test_streams(self, store):
        rows, client = store
        peers = PeerTable(ManualClock(100.0), random.Random(1))
        peers.own_address = ("10.0.0.1", 1)
        origins = StreamOrigins(peers)
        archive = StreamArchive(origins, client, lambda: True, peers)
        rows.save_copy()
        origins.expect("a1", "v1")
        await archive._save()
        assert await client.read_streams() == [(stream_key("a1"), "v1")]
        rows.return_from_copy()
        assert await client.read_streams() == []
        await archive._save_again()
        assert await client.read_streams() == [(stream_key("a1"), "v1")]


def make_ledger(registry):
    """Return (ledger, directory, clock) with a configuration."""
    clock = ManualClock(100.0)
    directory = Directory(PlatformRowDecoder(), clock)
    row = Row("config", 1, json.dumps(configuration()).encode())
    directory.apply(Table.OPERATORS, ChangeSet([row], 1, True))
    ledger = VersionLedger(directory, registry, lambda: ReaderRole.READER)
    return ledger, directory, clock


def list_version(directory, row_version, version):
    """List a server of a software version."""
    entry = {
        "service": "chat",
        "address": "127.0.0.1:80",
        "zone": "z1",
        "state": "ready",
        "version": version,
    }
    row = Row("i-1", row_version, json.dumps(entry).encode())
    rows = ChangeSet([row], row_version, row_version == 1)
    directory.apply(Table.SERVERS, rows)


class TestSavedCrashes:
    """Reports of crashes are read as they were saved."""

    def archive(self, client, clock):
        """Return (archive, quarantine) of a router."""
        quarantine = PromptQuarantine(
            clock, random.Random(1), lambda held, released: None
        )
        codec = (pack_records, unpack_records)
        archive = CrashArchive(quarantine, client, "10.0.0.1", codec, clock)
        return archive, quarantine

    def crash(self, archive, quarantine, server):
        """Record a crash under a request."""
        report = CrashReport(
            server, ("base", "request:a"), True, quarantine.clock()
        )
        quarantine.add_crash(report)
        archive.add(report)

    async def test_verdict_outlives_all_routers(self, store):
        _, client = store
        clock = ManualClock(100.0)
        archive, quarantine = self.archive(client, clock)
        for server in (1, 2):
            clock.now_s += 1.0
            self.crash(archive, quarantine, server)
        clock.now_s += 2.0
        quarantine.survived(["base"])
        assert await archive.save_changes()
        later, started = self.archive(client, ManualClock(5.0))
        assert await later.load()
        assert list(started.held_until_s_by_part) == ["request:a"]

    # Guards against a router that replaces the reports of its earlier run.
    async def test_later_run_keeps_the_reports_of_the_one_before(self, store):
        _, client = store
        first, quarantine = self.archive(client, ManualClock(100.0))
        for server in (1, 2):
            quarantine.clock.now_s += 1.0
            self.crash(first, quarantine, server)
        assert await first.save_changes()
        second, quarantine = self.archive(client, ManualClock(5.0))
        assert await second.load()
        other = CrashReport(3, ("request:b",), True, 5.0)
        quarantine.add_crash(other)
        second.add(other)
        assert await second.save_changes()
        third, quarantine = self.archive(client, ManualClock(9.0))
        assert await third.load()
        assert {server for server, _ in quarantine.reports_by_key} == {1, 2, 3}

    async def test_nothing_is_written_without_a_crash(self, store):
        rows, client = store
        archive, _ = self.archive(client, ManualClock(100.0))
        assert await archive.load()
        assert await archive.save_changes()
        assert await client.read_crashes() == []
        assert rows.version == 0

    async def test_saved_again_after_a_return_from_a_copy(self, store):
        rows, client = store
        archive, quarantine = self.archive(client, ManualClock(100.0))
        rows.save_copy()
        self.crash(archive, quarantine, 1)
        assert await archive.save_changes()
        rows.return_from_copy()
        assert await client.read_crashes() == []
        assert await archive.save_changes()
        assert len(await client.read_crashes()) == 1

    @pytest.mark.parametrize(
        "data", [b"", b"junk", b"0" * 8 + b"\xff", b"\x7f\xf0" + b"\0" * 6]
    )
    async def test_invalid_row_is_skipped(self, store, data):
        rows, client = store
        rows._write(CRASHES_TABLE, "10.0.0.9", data)
        archive, quarantine = self.archive(client, ManualClock(100.0))
        assert await archive.load()
        assert not quarantine.reports_by_key
