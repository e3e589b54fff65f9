"""Tests of what routers tell of their work at servers."""

import random

from boragetrail.direct.loads import LoadTotals
from standins.clock import ManualClock


class TestLoadTotals:
    """Sums of what others told."""

    def test_sums_are_those_of_fresh_routers_alone(self):
        """Random digests against a sum that is worked out anew."""
        clock = ManualClock(0.0)
        chance = random.Random(3)
        totals = LoadTotals(clock, 1.5)
        told = {}
        for _ in range(500):
            clock.now_s += chance.random() / 4
            router = chance.randrange(6)
            servers = chance.sample("stuvw", 3)
            loads = {s: (chance.randrange(3), 7, 0, 1) for s in servers}
            totals.told(router, loads)
            told[router] = (clock.now_s, loads)
            for server in "stuvw":
                wanted = sum(
                    each[server][0]
                    for told_s, each in told.values()
                    if server in each and clock.now_s - told_s <= 1.5
                )
                assert totals.load(server).requests == wanted
