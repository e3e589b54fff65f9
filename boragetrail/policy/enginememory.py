"""Memory of engines: which requests fit, and when others will.

The module handles bursts of long prompts: an engine crashes if the tokens of
the requests that it holds exceed its memory. Several routers send to the same
engines, and each knows what the others sent 0.1 to 0.4 s ago.
"""

import dataclasses
import math

__all__ = [
    "MemoryDemand",
    "RequestSize",
    "TokenMean",
    "TokenRate",
    "expected_output",
    "fits",
    "unknown_tokens",
    "wait_for_room_s",
]

# Part of an engine's memory that is used. The rest covers responses that are
# longer than expected.
CAPACITY_FACTOR = 0.85
# An output is expected to be at most so many times its hint, which is the
# median. One in five is longer if the lengths are lognormal with a deviation
# of 0.8.
HINT_FACTOR = 2.0
# Time for which requests of other routers may be unknown, with a lost
# datagram.
REPORT_DELAY_S = 0.25
# An engine may get so many times the mean of what all get, since requests are
# not spread evenly.
ENGINE_SHARE_FACTOR = 1.5
# Bounds of the wait that a refused caller is told.
MIN_WAIT_S = 0.1
MAX_WAIT_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSize:
    """Hold the tokens of a request.

    :param prompt: tokens of the whole prompt
    :param output: expected tokens of the response
    :param max_output: tokens of the longest possible response
    """

    prompt: int
    output: int
    max_output: int

    def expected(self):
        """Return the tokens that an engine is expected to hold for it."""
        return self.prompt + self.output

    def largest(self):
        """Return the tokens that an engine may have to hold for it."""
        return self.prompt + self.max_output


@dataclasses.dataclass(slots=True)
class MemoryDemand:
    """Hold what is known of the tokens at an engine.

    :param own: tokens that this router's requests hold there
    :param others: estimate of those of other routers' known requests
    :param unknown: allowance for requests that are not known yet
    """

    own: float
    others: float
    unknown: float

    def total(self):
        """Return the sum in tokens."""
        return self.own + self.others + self.unknown


def expected_output(max_output, hint):
    """Return the expected tokens of a response.

    :param max_output: tokens of the longest possible response
    :param hint: tokens of the response at the median, or ``None`` if unknown

    >>> expected_output(400, 100), expected_output(80, 100)
    (200, 80)
    >>> expected_output(400, None)
    400
    """
    if hint is None:
        return max_output
    return min(max_output, math.ceil(HINT_FACTOR * hint))


def fits(demand, tokens, capacity):
    """Return whether a request fits into an engine's memory.

    An engine without a known request gets any request that it can hold, so
    that the largest do not starve.

    :param demand: :class:`MemoryDemand`
    :param tokens: tokens that the request adds, with its expected output
    :param capacity: tokens for which the engine has memory

    >>> fits(MemoryDemand(0, 70000, 10000), 5000, 100000)
    True
    >>> fits(MemoryDemand(0, 70000, 10000), 5001, 100000)
    False
    >>> fits(MemoryDemand(0, 0, 900), 95000, 100000)
    True
    """
    held = demand.total()
    if held + tokens <= CAPACITY_FACTOR * capacity:
        return True
    is_empty = demand.own + demand.others <= 0
    return is_empty and tokens <= capacity


def unknown_tokens(rate_per_s, routers, engines):
    """Return the allowance for other routers' requests that are not known.

    The other routers are assumed to send as much as this one.

    :param rate_per_s: tokens per second that callers ask this router for,
        refused requests included, since all routers see freed memory at once
    :param routers: number of routers, this one included
    :param engines: number of engines of the service

    >>> unknown_tokens(20000, 24, 23)
    7500.0
    """
    others_per_s = rate_per_s * max(0, routers - 1)
    per_engine = others_per_s * REPORT_DELAY_S / max(1, engines)
    return ENGINE_SHARE_FACTOR * per_engine


def wait_for_room_s(demand, tokens, capacity, hold_s):
    """Return the expected time until a request fits.

    Held tokens become free at the rate at which requests end.

    :param demand: :class:`MemoryDemand`
    :param tokens: tokens that the request adds
    :param capacity: tokens for which the engine has memory
    :param hold_s: mean time in seconds for which a request holds its tokens

    >>> wait_for_room_s(MemoryDemand(0, 80000, 0), 9000, 100000, 2.0)
    0.1
    >>> wait_for_room_s(MemoryDemand(0, 80000, 0), 25000, 100000, 2.0)
    0.5
    """
    held = demand.total()
    shortage = held + tokens - CAPACITY_FACTOR * capacity
    wait_s = hold_s * shortage / max(held, 1.0)
    return max(MIN_WAIT_S, min(MAX_WAIT_S, wait_s))


class TokenMean:
    """Mean tokens per request, which follows a rise sooner than a fall.

    It is the larger of two moving means, so that a burst of long prompts
    counts after a few requests and is not forgotten after one short one.

    >>> mean = TokenMean()
    >>> for tokens in [1000] * 50 + [9000] * 8:
    ...     mean.add(tokens)
    >>> 5000 < mean.value < 9000
    True
    """

    __slots__ = ("count", "fast", "slow")

    FAST_SAMPLES = 8
    SLOW_SAMPLES = 64

    def __init__(self):
        self.count = 0
        self.fast = 0.0
        self.slow = 0.0

    @property
    def value(self):
        return max(self.fast, self.slow)

    def add(self, tokens):
        """Add the tokens of a request."""
        self.count += 1
        self.fast += (tokens - self.fast) / min(self.count, self.FAST_SAMPLES)
        self.slow += (tokens - self.slow) / min(self.count, self.SLOW_SAMPLES)


class TokenRate:
    """Moving rate of tokens.

    >>> rate = TokenRate()
    >>> rate.add(5000, 10.0)
    >>> rate.per_s(10.0), rate.per_s(20.0) < 1
    (10000.0, True)
    """

    __slots__ = ("tokens", "updated_s")

    # Time constant; a burst of long prompts counts after this time.
    TIME_S = 0.5

    def __init__(self):
        self.tokens = 0.0
        self.updated_s = 0.0

    def add(self, tokens, now_s):
        """Add tokens that are sent now."""
        self._decay(now_s)
        self.tokens += tokens

    def per_s(self, now_s):
        """Return the tokens per second."""
        self._decay(now_s)
        return self.tokens / self.TIME_S

    def _decay(self, now_s):
        age_s = max(0.0, now_s - self.updated_s)
        self.tokens *= math.exp(-age_s / self.TIME_S)
        self.updated_s = now_s
