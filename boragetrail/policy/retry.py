"""Retry policy of failed attempts."""

import abc
import collections

__all__ = ["RetryPolicy", "RetryBudget"]


class RetryPolicy(abc.ABC):
    """Interface of policies that allow retries and set their backoff."""

    @abc.abstractmethod
    def backoff_s(self, customer, attempts, not_executed, remaining_s):
        """Return the backoff before a retry in seconds, or ``None``.

        ``None`` means that no retry is allowed.

        :param customer: id of the customer
        :param attempts: number of attempts made so far
        :param not_executed: whether the last attempt certainly was not
            executed
        :param remaining_s: time until the deadline in seconds
        """


class _Tokens:
    """Token buckets of one customer, by outcome of the failed attempt."""

    __slots__ = ("executed", "refused")

    def __init__(self, max_tokens):
        self.executed = max_tokens
        self.refused = max_tokens


class RetryBudget(RetryPolicy):
    """Retry budget of each customer, in proportion to its requests.

    Each customer has its own budget, so that retries during one customer's
    surge do not use up the retries of the others.

    A retry of an attempt that may have been executed costs more than one of
    a refused attempt, so refused attempts have a separate, larger budget.

    :param clock: function that returns monotonic seconds
    :param random: random generator for the backoff
    """

    EXECUTED_PER_REQUEST = 0.1
    REFUSED_PER_REQUEST = 1.0
    MAX_TOKENS = 50.0
    MAX_ATTEMPTS = 12
    MAX_CUSTOMERS = 4096
    MIN_REMAINING_S = 0.05
    BASE_BACKOFF_S = 0.02

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.tokens_by_customer = collections.OrderedDict()

    def record_request(self, customer):
        """Refill a customer's budgets for one new request."""
        tokens = self._tokens(customer)
        executed = tokens.executed + self.EXECUTED_PER_REQUEST
        refused = tokens.refused + self.REFUSED_PER_REQUEST
        tokens.executed = min(self.MAX_TOKENS, executed)
        tokens.refused = min(self.MAX_TOKENS, refused)

    def backoff_s(self, customer, attempts, not_executed, remaining_s):
        """Return the backoff before a retry; see the base class."""
        if attempts >= self.MAX_ATTEMPTS or remaining_s < self.MIN_REMAINING_S:
            return None
        tokens = self._tokens(customer)
        if not_executed:
            if tokens.refused < 1:
                return None
            tokens.refused -= 1
            return 0.0
        if tokens.executed < 1:
            return None
        tokens.executed -= 1
        return self.random.uniform(0, self.BASE_BACKOFF_S * 2**attempts)

    def _tokens(self, customer):
        tokens_by_customer = self.tokens_by_customer
        tokens = tokens_by_customer.pop(customer, None) or _Tokens(
            self.MAX_TOKENS
        )
        tokens_by_customer[customer] = tokens
        if len(tokens_by_customer) > self.MAX_CUSTOMERS:
            tokens_by_customer.popitem(last=False)
        return tokens
