"""Fair parts of the customers of a service.

Handles the load at which one customer sends several times as much as usual.
What a customer usually sends is learned while nothing is refused. A rate above
it, relative to the growth of all others, is above the customer's fair part. A
customer that sends no more than an equal part of all is never above it.
"""

import collections
import math

__all__ = ["CustomerShares", "DecayingCount"]


class DecayingCount:
    """Count of events that lose weight exponentially as they age.

    :param mean_age_s: time constant in seconds

    >>> count = DecayingCount(10.0)
    >>> count.add(0.0)
    >>> round(count.value(10.0), 3)
    0.368
    """

    __slots__ = ("mean_age_s", "counted", "counted_s")

    def __init__(self, mean_age_s):
        self.mean_age_s = mean_age_s
        self.counted = 0.0
        self.counted_s = 0.0

    def add(self, now_s, weight=1.0):
        """Count an event.

        :param now_s: current monotonic time
        :param weight: weight of the event
        """
        self.counted = self.value(now_s) + weight
        self.counted_s = now_s

    def value(self, now_s):
        """Return the count.

        :param now_s: current monotonic time
        """
        age_s = max(0.0, now_s - self.counted_s)
        return self.counted * math.exp(-age_s / self.mean_age_s)


class CustomerCounts:
    """Hold what one customer sent lately and usually."""

    __slots__ = ("recent", "usual")

    def __init__(self):
        self.recent = DecayingCount(CustomerShares.RECENT_S)
        self.usual = DecayingCount(CustomerShares.USUAL_S)


class CustomerShares:
    """Tell which part of a customer's requests is above its fair part.

    :param clock: function that returns monotonic seconds

    >>> now_s = [0.0]
    >>> shares = CustomerShares(lambda: now_s[0])
    >>> for n in range(400):
    ...     now_s[0] = n / 10
    ...     shares.record("ab"[n % 2], is_usual=True)
    >>> round(shares.part_above("a"), 2)
    0.0
    >>> for n in range(300):
    ...     now_s[0] += 0.02
    ...     shares.record("b" if n % 10 == 0 else "a", is_usual=False)
    >>> shares.part_above("a") > 0.4, shares.part_above("b")
    (True, 0.0)
    """

    RECENT_S = 5.0
    USUAL_S = 60.0
    # Multiple of the usual part up to which a customer's part is fair.
    GROWTH = 1.5
    # With fewer recent requests a rate cannot be told from chance.
    MIN_RECENT = 4.0
    MAX_CUSTOMERS = 512

    __slots__ = ("clock", "counts_by_customer", "all")

    def __init__(self, clock):
        self.clock = clock
        self.counts_by_customer = collections.OrderedDict()
        self.all = CustomerCounts()

    def record(self, customer, is_usual):
        """Count a request.

        :param customer: name of the customer
        :param is_usual: whether nothing is refused, so that the rate is usual
        """
        now_s = self.clock()
        counts = self.counts_by_customer.pop(customer, None)
        if counts is None:
            counts = CustomerCounts()
        self.counts_by_customer[customer] = counts
        if len(self.counts_by_customer) > self.MAX_CUSTOMERS:
            self.counts_by_customer.popitem(last=False)
        for each in (counts, self.all):
            each.recent.add(now_s)
            if is_usual:
                each.usual.add(now_s)

    def part_above(self, customer):
        """Return the part of a customer's requests above its fair part.

        :param customer: name of the customer
        :returns: number from 0 to 1
        """
        counts = self.counts_by_customer.get(customer)
        if counts is None:
            return 0.0
        now_s = self.clock()
        recent = counts.recent.value(now_s)
        if recent < self.MIN_RECENT:
            return 0.0
        fair = max(self._usual_part(counts, now_s), self._equal_part(now_s))
        return max(0.0, 1.0 - fair / recent)

    def _usual_part(self, counts, now_s):
        """Return what a customer would send if it had grown as the others.

        Without a usual rate, only the equal part applies.
        """
        usual = counts.usual.value(now_s)
        others = self.all.usual.value(now_s) - usual
        if usual <= 0.0 or others <= 0.0:
            return 0.0
        recent_others = self.all.recent.value(now_s)
        recent_others -= counts.recent.value(now_s)
        return self.GROWTH * usual * recent_others / others

    def _equal_part(self, now_s):
        """Return the part of each of the customers that sent lately."""
        total = self.all.recent.value(now_s)
        active = 0
        for counts in reversed(self.counts_by_customer.values()):
            if now_s - counts.recent.counted_s > 2 * self.RECENT_S:
                break
            active += 1
        return total / max(1, active)
