"""Tests of the discovery of cached prompt parts after a start."""

import asyncio
import json
import random

from boragetrail.direct.discovery import CacheDiscovery
from boragetrail.direct.peers import PeerTable
from boragetrail.direct.peersocket import PeerSocket
from boragetrail.direct.placements import PlacementQueue
from boragetrail.direct.tests.conftest import configuration, service
from standins.clock import ManualClock
from standins.httpserver import whole_answer


def cached_parts_response(*parts):
    """Return a handler that responds with a list of cached parts."""

    async def handle(request):
        held = [["", part, 100, "m"] for part in parts]
        body = json.dumps({"epoch": 1, "next": 1, "held": held})
        return whole_answer(request, body.encode())

    return handle


class TestCacheDiscovery:
    """Which routers and servers a router queries after a start."""

    async def set_up_model_engines(self, cluster):
        """Configure the servers as model engines that cache prompt parts.

        Each engine caches the part ``deck`` and a part that no other caches.
        """
        models = configuration(
            2, services=[service("apps", backend={"slots": 8})]
        )
        cluster.store.put("op", "config", models)
        for server in cluster.servers:
            server.default = cached_parts_response("deck", f"only-{server.id}")

    async def test_first_start_queries_no_server(self, cluster):
        await self.set_up_model_engines(cluster)
        daemon = cluster.make_router()
        daemon.settings.first_start = True
        await daemon.open()
        await cluster.until(daemon.is_ready)
        await daemon.wait_for_discovery()
        assert not any(server.requests for server in cluster.servers)

    async def test_restart_of_all_routers_queries_the_servers(self, cluster):
        await self.set_up_model_engines(cluster)
        daemon = cluster.make_router()
        await daemon.open()
        await daemon.wait_for_discovery()
        assert daemon.fleet.prefix_index.holders("deck") == {"i-0", "i-1"}
        assert daemon.fleet.prefix_index.holders("only-i-1") == {"i-1"}
        assert [len(server.requests) for server in cluster.servers] == [1, 1]

    async def test_restart_of_one_router_queries_the_others(self, cluster):
        await self.set_up_model_engines(cluster)
        first = await cluster.add_router()
        await first.wait_for_discovery()
        queries = sum(len(server.requests) for server in cluster.servers)
        first.fleet.prefix_index.add_holder("deck-2", "i-0")
        second = cluster.make_router()
        await second.open()
        await second.wait_for_discovery()
        assert second.fleet.prefix_index.holders("deck-2") == {"i-0"}
        now = sum(len(server.requests) for server in cluster.servers)
        assert now == queries


class MemoryDiscovery(CacheDiscovery):
    """Replaces the queries by reads of other routers' parts in memory.

    :param parts_by_address: set of known parts by router address
    :param address: address of the router that runs the discovery
    :param peers: :class:`~boragetrail.direct.peers.PeerTable` of that router
    :ivar queries: number of queries to routers
    """

    RETRY_DELAYS_S = (0.0,) * len(CacheDiscovery.RETRY_DELAYS_S)
    DIGEST_REPLY_S = 0.0

    def __init__(self, parts_by_address, address, peers):
        super().__init__(None, peers, None, None)
        self.parts_by_address = parts_by_address
        self.address = address
        self.queries = 0

    async def _query_router(self, peer):
        self.queries += 1
        await asyncio.sleep(0)
        known_parts = self.parts_by_address[peer.address]
        self.parts_by_address[self.address] |= known_parts
        return True

    async def _query_servers(self):
        self.parts_by_address[self.address].add(self.address)


class TestSimultaneousRestart:
    """Many routers that restart together, some with slow links."""

    COUNT = 28

    def make_discoveries(self, uptime_s=0.0):
        """Return the discoveries of routers that know each other.

        :returns: (discoveries, known parts by router address)
        """
        clock = ManualClock(100.0)
        addresses = [(f"10.0.0.{n}", 1) for n in range(self.COUNT)]
        parts_by_address = {address: set() for address in addresses}
        discoveries = []
        for number, own_address in enumerate(addresses):
            table = PeerTable(clock, random.Random(number))
            table.own_address = own_address
            table.link_mbps = 5.0 if number % 4 == 0 else 100.0
            for other, address in enumerate(addresses):
                if address != own_address:
                    table.add_reported(address)
                    peer = table.peers_by_address[address]
                    peer.digest_received_s = clock()
                    peer.uptime_s = uptime_s
                    peer.link_mbps = 5.0 if other % 4 == 0 else 100.0
            discoveries.append(
                MemoryDiscovery(parts_by_address, own_address, table)
            )
        return discoveries, parts_by_address

    async def test_results_reach_all_routers_in_a_few_rounds(self):
        discoveries, parts_by_address = self.make_discoveries()
        await asyncio.gather(*(each.run(False) for each in discoveries))
        fast = {e.address for e in discoveries if not e.peers.has_slow_link()}
        rounds = 1 + len(MemoryDiscovery.RETRY_DELAYS_S)
        for each in discoveries:
            assert fast <= parts_by_address[each.address]
            assert each.queries <= MemoryDiscovery.PEERS_PER_ROUND * rounds

    def test_last_round_is_after_startup(self):
        # A placement in the first seconds after a restart does not reach the
        # routers that its sender does not know yet. These learn of it in the
        # last round, so the last round has to start after those seconds.
        last_s = CacheDiscovery.DIGEST_REPLY_S + sum(
            CacheDiscovery.RETRY_DELAYS_S
        )
        sent_s = PlacementQueue.SEND_COUNT * PeerSocket.UPDATE_INTERVAL_S
        assert last_s >= PeerTable.STARTUP_S + sent_s

    async def test_restart_of_one_router_takes_one_round(self):
        discoveries, _ = self.make_discoveries(uptime_s=60.0)
        await discoveries[0].run(False)
        assert discoveries[0].queries == MemoryDiscovery.PEERS_PER_ROUND

    def test_routers_with_slow_links_are_avoided(self):
        discoveries, _ = self.make_discoveries()
        for each in discoveries:
            chosen = each.peers.sample_fast(5)
            assert not any(peer.has_slow_link() for peer in chosen)
        first = [each.peers.is_first("e1") for each in discoveries]
        assert first.count(True) == 1
        assert not discoveries[first.index(True)].peers.has_slow_link()
