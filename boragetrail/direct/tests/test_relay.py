"""Tests of fetching rows from other routers."""

import random
import types

import pytest

from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure, Table
from boragetrail.direct.relay import PeerFetcher

OLD, NEW = 10, 20


class Peers:
    """Holds two routers; the one with the faster link has older rows."""

    def __init__(self):
        self.peers = [_peer("frozen", OLD, 200.0), _peer("other", NEW, 10.0)]

    def peers_ahead(self, table, version):
        """Return the routers with newer rows."""
        return [
            peer
            for peer in self.peers
            if peer.versions_by_table[table] > version
        ]


class Directory:
    """Records the versions that are applied."""

    def __init__(self):
        self.mirrors = {
            table: types.SimpleNamespace(version=-1) for table in Table
        }
        self.applied = []

    def apply(self, table, result):
        """Record the version of a change set."""
        self.applied.append(result.version)
        self.mirrors[table].version = result.version

    def start_peer_expiry_grace(self):
        """Do nothing."""


class Source:
    """Returns the rows of a peer, or a failure if the peer is silent."""

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


def _fetcher(silent=()):
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


class TestStartInAnOutage:
    """A router starts in an outage while one peer has outdated rows.

    The outdated configuration may hold keys that were revoked since.
    """

    async def test_router_without_rows_fetches_the_newest(self):
        fetcher = _fetcher()
        await fetcher.fetch_if_behind()
        assert OLD not in fetcher.directory.applied
        assert NEW in fetcher.directory.applied

    async def test_silent_newest_peer_is_passed_over(self):
        fetcher = _fetcher(silent=["other"])
        for _ in range(2):
            await fetcher.fetch_if_behind()
        assert OLD in fetcher.directory.applied

    @pytest.mark.parametrize("seed", range(5))
    async def test_router_with_rows_fetches_over_a_fast_link(self, seed):
        fetcher = _fetcher()
        fetcher.random.seed(seed)
        for mirror in fetcher.directory.mirrors.values():
            mirror.version = OLD - 1
        await fetcher.fetch_if_behind()
        assert fetcher.directory.applied[0] == OLD
