"""Decide whether a failed attempt may be repeated."""

import abc
import collections

__all__ = ["RetryPolicy", "RetryBudget"]


class RetryPolicy(abc.ABC):
    """Decide whether to repeat an attempt, and after what pause."""

    @abc.abstractmethod
    def backoff_s(self, customer, attempts, not_executed, left_s):
        """Return the pause in seconds before a repeat, or ``None``.

        :param customer: id of the customer
        :param attempts: attempts made so far
        :param ran_no: whether the last attempt surely did not run
        :param left_s: seconds left to the deadline
        """


class _Tokens:
    """Repeats that one customer may still make."""

    __slots__ = ("ran", "refused")

    def __init__(self, burst):
        self.ran = burst
        self.refused = burst


class RetryBudget(RetryPolicy):
    """Allow repeats as a part of the requests that a customer sent.

    Each customer has budgets of its own, so that the repeats of one that
    surges take nothing from the others.

    An attempt that a server refused at once costs less than one that ran,
    so it has a budget of its own that is larger.

    :param clock: function that returns monotonic seconds
    :param random: random generator for the pause
    """

    RAN_PER_REQUEST = 0.1
    REFUSED_PER_REQUEST = 1.0
    BURST = 50.0
    MOST_ATTEMPTS = 12
    MOST_CUSTOMERS = 4096
    LEAST_LEFT_S = 0.05
    PAUSE_S = 0.02

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.tokens_by_customer = collections.OrderedDict()

    def record_request(self, customer):
        """Add to a customer's budgets for one new request."""
        tokens = self._tokens(customer)
        ran = tokens.ran + self.RAN_PER_REQUEST
        refused = tokens.refused + self.REFUSED_PER_REQUEST
        tokens.ran = min(self.BURST, ran)
        tokens.refused = min(self.BURST, refused)

    def backoff_s(self, customer, attempts, not_executed, left_s):
        """Return the pause before a repeat; see the base class."""
        if attempts >= self.MOST_ATTEMPTS or left_s < self.LEAST_LEFT_S:
            return None
        tokens = self._tokens(customer)
        if not_executed:
            if tokens.refused < 1:
                return None
            tokens.refused -= 1
            return 0.0
        if tokens.ran < 1:
            return None
        tokens.ran -= 1
        return self.random.uniform(0, self.PAUSE_S * 2**attempts)

    def _tokens(self, customer):
        kept = self.tokens_by_customer
        tokens = kept.pop(customer, None) or _Tokens(self.BURST)
        kept[customer] = tokens
        if len(kept) > self.MOST_CUSTOMERS:
            kept.popitem(last=False)
        return tokens
