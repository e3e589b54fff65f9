"""Estimates of how long work currently takes at a server.

The module handles servers that share their VMs with other work, so that some
are slow for about half a second each, then others are. A router hears each
server every 0.3 to 1 s, so that its figures are often as old as the condition
that they describe.
"""

import dataclasses
import math

__all__ = [
    "MAX_PERCENT",
    "MAX_SLOWNESS",
    "MIN_PERCENT",
    "MIN_SLOWNESS",
    "SpeedEstimate",
    "SpeedReport",
    "clamp_percent",
    "effective_slowness",
    "is_relevant_step",
]

# A server is neither preferred nor left alone by more than these factors,
# whatever it reports.
MIN_SLOWNESS = 0.8
MAX_SLOWNESS = 4.0
MIN_PERCENT = int(100 * MIN_SLOWNESS)
MAX_PERCENT = int(100 * MAX_SLOWNESS)
# A smaller difference from the usual time has no effect, since it is within
# the error of the estimate.
MIN_DIFFERENCE = 0.1
# Ratio of a new figure to what other routers are assumed to know from which
# it is worth a message.
RELEVANT_RATIO = 1.3


@dataclasses.dataclass(slots=True, frozen=True)
class SpeedReport:
    """Hold a figure about the speed of a server, as routers exchange it.

    :param server: :func:`~boragetrail.direct.counts.server_key`
    :param percent: time that work takes there, in percent of the usual
    :param samples: number of responses of the sender whose mean it is, or 0
        for a figure that the server itself reported
    :param heard_s: monotonic time at which the sender heard or measured it
    """

    server: int
    percent: int
    samples: int
    heard_s: float


class SpeedEstimate:
    """Estimate a server's slowness from the figures that it reported.

    The estimate is the newest figure, which decays to the server's own
    long-term mean with a fixed half-life, as the correlation of a server that
    is slow and fast by turns at random does.

    >>> estimate = SpeedEstimate()
    >>> estimate.record(250, 10.0)
    True
    >>> round(estimate.slowness(10.0), 2), round(estimate.slowness(10.3), 2)
    (2.5, 1.77)
    >>> estimate.record(100, 9.0)
    False
    """

    __slots__ = ("figure", "heard_s", "mean")

    # Half-life of the correlation if slow phases take 0.5 s on average and a
    # small part of the time.
    HALF_LIFE_S = 0.3
    # Time constant of the long-term mean, 20 slow phases.
    MEAN_TIME_S = 10.0
    # Longest time for which one figure counts in the mean. A server that is
    # seldom heard is not judged by a single figure.
    MAX_WEIGHT_S = 0.3

    def __init__(self):
        self.figure = 1.0
        self.heard_s = -math.inf
        self.mean = 1.0

    def record(self, percent, heard_s):
        """Record a figure unless a newer one is known.

        :param percent: time that work takes, in percent of the usual
        :param heard_s: monotonic time at which the server reported it
        :returns: whether it was recorded
        """
        if heard_s <= self.heard_s:
            return False
        weight_s = min(heard_s - self.heard_s, self.MAX_WEIGHT_S)
        weight = 1.0 - math.exp(-weight_s / self.MEAN_TIME_S)
        figure = clamp_percent(percent) / 100.0
        # The first figure has no earlier one, and counts like a late one.
        self.mean += weight * (figure - self.mean)
        self.figure = figure
        self.heard_s = heard_s
        return True

    def slowness(self, now_s):
        """Return the expected time that work takes; 1.0 is the usual.

        :param now_s: current monotonic time
        """
        age_s = max(0.0, now_s - self.heard_s)
        weight = 0.5 ** (age_s / self.HALF_LIFE_S)
        return self.mean + weight * (self.figure - self.mean)


def clamp_percent(percent):
    """Return a figure within the limits of what a figure may cause.

    >>> clamp_percent(1), clamp_percent(130), clamp_percent(100000)
    (80, 130, 400)
    """
    return max(MIN_PERCENT, min(MAX_PERCENT, percent))


def effective_slowness(slowness, comparison=None):
    """Return the slowness by which servers are ordered.

    Measured times outweigh figures that they clearly contradict.

    :param slowness: estimate from figures or from earlier measured times
    :param comparison: :class:`~boragetrail.policy.responsetimes.Comparison`
        of the measured times, each divided by the slowness that was expected
        of it, or ``None`` if there are too few
    :returns: slowness, 1.0 if the server is not clearly different

    >>> effective_slowness(1.05), effective_slowness(2.5)
    (1.0, 2.5)
    """
    if comparison is not None and comparison.contradicts(1.0):
        slowness *= comparison.slowness()
    slowness = max(MIN_SLOWNESS, min(MAX_SLOWNESS, slowness))
    return slowness if abs(slowness - 1.0) >= MIN_DIFFERENCE else 1.0


def is_relevant_step(percent, known):
    """Return whether other routers should hear of a figure.

    :param percent: the figure
    :param known: slowness that they are assumed to know

    >>> is_relevant_step(110, 1.0), is_relevant_step(250, 1.0)
    (False, True)
    """
    ratio = clamp_percent(percent) / 100.0 / known
    return max(ratio, 1.0 / ratio) >= RELEVANT_RATIO
