"""Tests of the peer table and of fetching rows from peers."""

import random

from boragetrail.direct.counts import server_key
from boragetrail.direct.datagrams import Digest
from boragetrail.direct.interfaces import SourceFailure, Table
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.readers import ReaderRole
from boragetrail.direct.registries import RegisteredRouter
from boragetrail.direct.tests.conftest import configuration, route
from boragetrail.policy.quota import RateQuota
from standins.clock import ManualClock


def work(**requests_by_id):
    """Return counts of work with zero pending tokens, as in a datagram."""
    return [(server_key(key), n, 0) for key, n in requests_by_id.items()]


def digest(**fields):
    """Return a digest; ``fields`` replace its default values."""
    data = {
        "incarnation": "00000000000000a1",
        "sequence": 1,
        "gossip_port": 7000,
        "relay_port": 7000,
        "versions_by_table": {},
        "shard_index": 0,
        "shard_count": 1,
        "work": [],
        "outcomes": [],
        "reports": [],
        "store": {},
        "store_unreachable": False,
        "uptime_s": 0.0,
        "link_mbps": 100.0,
        "peers": [],
        "leaving": False,
        "wants_reply": False,
        **fields,
    }
    return Digest(**data)


class TestPeerTable:
    """Fleet size, ranks and loads."""

    def make(self):
        """Return (table, clock)."""
        clock = ManualClock(100.0)
        return PeerTable(clock, random.Random(1)), clock

    def test_older_digest_is_ignored(self):
        table, _ = self.make()
        table.apply_digest(digest(sequence=5, work=work(s=3)), "10.0.0.1")
        table.apply_digest(digest(sequence=4, work=work(s=9)), "10.0.0.1")
        assert table.load("s").requests == 3

    def test_sequence_restarts_with_a_new_run(self):
        table, _ = self.make()
        table.apply_digest(digest(sequence=5), "10.0.0.1")
        peer, is_new = table.apply_digest(
            digest(incarnation="00000000000000b2"), "10.0.0.1"
        )
        assert is_new and peer.sequence == 1

    def test_size_is_not_underestimated_at_startup(self):
        table, clock = self.make()
        assert table.size() == table.MIN_SIZE_WITHOUT_LIST
        clock.now_s += table.STARTUP_S
        for number in range(3):
            table.apply_digest(digest(), f"10.0.0.{number}")
        assert table.size() == 4

    def test_cold_rate_limit_holds_if_all_routers_restart(self):
        """68 routers use up their quotas of a rate limit when they start."""
        limit_per_s = 41.0
        hosts = [f"10.0.0.{number}" for number in range(68)]
        for list_was_read in (True, False):
            acquired = 0
            for host in hosts:
                table, clock = self.make()
                table.own_address = (host, 7000)
                if list_was_read:
                    table.add_listed([(each, 7000) for each in hosts])
                quota = RateQuota(clock)
                while quota.try_acquire(
                    limit_per_s, table.max_size(), table.max_rank("s")
                ):
                    acquired += 1
            assert acquired <= limit_per_s
            assert acquired > 0 or not list_was_read

    def test_silent_router_counts_until_its_membership_expires(self):
        # A disconnected router may still send requests to servers.
        table, clock = self.make()
        table.apply_digest(digest(work=work(s=3)), "10.0.0.1")
        clock.now_s += 10.0
        assert table.size() == 2
        assert table.load("s").requests == 0
        clock.now_s += table.MEMBERSHIP_TIMEOUT_S
        assert table.size() == 1

    def test_ranks_differ_between_routers(self):
        ranks = []
        for number in range(5):
            table, clock = self.make()
            table.own_address = (f"10.0.0.{number}", 7000)
            clock.now_s += table.STARTUP_S
            for other in range(5):
                if other != number:
                    table.apply_digest(digest(), f"10.0.0.{other}")
            ranks.append(table.rank("server"))
        assert sorted(ranks) == [0, 1, 2, 3, 4]

    def test_outcomes_expire_later_than_work(self):
        table, clock = self.make()
        key = server_key("s")
        table.apply_digest(digest(outcomes=[(key, 2, 5)]), "10.0.0.1")
        clock.now_s += table.MAX_DIGEST_AGE_S + 0.1
        load = table.load("s")
        assert (load.requests, load.failures, load.responses) == (0, 2, 5)


class TestJoin:
    """Fleet size at startup, from the platform's list of routers."""

    async def test_unreadable_list_is_not_an_empty_fleet(self, cluster):
        daemon = cluster.make_router()

        async def unreadable():
            return []

        await daemon.open()
        daemon.peers.list_was_read = False
        daemon.store.members = unreadable
        await daemon.registration.join([])
        assert daemon.peers.size() == daemon.peers.MIN_SIZE_WITHOUT_LIST

    async def test_listed_routers_count_at_once(self, cluster):
        daemon = cluster.make_router()

        async def hosts():
            return [
                RegisteredRouter(f"127.0.1.{number}", age_s=10.0)
                for number in range(20)
            ]

        await daemon.open()
        daemon.store.members = hosts
        await daemon.registration.join([])
        assert daemon.peers.size() > 20


class TestRelay:
    """Rows that come from other routers instead of the store."""

    async def test_router_that_the_store_refuses(self, cluster):
        await cluster.add_router()
        second = await cluster.add_router()
        await cluster.until(lambda: second.peers.peers_by_address)
        for feed in second.feeds_by_table.values():
            feed.source = RefusingSource()
        cluster.store.put("op", "config", configuration(2))
        cluster.store.put("op", "evacuate/z9", {})
        await cluster.until(
            lambda: second.directory.configuration.version == 2
        )
        await cluster.until(lambda: second.directory.evacuated_zones == {"z9"})

    async def test_router_that_starts_without_the_store(self, cluster):
        await cluster.add_router()
        cluster.store.status = 503
        second = cluster.make_router()
        await second.open()
        await cluster.until(second.is_ready)
        assert (await cluster.call(second, "/order/1"))[0] == 200

    async def test_router_with_a_slow_link_gets_compressed_rows(self, cluster):
        first = await cluster.add_router()
        second = cluster.make_router()
        second.peers.link_mbps = 5.0
        await second.open()
        await cluster.until(second.is_ready)
        feed = second.feeds_by_table[Table.OPERATORS]
        feed.role = lambda: ReaderRole.FOLLOWER
        # This change ends the long poll that the feed started as a reader.
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: second.directory.configuration.version == 2
        )
        await cluster.until(lambda: not feed.is_polling())
        large = configuration(3)
        large["routes"] += [route(f"r{n}", "idempotent") for n in range(300)]
        cluster.store.put("op", "config", large)
        await cluster.until(
            lambda: second.directory.configuration.version == 3
        )
        assert not feed.is_polling()
        url = f"http://{first.settings.relay}/rows?table=operators&since=0"
        async with cluster.session.get(url) as response:
            sent = int(response.headers["Content-Length"])
            assert sent * 5 < len(await response.read())

    async def test_reported_versions_are_those_of_rows(self, cluster):
        # The store's version counter also grows with writes to other tables.
        first = await cluster.add_router()
        cluster.store.put("other", "x", 1)
        versions = first.directory.versions()
        assert versions[Table.OPERATORS.value] == 1


class RefusingSource:
    """A source that fails each call."""

    async def read(self, table):
        """Return a failure."""
        return await self.changes(table, 0, 0)

    async def changes(self, table, since, wait_s):
        """Return a failure."""
        return SourceFailure("status 503")
