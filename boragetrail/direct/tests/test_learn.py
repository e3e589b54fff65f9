"""Tests of learning cached parts after a start."""

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


def list_of(*parts):
    """Return a behaviour that lists cached parts."""

    async def behave(request):
        held = [["", part, 100, "m"] for part in parts]
        body = json.dumps({"epoch": 1, "next": 1, "held": held})
        return whole_answer(request, body.encode())

    return behave


class TestPartLearner:
    """Routers that restart."""

    async def prepare(self, cluster):
        """Make the service one of model engines that keep parts."""
        models = configuration(
            2, services=[service("apps", backend={"slots": 8})]
        )
        cluster.store.put("op", "config", models)
        for server in cluster.servers:
            server.default = list_of("deck", f"only-{server.id}")

    async def test_first_start_asks_no_server(self, cluster):
        await self.prepare(cluster)
        daemon = cluster.make_router()
        daemon.settings.first_start = True
        await daemon.open()
        await cluster.until(daemon.is_ready)
        await daemon.until_learned()
        assert not any(server.requests for server in cluster.servers)

    async def test_restart_of_all_asks_the_servers(self, cluster):
        await self.prepare(cluster)
        daemon = cluster.make_router()
        await daemon.open()
        await daemon.until_learned()
        assert daemon.fleet.prefix_index.holders("deck") == {"i-0", "i-1"}
        assert daemon.fleet.prefix_index.holders("only-i-1") == {"i-1"}
        assert [len(server.requests) for server in cluster.servers] == [1, 1]

    async def test_restart_of_one_asks_the_others(self, cluster):
        await self.prepare(cluster)
        first = await cluster.add_router()
        await first.until_learned()
        asked = sum(len(server.requests) for server in cluster.servers)
        first.fleet.prefix_index.add_holder("deck-2", "i-0")
        second = cluster.make_router()
        await second.open()
        await second.until_learned()
        assert second.fleet.prefix_index.holders("deck-2") == {"i-0"}
        now = sum(len(server.requests) for server in cluster.servers)
        assert now == asked


class MemoryLearner(CacheDiscovery):
    """Asks routers in memory, and counts what it asks."""

    RETRY_DELAYS_S = (0.0,) * len(CacheDiscovery.RETRY_DELAYS_S)
    DIGEST_REPLY_S = 0.0

    def __init__(self, parts_by_address, address, peers):
        super().__init__(None, peers, None, None)
        self.parts_by_address = parts_by_address
        self.address = address
        self.asked = 0

    async def _ask_router(self, peer):
        self.asked += 1
        await asyncio.sleep(0)
        told = self.parts_by_address[peer.address]
        self.parts_by_address[self.address] |= told
        return True

    async def _ask_servers(self):
        self.parts_by_address[self.address].add(self.address)


class TestSpread:
    """Many routers that restart at once, some with slow links."""

    COUNT = 28

    def learners(self, up_s=0.0):
        """Return learners that know of each other's routers."""
        clock = ManualClock(100.0)
        addresses = [(f"10.0.0.{n}", 1) for n in range(self.COUNT)]
        parts_by_address = {address: set() for address in addresses}
        made = []
        for number, own_address in enumerate(addresses):
            table = PeerTable(clock, random.Random(number))
            table.own_address = own_address
            table.link_mbps = 5.0 if number % 4 == 0 else 100.0
            for other, address in enumerate(addresses):
                if address != own_address:
                    peer = table.add(address)
                    peer.digest_received_s = clock()
                    peer.up_s = up_s
                    peer.link_mbps = 5.0 if other % 4 == 0 else 100.0
            made.append(MemoryLearner(parts_by_address, own_address, table))
        return made, parts_by_address

    async def test_what_one_heard_reaches_all_in_a_few_rounds(self):
        made, parts_by_address = self.learners()
        await asyncio.gather(*(each.run(False) for each in made))
        fast = {e.address for e in made if not e.peers.has_slow_link()}
        rounds = 1 + len(MemoryLearner.RETRY_DELAYS_S)
        for each in made:
            assert fast <= parts_by_address[each.address]
            assert each.asked <= MemoryLearner.PEERS_PER_ROUND * rounds

    def test_last_round_comes_after_all_know_of_each_other(self):
        # Placements are told a few times to the routers known then.
        last_s = CacheDiscovery.DIGEST_REPLY_S + sum(
            CacheDiscovery.RETRY_DELAYS_S
        )
        told_s = PlacementQueue.SEND_COUNT * PeerSocket.UPDATE_INTERVAL_S
        assert last_s >= PeerTable.STARTUP_S + told_s

    async def test_restart_of_one_asks_once(self):
        made, _ = self.learners(up_s=60.0)
        await made[0].run(False)
        assert made[0].asked == MemoryLearner.PEERS_PER_ROUND

    def test_slow_links_are_spared(self):
        made, _ = self.learners()
        for each in made:
            chosen = each.peers.sample_fast(5)
            assert not any(peer.has_slow_link() for peer in chosen)
        first = [each.peers.is_first("e1") for each in made]
        assert first.count(True) == 1
        assert not made[first.index(True)].peers.has_slow_link()
