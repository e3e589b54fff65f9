"""Admission of requests by priority while a service is overloaded.

Handles the load at which a service has fewer places than callers ask for. Each
router decides alone, from loads that are 0.1 to 0.4 s old, and may see only a
small part of the requests.

Two rules apply, and the stricter one decides. The first follows the load per
slot: each class of requests has a band of loads in which its probability
falls from 1 to 0, and the bands of less urgent classes are lower. It acts
within the age of the loads. The second is a share of all requests that the
service can take, which an integral controller adjusts [1]_ and which goes to
the most urgent classes first. It does not oscillate where requests end sooner
than routers hear of them.

.. [1] I. Cho et al., "Overload Control for us-scale RPCs with Breakwater",
   OSDI 2020.
"""

import dataclasses
import math

__all__ = [
    "AdmittedShare",
    "LoadBand",
    "RequestClass",
    "ReturnSchedule",
    "admission_probability",
    "allocate",
    "band_probability",
    "floor_probability",
    "is_below_floor",
    "load_band",
    "longest_wait_s",
    "start_delay_s",
]

# Load per slot at which a service is full if its requests run for long. Some
# wait at the server, so that no slot is idle while one is on its way.
MIN_CEILING = 1.25
# The same for short requests. Application servers refuse what exceeds four
# requests per slot.
MAX_CEILING = 3.5
# Part of the goal for which a request may wait at its server.
SERVER_WAIT_PART = 0.5
# Part of the way from a full slot to the ceiling below which all are admitted.
# With a smaller part, short bursts are refused while slots are free.
BURST_PART = 0.4
# Load per slot below which all are admitted, whatever the share.
FREE_LOAD = 0.7
# Part of the goal for which a request may wait at the router.
ROUTER_WAIT_PART = 0.3
# Part of the rate of all classes at which each class is served at least. The
# requirement is a quarter; each router measures with some error.
FLOOR_PART = 0.35
# Spread of the return of callers that get the same place at several routers.
RETURN_SPREAD_S = 0.15
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class RequestClass:
    """Name a class of requests that are admitted alike; the first goes first.

    :param above_fair_share: whether its customers sent more than their fair
        part
    :param priority: priority of the requests; 0 is the most urgent

    >>> RequestClass(False, 2) < RequestClass(True, 0) < RequestClass(True, 1)
    True
    """

    above_fair_share: bool
    priority: int


@dataclasses.dataclass(slots=True, frozen=True)
class LoadBand:
    """Hold the loads per slot between which a service is full.

    :param start: load up to which all requests are admitted
    :param ceiling: load from which none is
    """

    start: float
    ceiling: float


def load_band(work_s, goal_s):
    """Return the :class:`LoadBand` of a service.

    :param work_s: mean time in seconds that a request holds a slot; 0 if
        unknown
    :param goal_s: target for the response time in seconds

    >>> load_band(0.06, 0.3)
    LoadBand(start=2.0, ceiling=3.5)
    >>> load_band(2.0, 0.4)
    LoadBand(start=1.1, ceiling=1.25)
    """
    rounds = SERVER_WAIT_PART * goal_s / work_s if work_s else 0.0
    ceiling = min(MAX_CEILING, max(MIN_CEILING, 1.0 + rounds))
    start = 1.0 + BURST_PART * (ceiling - 1.0)
    return LoadBand(round(start, 6), round(ceiling, 6))


def band_probability(load, band, rank, ranks):
    """Return the probability that the load allows a request.

    :param load: known requests per slot of the service
    :param band: :class:`LoadBand`
    :param rank: number of more urgent classes that were seen lately
    :param ranks: number of classes that were seen lately

    >>> band = LoadBand(1.0, 2.0)
    >>> [band_probability(load, band, 1, 2) for load in (1.0, 1.25, 1.5)]
    [1.0, 0.5, 0.0]
    >>> [band_probability(load, band, 0, 2) for load in (1.5, 1.75, 2.0)]
    [1.0, 0.5, 0.0]
    """
    height = (band.ceiling - band.start) / max(1, ranks)
    upper = band.ceiling - rank * height
    return _clamp((upper - load) / height)


class AdmittedShare:
    """Share of all requests that a service can take at present.

    The share falls while the load exceeds the start of its band and rises
    while it is below. Its rates are proportional to the distance, so that it
    settles although loads are up to 0.4 s old.

    :param now_s: current monotonic time

    >>> share = AdmittedShare(0.0)
    >>> share.update(1.0, 1.0, LoadBand(1.05, 1.25))
    >>> share.value
    1.0
    >>> for n in range(10):
    ...     share.update(1.1 + n / 10, 1.25, LoadBand(1.05, 1.25))
    >>> round(share.value, 2)
    0.14
    """

    # Relative change of the share per second at the ceiling, and below the
    # start by as much. Larger rates oscillate at loads that are 0.3 s old.
    FALL_PER_S = 2.0
    RISE_PER_S = 1.0
    # The same while a part of the slots is free.
    FREE_RISE_PER_S = 3.0
    # Smaller shares would take long to recover.
    MIN_SHARE = 0.05
    MAX_STEP_S = 0.1

    __slots__ = ("value", "updated_s")

    def __init__(self, now_s):
        self.value = 1.0
        self.updated_s = now_s

    def update(self, now_s, load, band):
        """Adjust the share to a load.

        :param now_s: current monotonic time
        :param load: known requests per slot of the service
        :param band: :class:`LoadBand`
        """
        step_s = now_s - self.updated_s
        self.updated_s = now_s
        if load > band.start:
            # A router without requests does not learn how long the service
            # has been full.
            step_s = min(self.MAX_STEP_S, step_s)
        error = (load - band.start) / (band.ceiling - band.start)
        rate_per_s = -self.FALL_PER_S * _clamp(error)
        if error < 0.0:
            rate_per_s = self.RISE_PER_S * _clamp(-error)
        if load < FREE_LOAD:
            rate_per_s = self.FREE_RISE_PER_S
        exponent = min(10.0, rate_per_s * step_s)
        self.value = max(
            self.MIN_SHARE, min(1.0, self.value * math.exp(exponent))
        )

    def probability(self, load, allocated):
        """Return the probability that the share allows a request.

        :param load: known requests per slot of the service
        :param allocated: probability of the request's class, see
            :func:`allocate`

        >>> share = AdmittedShare(0.0)
        >>> share.probability(0.7, 0.2), share.probability(1.0, 0.2)
        (1.0, 0.2)
        """
        free = _clamp((1.0 - load) / (1.0 - FREE_LOAD))
        return allocated + (1.0 - allocated) * free


def allocate(offered, share):
    """Divide a share of the requests among their classes.

    Each class gets its floor, and the most urgent classes the rest. If a
    priority as a whole would be served less often than a less urgent one, as
    its customers are above their fair share, the other one gets no more.

    :param offered: dictionary of the recent number of requests by
        :class:`RequestClass`
    :param share: share of all requests that can be served
    :returns: dictionary of probabilities by class

    >>> first, second = RequestClass(False, 0), RequestClass(False, 1)
    >>> probabilities = allocate({first: 10, second: 10}, 0.75)
    >>> probabilities[first], round(probabilities[second], 3)
    (1.0, 0.5)
    >>> probabilities = allocate({first: 10, second: 10}, 0.5)
    >>> round(probabilities[first], 3), round(probabilities[second], 3)
    (0.825, 0.175)
    """
    floor = FLOOR_PART * share
    total = sum(offered.values())
    left = (share - floor) * total
    probabilities = {}
    for key in sorted(offered):
        wanted = (1.0 - floor) * offered[key]
        given = min(left, wanted)
        left -= given
        part = given / offered[key] if offered[key] else 0.0
        probabilities[key] = min(1.0, floor + part)
    return _in_order_of_priority(offered, probabilities)


def _in_order_of_priority(offered, probabilities):
    """Lower the probabilities of priorities that exceed a more urgent one."""
    limit = 1.0
    lowered = {}
    for priority in sorted({key.priority for key in offered}):
        keys = [key for key in offered if key.priority == priority]
        count = sum(offered[key] for key in keys)
        if not count:
            continue
        served = sum(offered[key] * probabilities[key] for key in keys)
        limit = min(limit, served / count)
        factor = limit * count / served if served else 1.0
        lowered.update({key: factor * probabilities[key] for key in keys})
    return {**probabilities, **lowered}


def admission_probability(load, band, place, allocated, share):
    """Return the probability with which a request is admitted.

    :param load: known requests per slot of the service
    :param band: :class:`LoadBand`
    :param place: (number of more urgent classes, number of classes) that were
        seen lately
    :param allocated: probability of the class, see :func:`allocate`
    :param share: :class:`AdmittedShare`

    >>> band, share = LoadBand(1.0, 2.0), AdmittedShare(0.0)
    >>> admission_probability(1.25, band, (1, 2), 1.0, share)
    0.5
    >>> admission_probability(1.25, band, (1, 2), 0.3, share)
    0.3
    """
    by_load = band_probability(load, band, *place)
    return min(by_load, share.probability(load, allocated))


def floor_probability(load, band, ranks):
    """Return the probability of a request whose class is below its floor.

    Only the load of a full service limits it, as that of the most urgent
    class.

    :param load: known requests per slot of the service
    :param band: :class:`LoadBand`
    :param ranks: number of classes that were seen lately
    """
    return band_probability(load, band, 0, ranks)


def is_below_floor(admitted, offered, all_admitted, all_offered):
    """Return whether a class is served less often than its floor.

    :param admitted: recent number of admitted requests of the class
    :param offered: recent number of requests of the class
    :param all_admitted: recent number of admitted requests of all classes
    :param all_offered: recent number of requests of all classes

    >>> is_below_floor(1, 10, 50, 100), is_below_floor(2, 10, 50, 100)
    (True, False)
    """
    floor = FLOOR_PART * all_admitted / max(1.0, all_offered)
    return admitted < floor * offered


def start_delay_s(load, work_s):
    """Return the expected time until a request gets a slot of a server.

    :param load: known requests per slot of the server
    :param work_s: mean time in seconds that a request holds a slot

    >>> start_delay_s(0.9, 0.06), start_delay_s(3.0, 0.06)
    (0.0, 0.12)
    """
    return max(0.0, load - 1.0) * work_s


def longest_wait_s(goal_s, left_s, work_s):
    """Return for how long a request may wait at the router.

    :param goal_s: target for the response time in seconds
    :param left_s: time to the deadline in seconds
    :param work_s: expected time of its work in seconds; 0 if unknown
    :returns: seconds, 0 if waiting cannot help

    >>> longest_wait_s(0.5, 1.5, 0.06), longest_wait_s(0.5, 0.1, 0.2)
    (0.15, 0.0)
    """
    return max(0.0, min(ROUTER_WAIT_PART * goal_s, left_s - work_s))


class ReturnSchedule:
    """Tell refused callers when to return, at the rate of the free places.

    Each caller gets the next place of the schedule. Those of less urgent
    classes come after all places that more urgent ones have got.

    >>> schedule = ReturnSchedule()
    >>> first, second = RequestClass(False, 0), RequestClass(False, 1)
    >>> [schedule.next_s(9.0, first, 0.5, 0.1, 0.0) for _ in range(3)]
    [0.5, 0.6, 0.7]
    >>> round(schedule.next_s(9.0, second, 0.5, 0.1, 0.0), 3)
    0.8
    """

    __slots__ = ("next_s_by_key",)

    def __init__(self):
        self.next_s_by_key = {}

    def next_s(self, now_s, key, delay_s, place_s, draw):
        """Return the seconds after which a refused caller should return.

        :param now_s: current monotonic time
        :param key: :class:`RequestClass` of the request
        :param delay_s: expected seconds until the service admits the class
        :param place_s: mean time in seconds between the places that it has
            for returning callers
        :param draw: random number from 0 to 1
        """
        taken_s = [
            next_s
            for each, next_s in self.next_s_by_key.items()
            if each <= key
        ]
        start_s = max(0.0, delay_s, max(taken_s, default=now_s) - now_s)
        start_s = min(start_s, MAX_RETRY_AFTER_S)
        self.next_s_by_key[key] = now_s + start_s + place_s
        wait_s = start_s + draw * RETURN_SPREAD_S
        return max(MIN_RETRY_AFTER_S, round(wait_s, 6))


def _clamp(value):
    return max(0.0, min(1.0, value))
