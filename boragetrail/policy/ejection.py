"""Decisions about servers that fail more of their requests than others do.

Load that this module handles: 24 routers send 53 requests per second to 3
servers, one of which answers every request with an error. A single router sees
about one result of that server per second, so the results of all routers are
needed to notice the failures within tenths of a second.

Failures are compared with those of the service's other servers. If all servers
fail alike, each failure of the service is at a server with the probability
that equals its share of the requests, whatever the failure rate is. A server
is failing if its part of the failures is larger than chance explains [1]_.

.. [1] J. Przyborowski, H. Wilenski, "Homogeneity of Results in Testing Samples
   from Poisson Series", Biometrika 31, 1940.
"""

import dataclasses
import math

from boragetrail.policy.quota import RateQuota

__all__ = [
    "Capacity",
    "Ejection",
    "ServerEvidence",
    "TrialQuota",
    "binomial_tail",
    "confirmed_losses",
    "failing_servers",
    "is_suspected",
    "may_eject",
]

# Largest probability that chance explains the failures of some ejected server
# of a service, in one test. There are three: one for requests that may be
# repeated, one for others, and one for both.
MAX_CHANCE = 6e-3
# The same for servers that retries avoid.
MAX_SUSPECT_CHANCE = 0.35
# An ejected server fails so many times as often as the others, at least this
# number of its requests, and at least this fraction.
MIN_RATE_RATIO = 2.0
MIN_FAILURES = 3
MIN_FAILURE_RATE = 0.05
# Assumed responses of each server, added to those known, since routers know
# only some of the responses of a large fleet.
PRIOR_RESPONSES = 20
# Known load per slot up to which servers may be ejected, up to half of the
# service, and more than half.
MAX_LOAD_PER_SLOT = 0.8
MAX_LOW_LOAD_PER_SLOT = 0.4


@dataclasses.dataclass(slots=True)
class ServerEvidence:
    """Hold the results of all routers at one server.

    :param id: id of the server
    :param known_responses: recent responses that are known, whether or not a
        router reported failures; they tell the server's share of the requests
    :param failures_by_kind: pair of failures of requests that must not be
        repeated and of those that may be
    :param responses: responses, failures included, of the routers that
        reported failures
    """

    id: str
    known_responses: int
    failures_by_kind: tuple = (0, 0)
    responses: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Capacity:
    """Hold what tells whether a service can do without a server.

    :param servers: number of servers that may get requests, ejected or not
    :param ejected: number of those that are ejected
    :param slots: slots of the servers that remain, or 0 if some are unknown
    :param load: mean known requests at all servers of the service
    """

    servers: int
    ejected: int
    slots: int
    load: float


def binomial_tail(successes, trials, probability):
    """Return the probability of at least so many successes.

    >>> binomial_tail(2, 2, 0.5), binomial_tail(0, 7, 0.1)
    (0.25, 1.0)
    """
    if successes <= 0:
        return 1.0
    if probability >= 1.0:
        return 1.0
    other = 1.0 - probability
    log_odds = math.log(probability / other)
    start = trials * math.log(other) + math.lgamma(trials + 1)
    return math.fsum(
        math.exp(
            start
            + count * log_odds
            - math.lgamma(count + 1)
            - math.lgamma(trials - count + 1)
        )
        for count in range(successes, trials + 1)
    )


def confirmed_losses(losses):
    """Return how many lost responses count, given those of each router.

    One router's link may be at fault, so its losses count only up to those of
    all others.

    :param losses: list of the losses of each router

    >>> confirmed_losses([9]), confirmed_losses([9, 1]), confirmed_losses([])
    (0, 2, 0)
    """
    total = sum(losses)
    others = total - max(losses, default=0)
    return min(total, 2 * others)


def failing_servers(evidences):
    """Return the ids of the servers that fail more than others, worst first.

    The false positive rate of one call is at most three times ``MAX_CHANCE``,
    and less because of the conditions on the rates.

    :param evidences: list of :class:`ServerEvidence` of the servers of a
        service that are not ejected

    >>> calm = [ServerEvidence(key, 100) for key in "ab"]
    >>> failing_servers([*calm, ServerEvidence("c", 100, (8, 0), 90)])
    ['c']
    >>> alike = [ServerEvidence(key, 100, (8, 0), 90) for key in "abc"]
    >>> failing_servers(alike)
    []
    """
    chances = {}
    for each in evidences:
        failures = sum(each.failures_by_kind)
        if failures < max(MIN_FAILURES, MIN_FAILURE_RATE * each.responses):
            continue
        chance = _chance(each, evidences)
        if chance * len(evidences) <= MAX_CHANCE:
            chances[each.id] = chance
    return sorted(chances, key=lambda key: (chances[key], key))


def is_suspected(evidence, evidences):
    """Return whether retries should avoid a server.

    :param evidence: :class:`ServerEvidence` of the server
    :param evidences: list of those of all servers of the service

    >>> calm = [ServerEvidence(key, 100) for key in "ab"]
    >>> failed = ServerEvidence("c", 100, (1, 0), 1)
    >>> is_suspected(failed, [*calm, failed])
    True
    """
    return _chance(evidence, evidences) <= MAX_SUSPECT_CHANCE


def _chance(evidence, evidences):
    """Return the probability of a server's failures if all fail alike."""
    share = _share(evidence, evidences)
    pairs = [
        (
            evidence.failures_by_kind[kind],
            sum(each.failures_by_kind[kind] for each in evidences),
        )
        for kind in range(2)
    ]
    pairs.append((pairs[0][0] + pairs[1][0], pairs[0][1] + pairs[1][1]))
    return min(
        (
            binomial_tail(own, total, share)
            for own, total in pairs
            if _has_rate_ratio(own, total, share)
        ),
        default=1.0,
    )


def _share(evidence, evidences):
    """Return a server's share of the requests, an equal share at the least.

    A server that has just been readmitted has had few requests, and the first
    failures would seem to be too many for them.
    """
    known = sum(each.known_responses for each in evidences)
    total = known + PRIOR_RESPONSES * len(evidences)
    share = (evidence.known_responses + PRIOR_RESPONSES) / total
    return max(share, 1.0 / len(evidences))


def _has_rate_ratio(own, total, share):
    """Return whether a server fails ``MIN_RATE_RATIO`` times as often."""
    return own > 0 and own * (1.0 - share) >= (
        MIN_RATE_RATIO * (total - own) * share
    )


def may_eject(capacity):
    """Return whether a service can do without one more server.

    Up to half of the servers may be ejected if the others have room for the
    load, and all but one if they have much room. Without known slots only the
    number counts, and one of two or three servers may be ejected.

    :param capacity: :class:`Capacity` without the server

    >>> may_eject(Capacity(3, 0, 12, 5)), may_eject(Capacity(3, 0, 12, 11))
    (True, False)
    >>> may_eject(Capacity(3, 1, 6, 2)), may_eject(Capacity(3, 1, 6, 4))
    (True, False)
    >>> may_eject(Capacity(2, 1, 9, 0)), may_eject(Capacity(3, 0, 0, 9))
    (False, True)
    """
    ejected = capacity.ejected + 1
    if ejected >= capacity.servers:
        return False
    within_half = ejected <= capacity.servers // 2
    if not capacity.slots:
        return within_half
    limit = MAX_LOAD_PER_SLOT if within_half else MAX_LOW_LOAD_PER_SLOT
    return capacity.load <= limit * capacity.slots


class TrialQuota(RateQuota):
    """A router's quota of the trials of all routers at one ejected server.

    The limit is one for each window of ``WINDOW_S``. With more routers than
    trials in a window, those with the lowest ranks have one each.

    :param clock: function that returns monotonic seconds

    >>> quota = TrialQuota(lambda: 0.0)
    >>> [quota.try_begin(10, 0, successes) for successes in (0, 0, 1, 1)]
    [True, False, True, True]
    """

    WINDOW_S = 5.0
    # Trials of all routers in a window, before ``USED_FRACTION``, as long as
    # all fail, and after a success. A failed trial costs an attempt.
    MAX_TRIALS = 20
    MAX_TRIALS_AFTER_SUCCESS = 40

    def try_begin(self, routers, rank, successes):
        """Count one more trial if the quota allows it.

        :param routers: number of routers
        :param rank: this router's rank among them; 0 is the first
        :param successes: consecutive successful trials of all routers
        """
        trials = self.MAX_TRIALS
        if successes:
            trials = self.MAX_TRIALS_AFTER_SUCCESS
        return self.try_acquire(trials, routers, rank)


class Ejection:
    """Hold one ejection of a run of a server, and how it ends.

    It ends after some consecutive successful trials, or when no failure has
    been seen for some time. Both grow with each repetition.

    :param began_s: monotonic time at which it began
    :param repetitions: number of recent ejections before this one

    >>> ejection = Ejection(10.0, 0)
    >>> ejection.has_ended(10.1, 6), ejection.has_ended(10.1, 5)
    (True, False)
    >>> ejection.has_ended(17.9, 0), ejection.has_ended(18.0, 0)
    (False, True)
    """

    MIN_PAUSE_S = 8.0
    MAX_PAUSE_S = 60.0
    MIN_SUCCESSES = 6
    MAX_SUCCESSES = 24
    # Time after an ejection in which the next one is a repetition.
    REPETITION_S = 60.0

    __slots__ = ("began_s", "failed_s", "repetitions")

    def __init__(self, began_s, repetitions):
        self.began_s = began_s
        self.failed_s = began_s
        self.repetitions = repetitions

    def record_failure(self, failed_s):
        """Record that a trial failed.

        :param failed_s: monotonic time of the failure
        """
        self.failed_s = max(self.failed_s, failed_s)

    def pause_s(self):
        """Return the seconds after the last failure until the end."""
        return min(self.MAX_PAUSE_S, self.MIN_PAUSE_S * 2**self.repetitions)

    def successes_needed(self):
        """Return the consecutive successful trials that end the ejection."""
        needed = self.MIN_SUCCESSES * 2**self.repetitions
        return min(self.MAX_SUCCESSES, needed)

    def has_ended(self, now_s, successes):
        """Return whether the server gets requests again.

        :param now_s: current monotonic time
        :param successes: consecutive successful trials of all routers
        """
        if successes >= self.successes_needed():
            return True
        return now_s - self.failed_s >= self.pause_s()
