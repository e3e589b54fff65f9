"""Decision of which share of the requests leaves a router's zone.

The load is requests of callers that are spread unevenly over zones, while
routers learn of each other's requests with a delay and some losses. Requests
that leave the zone take longer and cost money, so they leave only if servers
of another zone are expected to be faster by more than that.

The load that leaves is that of a water-filling over the zones [1]_: zones
above the common level give load to those below it. A zone that gives load
stays above the level by the price of a crossing. Each router reconstructs the
load that its zone would have without its own decision, so the result does not
depend on the share that is in force, and then moves the share slowly towards
it.

.. [1] D. Bertsekas, R. Gallager, "Data Networks", 2nd edition, Prentice Hall
   1992, section 5.5.
"""

import abc
import dataclasses
import math

__all__ = [
    "EngineZoneTime",
    "Outflow",
    "QueueZoneTime",
    "ZoneLoad",
    "ZoneShare",
    "ZoneTime",
    "crossing_time_s",
    "outflow",
]

# Steps of the bisection for the common level; the error is the largest time
# divided by 2**24.
BISECTION_STEPS = 24
# Mean number of requests at the servers of a zone, relative to that of all
# zones, from which on requests leave in any case. The limits on one server's
# load (see cap.py) leave this room to the servers that have more than others.
MAX_ZONE_MULTIPLE = 1.35
ZONE_SLACK_REQUESTS = 0.5
# A larger share would not allow to tell what load the zone has by itself.
MAX_SHARE = 0.9
# A smaller mean share of a zone without servers is forgotten.
MIN_SENT = 1e-4


@dataclasses.dataclass(slots=True)
class ZoneLoad:
    """Hold the load of one service's servers in one zone.

    :param load: load of the servers, in the unit of a :class:`ZoneTime`
    :param capacity: capacity of the servers that may get requests, 0 if none
    :param requests: number of requests, if their number per capacity is
        limited relative to the mean of all zones, else 0
    """

    load: float
    capacity: float
    requests: float = 0.0

    def between(self, end, part):
        """Return the loads after a part of the way to others.

        The capacity is that of the others.

        :param end: :class:`ZoneLoad`
        """
        return ZoneLoad(
            _between(self.load, end.load, part),
            end.capacity,
            _between(self.requests, end.requests, part),
        )


@dataclasses.dataclass(slots=True)
class Outflow:
    """Hold which part of a zone's load goes to other zones.

    :param share: part of the load that leaves
    :param weights_by_zone: part of that load that each other zone gets
    """

    share: float = 0.0
    weights_by_zone: dict = dataclasses.field(default_factory=dict)


class ZoneTime(abc.ABC):
    """Interface of the time that a request waits at a zone's servers.

    :cvar NOISE_S: difference of the times of two zones, in seconds, that the
        random arrival of requests alone causes; no request leaves for less
    """

    NOISE_S = 0.0

    @abc.abstractmethod
    def time_s(self, load, capacity):
        """Return the expected wait in seconds."""

    @abc.abstractmethod
    def load_at(self, time_s, capacity):
        """Return the largest load with an expected wait."""


class EngineZoneTime(ZoneTime):
    """Wait at model engines, which grows with the tokens of their requests.

    The load is in prefill tokens and the capacity in engines. The wait is
    below the mean work of an engine, since a request goes to an engine with
    less work than others, and most have none as long as their mean is below
    :attr:`FREE_TOKENS`.

    >>> time = EngineZoneTime()
    >>> [round(1000 * time.time_s(load, 10)) for load in (5e3, 2e4, 2e5)]
    [2, 25, 455]
    """

    NOISE_S = 0.002
    # Work of about one request at an engine.
    FREE_TOKENS = 2000.0
    # Prefill tokens that an engine processes per second.
    TOKENS_PER_S = 40000.0

    def time_s(self, load, capacity):
        """Return the expected wait; see :meth:`ZoneTime.time_s`."""
        tokens = load / capacity
        waited = tokens * tokens / (tokens + self.FREE_TOKENS)
        return waited / self.TOKENS_PER_S

    def load_at(self, time_s, capacity):
        """Return the largest load; see :meth:`ZoneTime.load_at`."""
        waited = time_s * self.TOKENS_PER_S
        root = math.sqrt(waited**2 + 4 * waited * self.FREE_TOKENS)
        return capacity * (waited + root) / 2


class QueueZoneTime(ZoneTime):
    """Wait at servers with slots, where requests queue for a free slot.

    The load is in requests and the capacity in slots. Requests arrive
    independently of each other, so some of them queue before the mean load
    reaches the number of slots. The expected number of requests in the queue
    is approximated by a hyperbola, whose inverse has a closed form. It is 0
    up to :attr:`FREE_PART` of the slots.

    >>> time = QueueZoneTime()
    >>> [round(1000 * time.time_s(load, 6)) for load in (3, 5, 6, 9)]
    [0, 35, 72, 230]
    """

    NOISE_S = 0.01
    # Time of the work of one request. The last request in a queue waits for
    # about that time for each other.
    WORK_S = 0.06
    # Squared width of the transition, in requests per slot; 0.4 times the
    # standard deviation of a Poisson distribution is queued at full load.
    WIDTH = 0.16
    FREE_PART = 0.5

    def time_s(self, load, capacity):
        """Return the expected wait; see :meth:`ZoneTime.time_s`."""
        queued = self._queued(load, capacity) - self._free_queued(capacity)
        return self.WORK_S * max(0.0, queued)

    def load_at(self, time_s, capacity):
        """Return the largest load; see :meth:`ZoneTime.load_at`."""
        queued = time_s / self.WORK_S + self._free_queued(capacity)
        return queued - self.WIDTH * capacity / queued + capacity - 1

    def _queued(self, load, capacity):
        excess = load + 1 - capacity
        product = self.WIDTH * capacity
        root = math.sqrt(excess**2 + 4 * product)
        if excess < 0:
            # The sum of both would be 0 at a very large capacity.
            return 2 * product / (root - excess)
        return (excess + root) / 2

    def _free_queued(self, capacity):
        return self._queued(self.FREE_PART * capacity, capacity)


def crossing_time_s(costs, size_bytes):
    """Return the time that a request in another zone has to gain.

    :param costs: :class:`~boragetrail.settings.direct.ZoneCosts`
    :param size_bytes: bytes of the request and its response
    """
    # A request and its response take 1 ms each between zones, and 0.1 ms each
    # within a zone.
    network_s = 0.0018
    return network_s + costs.crossing_s + costs.s_per_mb * size_bytes / 1e6


def outflow(home, loads_by_zone, time, crossing_s):
    """Return the :class:`Outflow` of a zone by water-filling.

    Zones without capacity neither get nor give load.

    :param home: name of the zone
    :param loads_by_zone: :class:`ZoneLoad` by the name of the zone
    :param time: :class:`ZoneTime`
    :param crossing_s: time in seconds that leaving has to gain

    >>> loads = {"a": ZoneLoad(12, 6), "b": ZoneLoad(2, 6)}
    >>> flow = outflow("a", loads, QueueZoneTime(), 0.02)
    >>> round(flow.share, 2), flow.weights_by_zone
    (0.4, {'b': 1.0})
    >>> outflow("b", loads, QueueZoneTime(), 0.02).share
    0.0
    """
    usable = {
        zone: each for zone, each in loads_by_zone.items() if each.capacity > 0
    }
    if home not in usable or usable[home].load <= 0:
        return Outflow()
    level_s = _level_s(usable.values(), time, crossing_s)
    own = usable[home]
    moved = own.load - time.load_at(level_s + crossing_s, own.capacity)
    weights = _weights(
        {
            zone: time.load_at(level_s, each.capacity) - each.load
            for zone, each in usable.items()
            if zone != home
        }
    )
    flow = Outflow(min(MAX_SHARE, max(0.0, moved / own.load)), weights)
    if not weights or not flow.share:
        flow = Outflow()
    limited = _limited_outflow(home, usable)
    return limited if limited.share > flow.share else flow


def _limited_outflow(home, usable):
    """Return the :class:`Outflow` that limits the requests in a zone.

    :param usable: :class:`ZoneLoad` with capacity by the name of the zone
    """
    requests = sum(each.requests for each in usable.values())
    mean = requests / sum(each.capacity for each in usable.values())
    own = usable[home]
    limit = (MAX_ZONE_MULTIPLE * mean + ZONE_SLACK_REQUESTS) * own.capacity
    if own.requests <= limit:
        return Outflow()
    weights = _weights(
        {
            zone: mean * each.capacity - each.requests
            for zone, each in usable.items()
            if zone != home
        }
    )
    return Outflow(1 - limit / own.requests if weights else 0.0, weights)


def _weights(rooms_by_zone):
    """Return the parts of zones in the room of all; others are left out."""
    rooms = {zone: room for zone, room in rooms_by_zone.items() if room > 0}
    total = sum(rooms.values())
    return {zone: room / total for zone, room in rooms.items()}


def _level_s(loads, time, crossing_s):
    """Return the wait at which zones have room for what others give.

    :param loads: collection of :class:`ZoneLoad` with capacity
    """
    low_s = 0.0
    high_s = max(time.time_s(each.load, each.capacity) for each in loads)
    if _room_left(loads, time, crossing_s, low_s) >= 0:
        return low_s
    for _ in range(BISECTION_STEPS):
        middle_s = (low_s + high_s) / 2
        if _room_left(loads, time, crossing_s, middle_s) < 0:
            low_s = middle_s
        else:
            high_s = middle_s
    return high_s


def _room_left(loads, time, crossing_s, level_s):
    """Return the room of zones below a level, less what the others give."""
    left = 0.0
    for each in loads:
        room = time.load_at(level_s, each.capacity) - each.load
        if room > 0:
            left += room
            continue
        kept = time.load_at(level_s + crossing_s, each.capacity)
        left -= max(0.0, each.load - kept)
    return left


class ZoneShare:
    """Share of a service's requests that leaves a zone, damped.

    Loads are averaged over some time, as is the share that was in force in
    that time. The load of the zone without the share follows from both, so
    that the share which is sought does not depend on the one in force.

    :param home: name of the zone
    :param time: :class:`ZoneTime`
    :param crossing_s: time in seconds that leaving has to gain
    :ivar flow: :class:`Outflow` that is in force
    """

    # Time constants of the means and of the share. Loads are up to 0.4 s old,
    # and the number of requests at a server says little by itself: with
    # shorter constants the share of a zone with few routers swings.
    MEAN_S = 2.5
    DAMPING_S = 2.0
    # A share that falls below this ends.
    MIN_SHARE = 0.01

    __slots__ = (
        "home",
        "time",
        "crossing_s",
        "flow",
        "loads_by_zone",
        "sent_by_zone",
        "updated_s",
    )

    def __init__(self, home, time, crossing_s):
        self.home = home
        self.time = time
        self.crossing_s = crossing_s
        self.flow = Outflow()
        self.loads_by_zone = {}
        self.sent_by_zone = {}
        self.updated_s = None

    def update(self, loads_by_zone, now_s):
        """Move the share towards that of the current loads.

        :param loads_by_zone: :class:`ZoneLoad` by the name of the zone
        :param now_s: monotonic time in seconds
        """
        passed_s = 0.0 if self.updated_s is None else now_s - self.updated_s
        self.updated_s = now_s
        self._average(loads_by_zone, 1 - math.exp(-passed_s / self.MEAN_S))
        target = outflow(
            self.home,
            self._own_loads(),
            self.time,
            self.crossing_s + self.time.NOISE_S,
        )
        self._approach(target, 1 - math.exp(-passed_s / self.DAMPING_S))
        self._leave_out(loads_by_zone)

    def draw(self, random):
        """Return the zone that the next request should be served in.

        :param random: random generator
        """
        chance = random.random() if self.flow.share else 1.0
        for zone, weight in self.flow.weights_by_zone.items():
            chance -= self.flow.share * weight
            if chance < 0:
                return zone
        return self.home

    def _average(self, loads_by_zone, part):
        means = self.loads_by_zone
        self.loads_by_zone = {
            zone: means.get(zone, each).between(each, part)
            for zone, each in loads_by_zone.items()
        }
        sent_by_zone = {}
        for zone in loads_by_zone | self.sent_by_zone:
            sent = self.flow.share * self.flow.weights_by_zone.get(zone, 0.0)
            mean = self.sent_by_zone.get(zone, 0.0)
            mean = _between(mean, sent, part)
            if zone in loads_by_zone or mean >= MIN_SENT:
                sent_by_zone[zone] = mean
        self.sent_by_zone = sent_by_zone

    def _own_loads(self):
        """Return the loads that the zones would have without the share."""
        left = min(MAX_SHARE, sum(self.sent_by_zone.values()))
        home = self.loads_by_zone.get(self.home, ZoneLoad(0.0, 0.0))
        own = ZoneLoad(
            home.load / (1 - left), home.capacity, home.requests / (1 - left)
        )
        loads = {self.home: own}
        for zone, each in self.loads_by_zone.items():
            sent = self.sent_by_zone.get(zone, 0.0)
            if zone != self.home:
                loads[zone] = ZoneLoad(
                    max(0.0, each.load - sent * own.load),
                    each.capacity,
                    max(0.0, each.requests - sent * own.requests),
                )
        return loads

    def _approach(self, target, part):
        flow = self.flow
        zones = {**flow.weights_by_zone, **target.weights_by_zone}
        sent_by_zone = {
            zone: _between(
                flow.share * flow.weights_by_zone.get(zone, 0.0),
                target.share * target.weights_by_zone.get(zone, 0.0),
                part,
            )
            for zone in zones
        }
        if not target.share and sum(sent_by_zone.values()) < self.MIN_SHARE:
            sent_by_zone = {}
        self._set(sent_by_zone)

    def _leave_out(self, loads_by_zone):
        """Send nothing to zones that have no capacity any more."""
        flow = self.flow
        has_home = self.home in loads_by_zone
        if not has_home or not loads_by_zone[self.home].capacity:
            self.flow = Outflow()
            return
        self._set(
            {
                zone: flow.share * weight
                for zone, weight in flow.weights_by_zone.items()
                if zone in loads_by_zone and loads_by_zone[zone].capacity > 0
            }
        )

    def _set(self, sent_by_zone):
        share = sum(sent_by_zone.values())
        if not share:
            self.flow = Outflow()
            return
        weights = {zone: sent / share for zone, sent in sent_by_zone.items()}
        self.flow = Outflow(share, weights)


def _between(start, end, part):
    return start + part * (end - start)
