"""Tests of fetching rows from other routers."""

import random
import types

import pytest

from boragetrail.direct.mirror import Mirror
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure, Table
from boragetrail.direct.relay import PeerFetcher

OLD_VERSION, NEW_VERSION = 10, 20


class Peers:
    """Replaces a peer table; holds two peers.

    The peer ``frozen`` has a fast link and old rows, the peer ``other`` has
    a slow link and new rows.
    """

    def __init__(self):
        self.peers = [
            _peer("frozen", OLD_VERSION, 200.0),
            _peer("other", NEW_VERSION, 10.0),
        ]

    def peers_ahead(self, table, position):
        """Return the routers with newer rows."""
        return [
            peer
            for peer in self.peers
            if position.is_behind(peer.versions_by_table, table)
        ]


class Directory:
    """Replaces a directory; records the versions of applied change sets."""

    def __init__(self):
        self.mirrors = {table: Mirror() for table in Table}
        self.applied = []

    def apply(self, table, result):
        """Record and store the version of a change set."""
        self.applied.append(result.version)
        self.mirrors[table].version = result.version

    def start_peer_expiry_grace(self):
        """Do nothing."""


class Source:
    """Returns the rows of a peer, or a failure if the peer is silent."""

    def __init__(self, peer, silent_addresses):
        self.peer = peer
        self.silent_addresses = silent_addresses

    async def changes(self, table, since, wait_s):
        """Return the rows of the peer."""
        if self.peer.address in self.silent_addresses:
            return SourceFailure("silent")
        version = self.peer.versions_by_table[table.value]
        return ChangeSet([Row("config", version, b"")], version, True)


def _peer(name, version, link_mbps):
    return types.SimpleNamespace(
        address=name,
        versions_by_table={table.value: version for table in Table},
        link_mbps=link_mbps,
    )


def _fetcher(silent_addresses=()):
    feed = types.SimpleNamespace(
        is_polling=lambda: False,
        liveness=types.SimpleNamespace(is_down=lambda: True),
    )
    fetcher = PeerFetcher(
        Directory(),
        Peers(),
        lambda peer: Source(peer, silent_addresses),
        dict.fromkeys(Table, feed),
        random.Random(1),
    )
    fetcher.IDLE_FETCH_DELAY_S = 0.0
    return fetcher


class TestStartInAnOutage:
    """A router starts in an outage while one peer has outdated rows.

    The outdated configuration may hold keys that have been revoked.
    """

    async def test_router_without_rows_fetches_the_newest(self):
        fetcher = _fetcher()
        await fetcher.fetch_if_behind()
        assert OLD_VERSION not in fetcher.directory.applied
        assert NEW_VERSION in fetcher.directory.applied

    async def test_silent_newest_peer_is_passed_over(self):
        fetcher = _fetcher(silent_addresses=["other"])
        for _ in range(2):
            await fetcher.fetch_if_behind()
        assert OLD_VERSION in fetcher.directory.applied

    @pytest.mark.parametrize("seed", range(5))
    async def test_router_with_rows_fetches_over_a_fast_link(self, seed):
        fetcher = _fetcher()
        fetcher.random.seed(seed)
        for mirror in fetcher.directory.mirrors.values():
            mirror.version = OLD_VERSION - 1
        await fetcher.fetch_if_behind()
        assert fetcher.directory.applied[0] == OLD_VERSION
