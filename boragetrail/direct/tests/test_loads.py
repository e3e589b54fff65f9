"""Tests of what routers tell of their work at servers."""

import random

from boragetrail.direct.loads import PeerSums
from standins.clock import ManualClock


class TestToldSums:
    """Sums of what others told."""

    def test_sums_are_those_of_fresh_routers_alone(self):
        """Random digests against a sum that is worked out anew."""
        clock = ManualClock(0.0)
        chance = random.Random(3)
        sums = PeerSums(clock, 1.5)
        told = {}
        for _ in range(500):
            clock.now_s += chance.random() / 4
            router = chance.randrange(6)
            servers = chance.sample("stuvw", 3)
            entries = [(s, chance.randrange(3), 7) for s in servers]
            sums.replace(router, entries)
            told[router] = (clock.now_s, entries)
            for server in "stuvw":
                fresh = [
                    (requests, tokens)
                    for told_s, each in told.values()
                    for key, requests, tokens in each
                    if key == server and clock.now_s - told_s <= 1.5
                ]
                wanted = tuple(map(sum, zip(*fresh))) or (0, 0)
                assert sums.sum(server) == wanted
