"""Tests of the sums of counts from other routers."""

import random

from boragetrail.direct.loads import PeerSums
from standins.clock import ManualClock


class TestPeerSums:
    """Sums that are updated when counts arrive and when they expire."""

    def test_sums_cover_recent_counts_only(self):
        """Compare with sums recomputed from all counts after each step."""
        clock = ManualClock(0.0)
        generator = random.Random(3)
        sums = PeerSums(clock, 1.5)
        counts_by_router = {}
        for _ in range(500):
            clock.now_s += generator.random() / 4
            router = generator.randrange(6)
            servers = generator.sample("stuvw", 3)
            counts = [(s, generator.randrange(3), 7) for s in servers]
            sums.replace(router, counts)
            counts_by_router[router] = (clock.now_s, counts)
            for server in "stuvw":
                fresh = [
                    (requests, tokens)
                    for sent_s, each in counts_by_router.values()
                    for key, requests, tokens in each
                    if key == server and clock.now_s - sent_s <= 1.5
                ]
                expected = tuple(map(sum, zip(*fresh))) or (0, 0)
                assert sums.sum(server) == expected
