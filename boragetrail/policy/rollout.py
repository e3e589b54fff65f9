"""Decisions in the rollout of a version of a service.

Load that this module handles: some dozen routers, each with a few requests/s,
orders that last 12 s to some minutes, evidence that is up to 1 s old, and one
of five datagrams lost.

A small part of the requests goes to the new version first. Its responses are
compared with those of the old version to the same routes in the same seconds,
with the statistic of Mantel and Haenszel [1]_: given how many responses of a
stratum were bad, it tells whether too many of them were the new version's. An
impairment of both versions, or a route that often fails by itself, cancels
out.

.. [1] N. Mantel, W. Haenszel, "Statistical Aspects of the Analysis of Data
   From Retrospective Studies of Disease", Journal of the National Cancer
   Institute 22, 1959.
"""

import dataclasses
import enum
import math

__all__ = [
    "Comparison",
    "Counts",
    "ExposureQuota",
    "RolloutEvidence",
    "RolloutPlan",
    "Situation",
    "Stage",
    "compare",
    "is_alarming",
    "may_complete",
    "next_stage",
    "share_of",
]


class Stage(enum.IntEnum):
    """Name the stages of a rollout; routers adopt the highest that is known.

    ``COMPLETED`` and ``REVERTED`` are confirmed by the store, which holds one
    of them at most.
    """

    CANARY = 0
    FIRST_STEP = 1
    SECOND_STEP = 2
    DRAINING = 3
    REVERTING = 4
    COMPLETED = 5
    REVERTED = 6

    @property
    def is_final(self):
        """Return whether the store has confirmed the stage."""
        return self >= Stage.COMPLETED

    @property
    def is_reverse(self):
        """Return whether the new version gets no requests."""
        return self in (Stage.REVERTING, Stage.REVERTED)


# A crash is noticed in two slots at most. Losses in more have another cause.
MIN_LOSSY_SLOTS = 3
# Bad responses of the new version in the last slots, above this number and
# this multiple of the usual, are compared before the rollout goes on.
MIN_ALARMING_BAD = 5
ALARMING_FACTOR = 2.0
# Part of the requests that goes to the new version, after the canary stage.
SHARES_BY_STAGE = {
    Stage.FIRST_STEP: 0.25,
    Stage.SECOND_STEP: 0.5,
    Stage.DRAINING: 1.0,
    Stage.REVERTING: 0.0,
    Stage.COMPLETED: 1.0,
    Stage.REVERTED: 0.0,
}


def share_of(stage, canary_share, is_alarmed=False):
    """Return the part of the requests that the new version gets in a stage.

    :param canary_share: its part in the canary stage
    :param is_alarmed: see :func:`is_alarming`
    """
    if is_alarmed:
        stage = min(stage, Stage.FIRST_STEP)
    return SHARES_BY_STAGE.get(stage, canary_share)


@dataclasses.dataclass(slots=True)
class Counts:
    """Hold counts of the responses of a stratum, by version.

    A lost response is one whose connection broke. It is not counted as bad
    as well.
    """

    old: int = 0
    new: int = 0
    old_bad: int = 0
    new_bad: int = 0
    old_lost: int = 0
    new_lost: int = 0

    def values(self):
        """Return the counts as a tuple."""
        return (
            self.old,
            self.new,
            self.old_bad,
            self.new_bad,
            self.old_lost,
            self.new_lost,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutEvidence:
    """Tell what one router knows of a rollout.

    :param order: key of the order
    :param router: key of the run of the router
    :param stage: :class:`Stage` of the rollout at the router
    :param read_s: monotonic time at which some router first read the order
    :param cells: list of (slot, key of the route, :class:`Counts`) of the
        router's own responses, from its start on
    """

    order: int
    router: int
    stage: Stage
    read_s: float
    cells: tuple = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Comparison:
    """Hold how the responses of the new version compare with the old.

    :param responses: number of compared responses of the new version
    :param excess: number of its bad responses above the expected
    :param variance: variance of that number if the versions are alike
    :param routes: list of the same for each route by itself, since a route
        that often fails would hide another that the new version fails
    """

    # Each router tests the evidence again and again, and each knows another
    # part of that of the last second, so one test may rarely err. One response
    # in ten is the new version's: four bad ones among a few are all its own by
    # chance in 1 of 10**4 cases.
    BAD_SCORE = 4.5
    MIN_BAD_EXCESS = 3.2
    # A doubtful version stays in its stage. Doubts may pass as evidence grows,
    # but at the latest time of a verdict they lead to a revert.
    DOUBT_SCORE = 3.0
    MIN_DOUBT_EXCESS = 1.8
    # With few responses no score is high, so a large part of bad responses is
    # doubtful at a lower score.
    DOUBT_PART = 0.15
    MIN_DOUBT_SCORE = 1.5
    # Short orders with few requests yield little more. The later steps judge a
    # larger part of the requests.
    MIN_RESPONSES = 12

    responses: int = 0
    excess: float = 0.0
    variance: float = 0.0
    routes: tuple = ()

    @property
    def score(self):
        """Return the excess in standard deviations, corrected by one half."""
        if self.excess <= 0.5:
            return 0.0
        return (self.excess - 0.5) / math.sqrt(max(self.variance, 1e-9))

    @property
    def is_bad(self):
        """Return whether the new version is worse, if on one route only."""
        is_large = self.excess >= self.MIN_BAD_EXCESS
        if is_large and self.score >= self.BAD_SCORE:
            return True
        return any(each.is_bad for each in self.routes)

    @property
    def is_doubtful(self):
        """Return whether the new version may be worse."""
        if self._exceeds(self.DOUBT_SCORE):
            return True
        is_large_part = self.excess >= self.DOUBT_PART * self.responses
        if is_large_part and self._exceeds(self.MIN_DOUBT_SCORE):
            return True
        return any(each._exceeds(self.DOUBT_SCORE) for each in self.routes)

    def _exceeds(self, doubt_score):
        is_large = self.excess >= self.MIN_DOUBT_EXCESS
        return is_large and self.score >= doubt_score

    @property
    def is_good(self):
        """Return whether there is enough evidence and no doubt."""
        return self.responses >= self.MIN_RESPONSES and not self.is_doubtful


def compare(counts_by_stratum):
    """Compare the versions over all strata, and over those of each route.

    A server that crashes ends many responses at a time. The lost responses of
    a version in a slot therefore count as one bad response, unless the new
    version loses responses again and again.

    :param counts_by_stratum: :class:`Counts` by (slot, key of the route)
    :returns: :class:`Comparison`

    >>> good = {(0, 1): Counts(90, 15, 9, 1), (1, 1): Counts(90, 15, 9, 1)}
    >>> compare(good).is_good, compare(good).is_bad
    (True, False)
    >>> compare({(slot, 1): Counts(90, 10, 0, 3) for slot in (0, 1)}).is_bad
    True
    >>> lost = {(slot, 1): Counts(90, 10, 0, 0, 0, 9) for slot in (0, 1, 2)}
    >>> compare(lost).is_bad, compare({(0, 1): lost[0, 1]}).is_bad
    (True, False)
    """
    comparable = {
        stratum: counts
        for stratum, counts in counts_by_stratum.items()
        if counts.new and counts.old
    }
    lossy = {slot for (slot, _), each in comparable.items() if each.new_lost}
    old_losses = _LossCounter(len(lossy) >= MIN_LOSSY_SLOTS)
    new_losses = _LossCounter(len(lossy) >= MIN_LOSSY_SLOTS)
    sums_by_route = {}
    for (slot, route), counts in comparable.items():
        new_bad = counts.new_bad + new_losses.counted(counts.new_lost, slot)
        bad = new_bad + counts.old_bad
        bad += old_losses.counted(counts.old_lost, slot)
        sums = sums_by_route.setdefault(route, [0, 0.0, 0.0])
        for i, each in enumerate(_stratum_sums(counts, new_bad, bad)):
            sums[i] += each
    totals = [sum(column) for column in zip(*sums_by_route.values())]
    routes = tuple(Comparison(*sums) for sums in sums_by_route.values())
    return Comparison(*totals or (0, 0.0, 0.0), routes)


def _stratum_sums(counts, new_bad, bad):
    """Return what a stratum adds to (responses, excess, variance).

    :param new_bad: bad responses of the new version
    :param bad: bad responses of both versions
    """
    total = counts.old + counts.new
    part = counts.new / total
    others = (total - bad) / max(1, total - 1)
    variance = bad * part * (1 - part) * others
    return counts.new, new_bad - bad * part, variance


def is_alarming(recent, overall):
    """Return whether the new version has got worse, or both have.

    Without responses of the old version there is nothing to compare with, so
    the old version gets requests again until the versions can be compared.

    :param recent: :class:`Counts` of the last slots
    :param overall: :class:`Counts` of all slots

    >>> overall = Counts(900, 90, 9, 1)
    >>> is_alarming(Counts(0, 50, 0, 20), overall)
    True
    >>> is_alarming(Counts(0, 50, 0, 4), overall)
    False
    """
    usual = overall.old_bad / max(1, overall.old)
    bad = recent.new_bad + recent.new_lost
    return bad > MIN_ALARMING_BAD + ALARMING_FACTOR * usual * recent.new


class _LossCounter:
    """Count lost responses, once for each slot unless all count.

    :param counts_all: whether each lost response counts
    """

    __slots__ = ("counts_all", "slots")

    def __init__(self, counts_all):
        self.counts_all = counts_all
        self.slots = set()

    def counted(self, lost, slot):
        """Return how many of the lost responses of a stratum count."""
        if self.counts_all or not lost:
            return lost
        if slot in self.slots:
            return 0
        self.slots.add(slot)
        return 1


class ExposureQuota:
    """A router's quota of the requests to a version that may be bad.

    The quota is a part of the router's own requests since it read the order,
    and of the margin, so the sum over all routers stays below the limit
    whatever they know of each other.

    :param ratio: largest part of the requests of all routers
    :param margin: further requests of all routers

    >>> quota = ExposureQuota(0.1, 50)
    >>> for _ in range(100):
    ...     quota.record_request()
    >>> sum(quota.try_acquire(24) for _ in range(20))
    5
    """

    # Parts of the limits that the sum of the quotas uses. The steps after the
    # canary stage, and requests in flight at a verdict, need the rest.
    USED_RATIO = 0.45
    USED_MARGIN = 0.6

    __slots__ = ("ratio", "margin", "requests", "sent")

    def __init__(self, ratio, margin):
        self.ratio = ratio
        self.margin = margin
        self.requests = 0
        self.sent = 0

    @property
    def share(self):
        """Return the part of the requests that the quota allows."""
        return self.USED_RATIO * self.ratio

    def record_request(self):
        """Count a caller's request."""
        self.requests += 1

    def has_room(self, routers, progress=1.0):
        """Return whether one more request may be sent.

        :param routers: number of routers that may send
        :param progress: part of the margin that may be used by now, so that
            the evidence is spread over time
        """
        part = self.USED_MARGIN * self.margin / max(1, routers)
        part *= min(1.0, progress)
        return self.sent + 1 <= self.share * self.requests + part

    def try_acquire(self, routers, progress=1.0):
        """Count one more request to the new version if the quota allows it.

        :param routers: see :meth:`has_room`
        :param progress: see :meth:`has_room`
        :returns: whether the request may be sent
        """
        if not self.has_room(routers, progress):
            return False
        self.sent += 1
        return True


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutPlan:
    """Hold the times of an order, in seconds since it was read.

    :param duration_s: time in which a good version is in place

    >>> plan = RolloutPlan(12.0)
    >>> round(plan.canary_s, 2), round(plan.step_s, 2), plan.slot_s
    (6.84, 0.6, 1.5)
    """

    MIN_SLOT_S = 1.5
    MAX_SLOTS = 24
    # Longer steps use up the allowed exposure.
    MAX_STEP_S = 1.0
    # Requests on their way reach the old servers for this time after the last
    # router has learned of the stage.
    MIN_DRAIN_S = 1.0
    # Time that responses of the old servers have to end. A short order leaves
    # less time for the canary stage instead.
    DRAIN_S = 3.0

    duration_s: float

    @property
    def slot_s(self):
        """Return the length of the slots of the comparison."""
        return max(self.MIN_SLOT_S, self.duration_s / self.MAX_SLOTS)

    @property
    def canary_s(self):
        """Return the end of the canary stage."""
        left_s = self.completion_s - 2 * self.step_s - self.DRAIN_S
        return max(0.4 * self.duration_s, min(0.62 * self.duration_s, left_s))

    @property
    def step_s(self):
        """Return the length of each step after the canary stage."""
        return min(self.MAX_STEP_S, 0.05 * self.duration_s)

    @property
    def verdict_s(self):
        """Return when a version without a good verdict is reverted."""
        return 0.78 * self.duration_s

    @property
    def completion_s(self):
        """Return when a good version is completed, whatever still runs."""
        return 0.92 * self.duration_s

    @property
    def isolated_verdict_s(self):
        """Return when a router that hears no others reverts a version."""
        return 0.96 * self.duration_s


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """Hold what a router knows of a rollout when it decides.

    :param stage: :class:`Stage`
    :param age_s: seconds since the order was read
    :param stage_s: seconds since this router entered the stage
    :param comparison: :class:`Comparison`
    :param is_current: whether the evidence of enough other routers is recent
    :param is_idle: whether no router has work at old servers
    :param is_alarmed: see :func:`is_alarming`
    """

    stage: Stage
    age_s: float
    stage_s: float
    comparison: Comparison
    is_current: bool
    is_idle: bool = False
    is_alarmed: bool = False


def next_stage(plan, situation):
    """Return the stage that a rollout enters now.

    A bad version is reverted at any time. Every other decision is one of
    routers that hear each other.

    :param plan: :class:`RolloutPlan`
    :param situation: :class:`Situation`
    :returns: :class:`Stage`, the current one if nothing changes

    >>> def at(age_s, *comparison, is_current=True):
    ...     situation = Situation(
    ...         Stage.CANARY, age_s, age_s, Comparison(*comparison), is_current
    ...     )
    ...     return next_stage(RolloutPlan(20.0), situation).name
    >>> at(13.0, 50, 0.0, 1.0), at(13.0, 9, 0.0, 1.0), at(16.0, 9, 0.0, 1.0)
    ('FIRST_STEP', 'CANARY', 'REVERTING')
    >>> at(2.0, 5, 4.5, 0.4), at(16.0, 50, 0.0, 1.0, is_current=False)
    ('REVERTING', 'CANARY')
    """
    stage = situation.stage
    if stage >= Stage.REVERTING:
        return stage
    if situation.comparison.is_bad:
        return Stage.REVERTING
    if stage is Stage.DRAINING:
        is_due = situation.age_s >= plan.completion_s
        is_doubtful = situation.comparison.is_doubtful
        return Stage.REVERTING if is_due and is_doubtful else stage
    due_s = plan.verdict_s
    if not situation.is_current:
        due_s = plan.isolated_verdict_s
    if situation.age_s >= due_s:
        return Stage.REVERTING
    if not situation.is_current or not situation.comparison.is_good:
        return stage
    if stage is Stage.CANARY:
        is_due = situation.age_s >= plan.canary_s
    else:
        is_due = situation.stage_s >= plan.step_s
    return Stage(stage + 1) if is_due else stage


def may_complete(plan, situation):
    """Return whether the status of a good version may be written.

    :param plan: :class:`RolloutPlan`
    :param situation: :class:`Situation`
    """
    if situation.stage is not Stage.DRAINING:
        return False
    if situation.comparison.is_doubtful:
        return False
    if situation.age_s >= plan.completion_s:
        return True
    if situation.is_alarmed or not situation.is_current:
        return False
    return situation.is_idle and situation.stage_s >= plan.MIN_DRAIN_S
