"""Tests of feeds, of the directory and of mirrors."""

import asyncio
import contextlib
import json
import random

from boragetrail.direct.directory import Directory
from boragetrail.direct.feed import Feed
from boragetrail.direct.knowledge.epochs import RowPosition
from boragetrail.direct.liveness import StoreLiveness
from boragetrail.direct.mirror import Mirror
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure, Table
from boragetrail.direct.readers import ReaderRole
from boragetrail.platform import PlatformRowDecoder
from standins.clock import ManualClock


class ScriptedSource:
    """Replaces a source of rows; returns scripted results.

    :param clock: :class:`~standins.clock.ManualClock`, which each call
        advances
    :param steps: (duration of the call in seconds, result) of each call
    :ivar reads: number of full reads
    """

    def __init__(self, clock, *steps):
        self.clock = clock
        self.steps = list(steps)
        self.reads = 0

    async def read(self, table):
        """Return the next result and count a full read."""
        self.reads += 1
        return self._next()

    async def changes(self, table, since, wait_s):
        """Return the next result."""
        return self._next()

    def _next(self):
        if not self.steps:
            raise EndOfScript
        took_s, result = self.steps.pop(0)
        self.clock.now_s += took_s
        return result


class EndOfScript(Exception):
    """Raised when the script of a source has no more steps."""


def entry(**fields):
    """Return an encoded entry of a server."""
    data = {
        "service": "apps",
        "address": "127.0.0.1:80",
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        **fields,
    }
    return json.dumps(data).encode()


def changes(version, *rows, is_snapshot=False):
    """Return a change set."""
    return ChangeSet(list(rows), version, is_snapshot)


class TestFeed:
    """Polls without changes, outages and lost history."""

    def make(self, *steps, roles=None):
        """Return (feed, directory, clock, source) for a script.

        :param roles: roles of the router at successive queries of its role;
            the last role is repeated
        """
        roles = roles or [ReaderRole.READER]
        clock = ManualClock(100.0)
        directory = Directory(PlatformRowDecoder(), clock)
        source = ScriptedSource(clock, *steps)
        feed = Feed(
            Table.SERVERS,
            source,
            directory,
            StoreLiveness(clock),
            random.Random(1),
            lambda: roles.pop(0) if len(roles) > 1 else roles[0],
        )
        feed.FOLLOWER_CHECK_INTERVAL_S = 0.0
        feed.MIN_RETRY_DELAY_S = feed.MAX_RETRY_DELAY_S = feed.delay_s = 0.0
        feed.MIN_FOLLOWER_RETRY_DELAY_S = feed.MAX_FOLLOWER_RETRY_DELAY_S = 0.0
        return feed, directory, clock, source

    async def run_script(self, feed):
        """Run a feed to the end of its script."""
        try:
            await feed.run()
        except EndOfScript:
            pass

    async def test_polls_without_changes_are_not_an_outage(self):
        # If polls that end without changes counted as an outage, a server
        # whose entry was removed would be kept.
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        feed, directory, _, _ = self.make(
            (0.0, first),
            (2.05, changes(1)),
            (2.05, changes(1)),
            (0.5, changes(2, Row("i-1", 2, None))),
        )
        await self.run_script(feed)
        assert not directory.servers_of("apps")

    async def test_servers_whose_entries_expire_in_an_outage_are_kept(self):
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        down = SourceFailure("status 503")
        feed, directory, clock, _ = self.make(
            (0.0, first),
            (1.0, down),
            (3.0, down),
            (0.5, changes(2, Row("i-1", 2, None))),
        )
        await self.run_script(feed)
        assert len(directory.servers_of("apps")) == 1
        clock.now_s += directory.EXPIRY_GRACE_S
        assert not directory.servers_of("apps")

    async def test_entry_removed_while_only_this_router_was_cut_off(self):
        # The server itself removed its entry. A router that was disconnected
        # from the store must not treat the entry as expired in an outage.
        # Otherwise it would keep the server for 2.3 s.
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        down = SourceFailure("status 503")
        feed, directory, _, _ = self.make(
            (0.0, first),
            (4.0, down),
            (0.5, changes(1)),
            (0.1, changes(2, Row("i-1", 2, None))),
        )
        next_result = feed.source._next

        def result_after_a_peer_report():
            result = next_result()
            feed.record_peer_report(0.1, 60.0)
            return result

        feed.source._next = result_after_a_peer_report
        await self.run_script(feed)
        assert not directory.servers_of("apps")

    async def test_server_is_kept_for_less_than_two_seconds(self):
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        feed, directory, clock, _ = self.make(
            (0.0, first),
            (4.0, SourceFailure("status 503")),
            (0.5, changes(1)),
            (0.1, changes(2, Row("i-1", 2, None))),
        )
        await self.run_script(feed)
        clock.now_s += 1.8
        assert not directory.servers_of("apps")

    async def test_draining_server_is_not_kept_after_an_outage(self):
        leaving = entry(state="draining")
        first = changes(1, Row("i-1", 1, leaving), is_snapshot=True)
        feed, directory, _, _ = self.make(
            (0.0, first),
            (5.0, SourceFailure("status 503")),
            (0.5, changes(2, Row("i-1", 2, None))),
        )
        await self.run_script(feed)
        assert not directory.servers_of("apps")

    async def test_lost_history_causes_a_full_read(self):
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        second = changes(7, Row("i-2", 6, entry()), is_snapshot=True)
        feed, directory, _, source = self.make(
            (0.0, first),
            (0.1, SourceFailure("status 410", True)),
            (0.1, second),
        )
        await self.run_script(feed)
        assert source.reads == 2
        assert list(directory.servers_by_id) == ["i-2"]

    async def test_outdated_read_is_repeated(self):
        first = changes(5, Row("i-1", 5, entry()), is_snapshot=True)
        outdated = changes(3, is_snapshot=True)
        feed, directory, _, source = self.make(
            (0.0, first),
            (0.1, SourceFailure("status 410", True)),
            (0.1, outdated),
        )
        await self.run_script(feed)
        assert source.reads == 3
        assert list(directory.servers_by_id) == ["i-1"]

    async def test_follower_polls_only_if_readers_are_silent(self):
        """A follower polls as soon as no reader reports recent responses."""
        feed, directory, clock, source = self.make(
            (0.0, changes(3, Row("a", 1, entry()), is_snapshot=True)),
            (0.0, changes(9, Row("b", 9, entry()))),
            roles=[ReaderRole.FOLLOWER],
        )
        feed.FOLLOWER_CHECK_INTERVAL_S = 0.001
        task = asyncio.create_task(self.run_script(feed))
        for _ in range(5):
            clock.now_s += 0.5 * feed.MAX_READER_SILENCE_S
            feed.record_peer_report(0.1, 60.0)
            await asyncio.sleep(0.01)
            assert len(source.steps) == 1
        clock.now_s += feed.MAX_READER_SILENCE_S
        await asyncio.sleep(0.01)
        task.cancel()
        assert not source.steps
        assert set(directory.servers_by_id) == {"a", "b"}


class TestRetryDelays:
    """Polls in an outage: readers retry often, other routers rarely."""

    OUTAGE_S = 10.0

    async def count_polls(self, role, monkeypatch):
        """Return the number of polls of a router in an outage."""
        clock = ManualClock(100.0)

        async def sleep(seconds):
            clock.now_s += seconds

        monkeypatch.setattr(asyncio, "sleep", sleep)
        first = changes(1, Row("i-1", 1, entry()), is_snapshot=True)
        down = [(0.0, SourceFailure("status 503"))] * 500
        source = ScriptedSource(clock, (0.0, first), *down)
        feed = Feed(
            Table.SERVERS,
            source,
            Directory(PlatformRowDecoder(), clock),
            StoreLiveness(clock),
            random.Random(1),
            lambda: role,
        )
        monkeypatch.setattr(
            source, "_next", stop_at(clock, 110.0, source._next)
        )
        with contextlib.suppress(EndOfScript):
            await feed.run()
        return 501 - len(source.steps)

    async def test_readers_retry_more_often_than_standbys(self, monkeypatch):
        reader_polls = await self.count_polls(ReaderRole.READER, monkeypatch)
        standby_polls = await self.count_polls(ReaderRole.STANDBY, monkeypatch)
        assert reader_polls >= self.OUTAGE_S / Feed.MAX_RETRY_DELAY_S / 1.3
        assert (
            standby_polls
            <= 2 + self.OUTAGE_S / Feed.MAX_FOLLOWER_RETRY_DELAY_S * 2
        )


def stop_at(clock, end_s, function):
    """Wrap a function so that it ends the script from a given time on.

    :param end_s: time of the clock from which calls raise
        :class:`EndOfScript`
    :returns: the wrapped function
    """

    def called():
        if clock.now_s >= end_s:
            raise EndOfScript
        return function()

    return called


class TestDirectory:
    """Invalid rows and outdated rows."""

    def make(self):
        """Return an empty directory."""
        return Directory(PlatformRowDecoder(), ManualClock(100.0))

    def test_invalid_entry_adds_no_usable_server(self):
        directory = self.make()
        rows = [
            Row("a", 1, b"\xff"),
            Row("b", 2, b"[]"),
            Row("c", 3, entry(address=7)),
            Row("d", 4, entry(service=None)),
            Row("e", 5, entry(state="odd")),
            Row("f", 6, entry(slots="many")),
            Row("g", 7, entry()),
        ]
        directory.apply(Table.SERVERS, changes(7, *rows))
        usable = [
            known.record.id
            for known in directory.servers_of("apps")
            if known.record.ready
        ]
        assert usable == ["g"]

    def test_invalid_configuration_is_ignored(self):
        directory = self.make()
        good = {
            "version": 3,
            "routes": [],
            "services": [],
            "limits": {
                "maxHeaderBytes": 1,
                "maxBodyBytes": 1,
                "headerTimeoutMs": 1,
                "idleTimeoutMs": 1,
            },
        }
        row = Row("config", 1, json.dumps(good).encode())
        directory.apply(Table.OPERATORS, changes(1, row))
        bad = Row("config", 2, b'{"version": 4}')
        directory.apply(Table.OPERATORS, changes(2, bad))
        assert directory.configuration.version == 3

    def test_older_row_does_not_evacuate_a_zone_again(self):
        directory = self.make()
        out = Row("evacuate/z1", 4, b"{}")
        directory.apply(Table.OPERATORS, changes(4, out))
        assert directory.evacuated_zones == {"z1"}
        directory.apply(
            Table.OPERATORS, changes(5, Row("evacuate/z1", 5, None))
        )
        # A peer that lags behind sends the older row again.
        directory.apply(Table.OPERATORS, changes(4, out))
        assert directory.evacuated_zones == set()


class TestMirror:
    """Changes, snapshots and tombstones of tables."""

    def test_deletion_before_the_first_read_of_a_mirror(self):
        # A restarted router has no tombstone of a row that was deleted before
        # the router's first read. If it sent just its newer rows, a router
        # that lags behind would keep the deleted row forever.
        restarted, behind = Mirror(), Mirror()
        behind.apply(changes(5, Row("gone", 3, b"1"), Row("a", 4, b"2")))
        restarted.apply(changes(8, Row("a", 4, b"2"), is_snapshot=True))
        restarted.apply(changes(9, Row("b", 9, b"3")))
        changed = behind.apply(restarted.since(behind.position()))
        assert {row.key for row in changed} == {"gone", "b"}
        assert behind.rows_by_key["gone"].data is None

    def test_deletion_reaches_a_third_mirror(self):
        first, second, third = Mirror(), Mirror(), Mirror()
        second.apply(changes(2, Row("a", 1, b"1")))
        third.apply(changes(5, Row("a", 1, b"1"), Row("short", 4, b"2")))
        first.apply(changes(8, Row("a", 1, b"1"), is_snapshot=True))
        second.apply(first.since(second.position()))
        changed = third.apply(second.since(third.position()))
        assert [row.key for row in changed] == ["short"]

    def test_row_from_before_a_snapshot_stays_deleted(self):
        mirror = Mirror()
        mirror.apply(changes(8, is_snapshot=True))
        assert mirror.apply(changes(9, Row("gone", 3, b"1"))) == []

    def test_old_tombstones_are_compacted(self):
        mirror = Mirror()
        count = mirror.MAX_TOMBSTONES + 1
        rows = [Row(f"k{n}", n, None) for n in range(count)]
        mirror.apply(changes(count, *rows))
        assert len(mirror.rows_by_key) <= mirror.MAX_TOMBSTONES
        assert mirror.since(RowPosition(0)).is_snapshot
        assert not mirror.since(RowPosition(count - 1)).is_snapshot

    def test_changes_since_a_version_update_another_mirror(self):
        ahead, behind = Mirror(), Mirror()
        rows = [Row("a", 1, b"1"), Row("b", 2, b"2"), Row("a", 3, None)]
        ahead.apply(changes(4, *rows))
        behind.apply(changes(2, *rows[:2]))
        changed = behind.apply(ahead.since(behind.position()))
        assert [row.key for row in changed] == ["a"]
        assert behind.version == ahead.version == 4
        assert behind.newest_row_version == 3
