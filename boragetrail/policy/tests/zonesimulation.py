"""Simulation of routers that each decide which share leaves their zone.

Requests are counted in ticks of 0.1 s. Routers hear of each other's requests
0.1 to 0.4 s later, and keep what they know if a datagram is lost.
"""

import collections
import random

from boragetrail.policy.zones import QueueZoneTime, ZoneLoad, ZoneShare

__all__ = ["ZoneSimulation"]

TICK_S = 0.1
MAX_DELAY_TICKS = 4
SLOTS = 6
# Routers of one zone whose news is lost together, if there are very many.
MAX_SOURCES = 30
ZONES = ("a", "b", "c")


class ZoneSimulation:
    """Play requests of one service with one application server per zone.

    :param routers: number of routers
    :param loss: part of the datagrams that is lost
    :param demand: mean number of requests of the callers of each zone, in the
        order of the zones
    :param crossing_s: time that leaving a zone has to gain
    :ivar capacities: slots that a zone sees in another, by (zone, other zone)
    :ivar shares: mean share that leaves each zone, by zone, for each tick
    :ivar loads: requests at the servers, by zone, for each tick
    """

    def __init__(self, routers, loss, demand, crossing_s, seed=1):
        self.random = random.Random(seed)
        self.loss = loss
        self.demand = dict(zip(ZONES, demand))
        self.homes = [ZONES[number % 3] for number in range(routers)]
        self.routers = [
            ZoneShare(home, QueueZoneTime(), crossing_s) for home in self.homes
        ]
        self.capacities = {(a, b): SLOTS for a in ZONES for b in ZONES}
        self.sources = min(MAX_SOURCES, routers)
        self.history = collections.deque(maxlen=MAX_DELAY_TICKS)
        self.news = [
            [dict.fromkeys(ZONES, 0)] * self.sources for _ in range(routers)
        ]
        self.shares, self.loads, self.crossed, self.sent = [], [], 0, 0
        self.ticks = 0

    def run(self, seconds):
        """Play some seconds."""
        for _ in range(round(seconds / TICK_S)):
            self._tick()

    def swing(self, zone, last_s):
        """Return (lowest, highest) share of a zone in the last seconds."""
        shares = [each[zone] for each in self.shares[-round(last_s / 0.1) :]]
        return min(shares), max(shares)

    def mean_load(self, zone, last_s):
        """Return the mean load of a zone's server in the last seconds."""
        loads = [each[zone] for each in self.loads[-round(last_s / 0.1) :]]
        return sum(loads) / len(loads)

    def _tick(self):
        self.ticks += 1
        counts = [self._requests(each) for each in self.routers]
        sums = [dict.fromkeys(ZONES, 0) for _ in range(self.sources)]
        for number, count in enumerate(counts):
            for zone in ZONES:
                sums[number % self.sources][zone] += count[zone]
        self.history.append(sums)
        for number, router in enumerate(self.routers):
            self._listen(self.news[number])
            # Routers update each 0.25 s, and not all at once.
            if (self.ticks + number) % 5 in (0, 2):
                self._update(number, router, counts[number])
        self._record(sums)

    def _requests(self, router):
        """Return the requests of a router in progress, by zone."""
        count = dict.fromkeys(ZONES, 0)
        mean = self.demand[router.home] * 3 / len(self.routers)
        # Arrivals of a tick that are still in progress at its end.
        gap = self.random.expovariate(1.0)
        while gap < mean:
            zone = router.draw(self.random)
            if not self.capacities[router.home, zone]:
                zone = self.random.choice([z for z in ZONES if z != zone])
            count[zone] += 1
            gap += self.random.expovariate(1.0)
        self.sent += sum(count.values())
        self.crossed += sum(count.values()) - count[router.home]
        return count

    def _listen(self, news):
        for source in range(self.sources):
            if self.random.random() >= self.loss:
                age = self.random.randrange(len(self.history))
                news[source] = self.history[age][source]

    def _update(self, number, router, own):
        loads = {}
        for zone in ZONES:
            load = sum(each[zone] for each in self.news[number])
            if self.sources == len(self.routers):
                others = self.news[number][number][zone]
                load += own[zone] - others
            capacity = self.capacities[router.home, zone]
            loads[zone] = ZoneLoad(load if capacity else 0, capacity)
        router.update(loads, self.ticks * TICK_S)

    def _record(self, sums):
        shares = {}
        for zone in ZONES:
            own = [
                each.flow.share for each in self.routers if each.home == zone
            ]
            shares[zone] = sum(own) / max(1, len(own))
        self.shares.append(shares)
        self.loads.append(
            {zone: sum(each[zone] for each in sums) for zone in ZONES}
        )
