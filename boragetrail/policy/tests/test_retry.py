"""Tests of customers' retry budgets."""

import random

from boragetrail.policy import RetryBudget


class TestRetryBudget:
    """Each customer has a limited number of retries."""

    def setup_method(self):
        self.budget = RetryBudget(lambda: 0.0, random.Random(1))

    def count_allowed_retries(self, customer, not_executed):
        count = 0
        while (
            self.budget.backoff_s(customer, 1, not_executed, 9.0) is not None
        ):
            count += 1
        return count

    def test_retries_are_bounded(self):
        assert self.count_allowed_retries("a", True) == RetryBudget.MAX_TOKENS
        self.budget.record_request("a")
        assert self.count_allowed_retries("a", True) == 1

    def test_surge_leaves_the_retries_of_other_customers(self):
        self.count_allowed_retries("a", True)
        self.count_allowed_retries("a", False)
        assert self.budget.backoff_s("b", 1, True, 9.0) is not None
        assert self.budget.backoff_s("b", 1, False, 9.0) is not None

    def test_no_retry_that_would_miss_its_deadline(self):
        assert self.budget.backoff_s("a", 1, True, 0.01) is None
