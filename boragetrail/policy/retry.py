"""Policies that decide whether a failed attempt is retried."""

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
        :param attempts: number of attempts of the request so far
        :param not_executed: whether it is certain that no server executed
            the last attempt
        :param remaining_s: time until the request's deadline in seconds
        """


class _Tokens:
    """Token buckets of one customer; a retry takes one token.

    :ivar executed: tokens for retries of attempts that may have been
        executed
    :ivar refused: tokens for retries of attempts that were not executed
    """

    __slots__ = ("executed", "refused")

    def __init__(self, max_tokens):
        self.executed = max_tokens
        self.refused = max_tokens


class RetryBudget(RetryPolicy):
    """Retry budgets per customer, refilled in proportion to its requests.

    Each customer has its own budgets, so that retries during one customer's
    surge do not use up the retries of the others.

    Retrying an attempt that may have been executed costs servers more work
    than retrying a refused attempt. Refused attempts therefore have a
    separate, larger budget.

    :param clock: function that returns monotonic seconds
    :param random: random generator for the backoff
    """

    # Tokens that one request adds to each bucket, up to MAX_TOKENS.
    EXECUTED_TOKENS_PER_REQUEST = 0.1
    REFUSED_TOKENS_PER_REQUEST = 1.0
    MAX_TOKENS = 50.0
    MAX_ATTEMPTS = 12
    # The customer whose last request or retry is oldest is removed first.
    MAX_CUSTOMERS = 4096
    MIN_REMAINING_S = 0.05
    # The random backoff after n attempts is at most this times 2**n.
    BASE_BACKOFF_S = 0.02

    def __init__(self, clock, random):
        self.clock = clock
        self.random = random
        self.tokens_by_customer = collections.OrderedDict()

    def record_request(self, customer):
        """Refill a customer's budgets for one new request."""
        tokens = self._tokens(customer)
        executed = tokens.executed + self.EXECUTED_TOKENS_PER_REQUEST
        refused = tokens.refused + self.REFUSED_TOKENS_PER_REQUEST
        tokens.executed = min(self.MAX_TOKENS, executed)
        tokens.refused = min(self.MAX_TOKENS, refused)

    def backoff_s(self, customer, attempts, not_executed, remaining_s):
        """Return the backoff; see :meth:`RetryPolicy.backoff_s`."""
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
