"""Tests of rows that a starting router gets from other routers."""

import random
import types

import pytest

from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure, Table
from boragetrail.direct.relay import PeerFetcher

OLD, NEW = 10, 20


class Peers:
    """Two routers, of which the one with the faster link is behind."""

    def __init__(self):
        self.listed = [_peer("frozen", OLD, 200.0), _peer("other", NEW, 10.0)]

    def peers_ahead(self, table, version):
        """Return those that know more."""
        return [
            peer
            for peer in self.listed
            if peer.versions_by_table[table] > version
        ]


class Directory:
    """Keep what was taken over."""

    def __init__(self):
        self.mirrors = {
            table: types.SimpleNamespace(version=-1) for table in Table
        }
        self.applied = []

    def apply(self, table, result):
        """Take over rows."""
        self.applied.append(result.version)
        self.mirrors[table].version = result.version

    def store_unavailable(self):
        """Do nothing."""


class Source:
    """Answer as a peer does, or fail."""

    def __init__(self, peer, silent):
        self.peer = peer
        self.silent = silent

    async def changes(self, table, since, wait_s):
        """Return the rows of the peer."""
        if self.peer.address in self.silent:
            return SourceFailure("silent")
        version = self.peer.versions_by_table[table.value]
        return ChangeSet([Row("config", version, b"")], version, True)


def _peer(name, version, link_mbps):
    return types.SimpleNamespace(
        address=name,
        versions_by_table={table.value: version for table in Table},
        link_mbps=link_mbps,
    )


def _puller(silent=()):
    feed = types.SimpleNamespace(
        is_polling=lambda: False,
        liveness=types.SimpleNamespace(is_down=lambda: True),
    )
    fetcher = PeerFetcher(
        Directory(),
        Peers(),
        lambda peer: Source(peer, silent),
        dict.fromkeys(Table, feed),
        random.Random(1),
    )
    fetcher.IDLE_FETCH_DELAY_S = 0.0
    return fetcher


class TestStartWithoutTheStore:
    """A router starts while the store is away and one router is behind.

    The configuration of the router that is behind may hold keys that were
    withdrawn since.
    """

    async def test_newest_rows_come_first(self):
        fetcher = _puller()
        await fetcher.fetch_if_behind()
        assert OLD not in fetcher.directory.applied
        assert NEW in fetcher.directory.applied

    async def test_newest_router_that_is_silent_is_not_waited_for(self):
        fetcher = _puller(silent=["other"])
        for _ in range(2):
            await fetcher.fetch_if_behind()
        assert OLD in fetcher.directory.applied

    @pytest.mark.parametrize("seed", range(5))
    async def test_later_the_fast_links_serve_rows(self, seed):
        fetcher = _puller()
        fetcher.random.seed(seed)
        for mirror in fetcher.directory.mirrors.values():
            mirror.version = OLD - 1
        await fetcher.fetch_if_behind()
        assert fetcher.directory.applied[0] == OLD
