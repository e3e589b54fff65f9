"""Tests of routers while the store returns from a copy of its rows."""

import asyncio
import json
import random

import pytest

from boragetrail.direct.directory import Directory
from boragetrail.direct.interfaces import ChangeSet, Row, Table
from boragetrail.direct.knowledge.epochs import RowPosition, told_numbers
from boragetrail.direct.mirror import Mirror
from boragetrail.direct.relay import decode_changes, encode_changes
from boragetrail.direct.tests.conftest import configuration, route
from boragetrail.platform import PlatformRowDecoder
from standins.clock import ManualClock


def rows_of(epoch, version, *rows, is_snapshot=True):
    """Return a change set of an epoch."""
    return ChangeSet(list(rows), version, is_snapshot, epoch)


def entry(**fields):
    """Return an encoded entry of a server."""
    data = {
        "service": "apps",
        "address": "127.0.0.1:80",
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "born": 1,
        **fields,
    }
    return json.dumps(data).encode()


class TestMirror:
    """Rows that the copy holds, lacks, or holds in an older version."""

    def make(self, *rows, version=20):
        """Return a mirror of epoch 1 with some rows."""
        mirror = Mirror()
        mirror.apply(rows_of(1, version, *rows))
        return mirror

    def data(self, mirror, key):
        """Return the value in force of a key."""
        return mirror.rows_by_key[key].data

    def test_new_row_with_a_smaller_version_is_applied(self):
        mirror = self.make(Row("a", 3, b"1"), Row("b", 19, b"1"))
        mirror.apply(rows_of(2, 6, Row("a", 3, b"1"), Row("b", 6, b"2")))
        assert self.data(mirror, "b") == b"2"

    def test_row_that_the_copy_merely_holds_does_not_revert(self):
        mirror = self.make(Row("a", 4, b"1"), Row("z", 9, b"1"))
        mirror.apply(rows_of(1, 22, Row("a", 22, b"2"), is_snapshot=False))
        mirror.apply(rows_of(2, 9, Row("a", 4, b"1"), Row("z", 9, b"1")))
        assert self.data(mirror, "a") == b"2"
        again = rows_of(2, 10, Row("a", 10, b"1"), is_snapshot=False)
        assert [row.key for row in mirror.apply(again)] == ["a"]
        assert self.data(mirror, "a") == b"1"

    def test_row_that_the_copy_lacks_stays(self):
        mirror = self.make(Row("a", 4, b"1"), Row("b", 20, b"1"))
        mirror.apply(rows_of(2, 5, Row("a", 4, b"1")))
        assert self.data(mirror, "b") == b"1"
        assert mirror.end_retention(lambda key: False)[0].data is None
        assert "b" not in mirror.rows_by_key

    def test_row_that_was_deleted_after_the_copy_stays_deleted(self):
        mirror = self.make(Row("a", 4, b"1"), Row("z", 5, b"1"))
        mirror.apply(rows_of(1, 21, Row("a", 21, None), is_snapshot=False))
        mirror.apply(rows_of(2, 6, Row("a", 4, b"1"), Row("z", 5, b"1")))
        assert self.data(mirror, "a") is None
        written = rows_of(2, 8, Row("a", 8, b"1"), is_snapshot=False)
        mirror.apply(written)
        assert self.data(mirror, "a") == b"1"

    def test_row_that_is_deleted_again_in_the_new_epoch(self):
        mirror = self.make(Row("a", 4, b"1"), Row("z", 5, b"1"))
        mirror.apply(rows_of(1, 21, Row("a", 21, b"2"), is_snapshot=False))
        mirror.apply(rows_of(2, 6, Row("a", 4, b"1"), Row("z", 5, b"1")))
        mirror.apply(rows_of(2, 9, Row("z", 5, b"1")))
        assert self.data(mirror, "a") is None

    def test_rows_of_an_earlier_epoch_are_ignored(self):
        mirror = self.make(Row("a", 4, b"1"))
        mirror.apply(rows_of(2, 2, Row("a", 2, b"2")))
        assert mirror.apply(rows_of(1, 30, Row("a", 30, b"3"))) == []
        assert self.data(mirror, "a") == b"2"

    def test_changes_of_a_later_epoch_wait_for_all_rows(self):
        mirror = self.make(Row("a", 4, b"1"))
        later = rows_of(2, 30, Row("a", 30, b"3"), is_snapshot=False)
        assert mirror.apply(later) == []
        assert mirror.epoch == 1

    def test_two_returns_in_a_row(self):
        mirror = self.make(Row("a", 4, b"1"), Row("z", 5, b"1"))
        mirror.apply(rows_of(1, 21, Row("a", 21, b"2"), is_snapshot=False))
        for epoch in (2, 3):
            copy = rows_of(epoch, 6, Row("a", 4, b"1"), Row("z", 5, b"1"))
            mirror.apply(copy)
            assert self.data(mirror, "a") == b"2"

    def test_rows_without_an_epoch_belong_to_the_first_one(self):
        mirror = self.make(Row("a", 4, b"1"))
        legacy = ChangeSet([Row("a", 30, b"9")], 30, False)
        assert mirror.apply(legacy)
        mirror.apply(rows_of(2, 5, Row("a", 5, b"2")))
        older = ChangeSet([Row("a", 40, b"9")], 40, False)
        assert mirror.apply(older) == []

    @pytest.mark.parametrize("seed", range(40))
    def test_history_is_told_from_new_rows(self, seed):
        """Draw writes, a copy and writes again; compare with the truth."""
        rng = random.Random(seed)
        keys = ["a", "b", "c", "d"]
        store, version, mirror = {}, 0, Mirror()
        copy_at = rng.randint(1, 12)
        mirror.apply(rows_of(1, 0))
        for step in range(copy_at + rng.randint(0, 12)):
            if step == copy_at:
                copy = dict(store), version
            version += 1
            key = rng.choice(keys)
            value = rng.choice([None, b"%d" % rng.randint(0, 99)])
            store[key] = Row(key, version, value)
            mirror.apply(rows_of(1, version, store[key], is_snapshot=False))
        in_force = {key: row.data for key, row in mirror.rows_by_key.items()}
        if copy_at > step:
            copy = dict(store), version
        store, version = dict(copy[0]), copy[1]
        for _ in range(rng.randint(0, 5)):
            version += 1
            key = rng.choice(keys)
            store[key] = Row(key, version, b"new %d" % version)
            in_force[key] = store[key].data
        held = [row for row in store.values() if row.data is not None]
        mirror.apply(rows_of(2, version, *held))
        found = {
            key: row.data
            for key, row in mirror.rows_by_key.items()
            if row.data is not None
        }
        expected = {
            key: data for key, data in in_force.items() if data is not None
        }
        assert found == expected


class TestPeers:
    """Routers that learn of an epoch from each other."""

    def test_router_that_started_after_the_copy_learns_what_is_in_force(self):
        older, newer = Mirror(), Mirror()
        older.apply(rows_of(1, 9, Row("a", 4, b"1"), Row("b", 9, b"1")))
        older.apply(rows_of(1, 12, Row("a", 12, b"2"), is_snapshot=False))
        copy = rows_of(2, 9, Row("a", 4, b"1"), Row("b", 9, b"1"))
        older.apply(copy)
        newer.apply(copy)
        position = newer.position()
        assert position.lacks_retained
        sent = decode_changes(encode_changes(older.since(position)))
        assert [row.data for row in newer.apply(sent)] == [b"2"]
        assert not newer.position().lacks_retained

    def test_retained_row_does_not_replace_one_that_was_written_again(self):
        older, newer = Mirror(), Mirror()
        older.apply(rows_of(1, 9, Row("a", 4, b"1"), Row("b", 9, b"1")))
        older.apply(rows_of(1, 12, Row("a", 12, b"2"), is_snapshot=False))
        copy = rows_of(2, 9, Row("a", 4, b"1"), Row("b", 9, b"1"))
        older.apply(copy)
        newer.apply(copy)
        newer.apply(rows_of(2, 10, Row("a", 10, b"3"), is_snapshot=False))
        newer.apply(older.since(newer.position()))
        assert newer.rows_by_key["a"].data == b"3"

    def test_position_regards_the_epoch_before_the_version(self):
        position = RowPosition(50, 2, 1)
        assert position.is_behind({"op": 3, "op/epoch": 3}, "op")
        assert not position.is_behind({"op": 90, "op/epoch": 1}, "op")
        # A router that names no epoch is taken to be in the first one.
        assert not position.is_behind({"op": 90}, "op")
        assert RowPosition(50, 2, 2).is_behind({"op": 90}, "op")

    def test_what_routers_tell_each_other(self):
        ahead, other = Mirror(), Mirror()
        for mirror in (ahead, other):
            mirror.apply(rows_of(1, 9, Row("a", 9, b"1")))
        mirrors = {"op": ahead, "servers": other}
        assert told_numbers(mirrors) == {"epoch": 1, "op": 9, "servers": 9}
        ahead.apply(rows_of(2, 3, Row("b", 3, b"1")))
        told = told_numbers(mirrors)
        position = RowPosition(9, 1, 1)
        assert position.of_peer(told, "op") == (2, 3)
        assert position.of_peer(told, "servers") == (1, 9)
        assert told["op/retained"] == 1 and "servers/retained" not in told

    def test_older_router_reads_rows_without_epochs(self):
        mirror = Mirror()
        mirror.apply(rows_of(2, 9, Row("a", 4, b"1")))
        data = encode_changes(mirror.since(RowPosition(-1, 2)), False)
        read = decode_changes(data)
        assert (read.version, read.epoch, read.retained) == (9, None, None)


class TestDirectory:
    """Configuration, servers and zones while the store lost rows."""

    def make(self):
        """Return (directory, clock)."""
        clock = ManualClock(100.0)
        return Directory(PlatformRowDecoder(), clock), clock

    def config(self, version, row_version):
        """Return the row of a version of the configuration."""
        data = json.dumps(configuration(version)).encode()
        return Row("config", row_version, data)

    def test_configuration_never_goes_back(self):
        directory, clock = self.make()
        first, second = self.config(1, 1), self.config(2, 9)
        directory.apply(Table.OPERATORS, rows_of(1, 1, first))
        directory.apply(Table.OPERATORS, rows_of(1, 9, second))
        directory.apply(Table.OPERATORS, rows_of(2, 1, first))
        clock.now_s += 1000.0
        directory.servers_of("apps")
        assert directory.configuration.version == 2

    def test_server_that_nobody_lists_again_is_forgotten(self):
        directory, clock = self.make()
        server = Row("i-1", 9, entry())
        directory.apply(Table.SERVERS, rows_of(1, 9, server))
        directory.apply(Table.SERVERS, rows_of(2, 3))
        assert directory.servers_of("apps")
        clock.now_s += directory.RETENTION_S_BY_TABLE[Table.SERVERS]
        assert not directory.servers_of("apps")

    def test_draining_server_of_the_copy_gets_no_work(self):
        directory, _ = self.make()
        ready = Row("i-1", 3, entry())
        draining = Row("i-1", 9, entry(state="draining"))
        directory.apply(Table.SERVERS, rows_of(1, 3, ready))
        directory.apply(Table.SERVERS, rows_of(1, 9, draining))
        directory.apply(Table.SERVERS, rows_of(2, 3, ready))
        assert not directory.servers_by_id["i-1"].record.ready

    def test_evacuated_zone_stays_out(self):
        directory, _ = self.make()
        first = self.config(1, 1)
        out = Row("evacuate/z1", 5, b"{}")
        directory.apply(Table.OPERATORS, rows_of(1, 5, first, out))
        directory.apply(Table.OPERATORS, rows_of(2, 1, first))
        assert directory.evacuated_zones == {"z1"}


class TestRouters:
    """Routers whose store returns from a copy."""

    # Routers refused a route that was confirmed after the store had returned.
    async def test_change_after_the_copy_is_in_force(self, cluster):
        daemon = await cluster.add_router()
        cluster.store.save_copy()
        for number in range(20):
            cluster.store.put("op", f"note-{number}", {})
        await cluster.until(
            lambda: daemon.directory.mirrors[Table.OPERATORS].version > 20
        )
        cluster.store.return_from_copy()
        added = configuration(
            2, routes=[route("late", "idempotent", public=True)]
        )
        cluster.store.put("op", "config", added)
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        status, _, _ = await cluster.call(daemon, "/late/1")
        assert status == 200

    async def test_router_without_store_learns_of_the_epoch(self, cluster):
        first = await cluster.add_router()
        second = await cluster.add_router()
        cluster.store.save_copy()
        for number in range(20):
            cluster.store.put("op", f"note-{number}", {})
        await cluster.until(
            lambda: second.directory.mirrors[Table.OPERATORS].version > 20
        )
        second.store.base = "http://127.0.0.1:1"
        cluster.store.return_from_copy()
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: second.directory.configuration.version == 2
        )
        assert first.directory.epoch(Table.OPERATORS) == 2
        assert second.directory.epoch(Table.OPERATORS) == 2

    async def test_router_announces_itself_again(self, cluster):
        cluster.store.save_copy()
        daemon = await cluster.add_router()
        host = daemon.peers.own_address[0]
        rows = cluster.store
        await cluster.until(lambda: ("routers", host) in rows.rows_by_key)
        cluster.store.return_from_copy()
        assert ("routers", host) not in cluster.store.rows_by_key
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: ("routers", host) in cluster.store.rows_by_key
        )

    async def test_two_returns_in_a_row(self, cluster):
        daemon = await cluster.add_router()
        cluster.store.save_copy()
        for version in (2, 3):
            for number in range(9):
                cluster.store.put("op", f"note-{number}", {})
            await asyncio.sleep(0.1)
            cluster.store.return_from_copy()
            cluster.store.put("op", "config", configuration(version))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 3
        )
        assert daemon.directory.epoch(Table.OPERATORS) == 3

    async def test_return_while_all_routers_restart(self, cluster):
        daemon = await cluster.add_router()
        cluster.store.save_copy()
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        await daemon.close()
        cluster.daemons.clear()
        cluster.store.return_from_copy()
        started = await cluster.add_router()
        assert started.directory.configuration.version == 1
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: started.directory.configuration.version == 2
        )

    async def test_return_while_the_store_is_away_and_forgets(self, cluster):
        daemon = await cluster.add_router()
        cluster.store.save_copy()
        for number in range(9):
            cluster.store.put("op", f"note-{number}", {})
        cluster.store.status = 503
        await asyncio.sleep(0.2)
        cluster.store.return_from_copy()
        cluster.store.drop_history()
        cluster.store.put("op", "config", configuration(2))
        cluster.store.status = 0
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        usable = daemon.fleet.usable_servers("apps")
        assert len(usable) == len(cluster.servers)

    async def test_starting_router_learns_what_others_retain(self, cluster):
        await cluster.add_router()
        cluster.store.save_copy()
        cluster.store.put("op", "config", configuration(2))
        cluster.take_zone_out("z9")
        first = cluster.daemons[0]
        await cluster.until(lambda: first.directory.evacuated_zones == {"z9"})
        cluster.store.return_from_copy()
        await cluster.until(
            lambda: first.directory.epoch(Table.OPERATORS) == 2
        )
        second = await cluster.add_router()
        await cluster.until(
            lambda: second.directory.configuration.version == 2
        )
        assert second.directory.evacuated_zones == {"z9"}
