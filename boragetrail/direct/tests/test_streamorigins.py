"""Tests of the exchange of the origins of streams."""

import random

import pytest

from boragetrail.direct.knowledge.streams import StreamOrigins
from boragetrail.direct.peers import PeerTable
from standins.clock import ManualClock

PORT = 7000


class Network:
    """Deliver records between the origin tables of a fleet at once.

    :param count: number of routers
    """

    def __init__(self, count):
        self.clock = ManualClock(500.0)
        self.down = set()
        self.origins_by_address = {}
        for number in range(count):
            address = (f"10.0.{number // 256}.{number % 256}", PORT)
            peers = PeerTable(self.clock, random.Random(number))
            peers.own_address = address
            origins = StreamOrigins(peers)
            origins.loaded.set()
            self.origins_by_address[address] = origins
        for address, origins in self.origins_by_address.items():
            for other in self.origins_by_address:
                if other != address:
                    origins.peers.add_reported(other)
            origins.send_to = self.sender(address)

    def sender(self, address):
        """Return the function by which a router sends records."""

        def send(record, addresses):
            for other in addresses:
                if other not in self.down:
                    self.origins_by_address[other].apply(record, address)

        return send

    def routers(self):
        """Return the tables of all routers as a list."""
        return list(self.origins_by_address.values())


class TestStreamOrigins:
    """A router that goes on with a stream finds out where it began."""

    # The digests of most peers are older than MAX_DIGEST_AGE_S there.
    @pytest.mark.parametrize("routers", [2, 5, 28, 68, 330])
    async def test_router_that_began_it_is_down(self, routers):
        network = Network(routers + 1)
        first, *others = network.routers()
        first.add("request-1", "v2")
        network.down.add(first.peers.own_address)
        for other in others:
            found = await other.find("request-1")
            assert found is not None and found.version == "v2"

    async def test_unknown_stream(self):
        network = Network(5)
        first, *_ = network.routers()
        assert await first.find("request-1") is None
        assert not first.queries_by_stream

    async def test_first_statement_holds(self):
        network = Network(3)
        first, second, _ = network.routers()
        first.add("request-1", "v1")
        second.add("request-1", "v2")
        found = await second.find("request-1")
        assert found.version == "v1"

    def test_number_of_streams_is_bounded(self):
        network = Network(1)
        (origins,) = network.routers()
        origins.MAX_STREAMS = 10
        for number in range(50):
            origins.add(f"request-{number}", "v1")
        assert len(origins.origins_by_stream) == 10

    def test_streams_expire(self):
        network = Network(1)
        (origins,) = network.routers()
        origins.add("request-1", "v1")
        network.clock.now_s += 31.0
        origins.add("request-2", "v1")
        assert len(origins.origins_by_stream) == 1
        assert len(origins.take_unsaved(5)) == 1


class TestReplacedRouters:
    """Streams are resumed beside listed routers that are gone.

    Only those were told of a stream and asked for it, so it was refused.
    """

    STREAMS = 24

    @pytest.mark.parametrize("listed", [0, 64, 250])
    async def test_living_routers_know_each_stream(self, listed):
        network = Network(4)
        lost = [(f"10.0.3.{number + 1}", PORT) for number in range(listed)]
        network.down.update(lost)
        network.clock.now_s += PeerTable.STARTUP_S
        for origins in network.routers():
            origins.peers.add_listed(lost)
        first, *others = network.routers()
        for number in range(self.STREAMS):
            first.add(f"request-{number}", "v2")
        network.down.add(first.peers.own_address)
        for number in range(self.STREAMS):
            found = await others[number % 3].find(f"request-{number}")
            assert found is not None and found.version == "v2"
