"""Tests of admission control and of the load table."""

from boragetrail.errors import Refusal
from boragetrail.policy import AdaptiveWarmup, BoundedAdmission, FairQueue
from boragetrail.policy import LoadEntry, LoadTable, MeanMultipleCap
from boragetrail.reasons import Reason


class TestBoundedAdmission:
    """Admission enforces the load cap, the warm-up limit and fair queueing."""

    def setup_method(self):
        self.now = 0.0
        clock = self.clock
        self.loads = LoadTable(clock)
        self.warmup = AdaptiveWarmup(8, clock)
        self.warmup.raise_limit(8)
        self.queue = FairQueue(clock)
        self.admission = BoundedAdmission(
            "s1",
            "i1",
            MeanMultipleCap(1.25),
            self.warmup,
            self.queue,
            self.loads,
            clock,
        )

    def clock(self):
        return self.now

    def set_other_loads(self, *loads):
        for number, load in enumerate(loads):
            entry = LoadEntry(f"o{number}", "i", 1, load, 1.0, 0, self.now)
            self.loads.merge(entry)

    def offer(self, customer="a", wait_s=1.0):
        return self.admission.offer("item", customer, 1.0, 5, wait_s)

    def test_idle_service_admits_one(self):
        self.set_other_loads(0, 0, 0, 0)
        assert not isinstance(self.offer(), Refusal)

    def test_load_over_the_multiple_of_the_mean_is_refused(self):
        self.set_other_loads(0, 0, 0, 0)
        self.offer()
        assert self.offer().reason == Reason.OVER_CAP

    def test_reported_load_of_others_raises_the_cap(self):
        self.set_other_loads(0, 0, 0, 0)
        self.offer()
        assert self.offer().reason == Reason.OVER_CAP
        reported_lists = [[f"o{n}", "i", 2, 4, 100, 0, 0] for n in range(4)]
        self.loads.merge_lists(reported_lists)
        assert not isinstance(self.offer(), Refusal)

    def test_cold_server_gets_no_more_than_its_limit(self):
        self.set_other_loads(9, 9, 9, 9)
        self.admission.warmup.record_failure()
        assert not isinstance(self.offer(), Refusal)
        assert self.offer().reason == Reason.COLD

    def test_request_that_would_wait_too_long_is_refused_at_once(self):
        self.set_other_loads(20, 20, 20, 20)
        for _ in range(8):
            self.offer()
            self.admission.start_next()
        refusal = self.offer(wait_s=0.01)
        assert refusal.reason == Reason.OVERLOADED
        assert refusal.retry_after_s > 0

    def test_running_requests_over_a_lowered_limit_end_concurrently(self):
        """Running requests beyond a lowered limit end concurrently.

        An expected wait with one service time for each of them would exceed
        the limit of 2 s.
        """
        self.set_other_loads(70, 70, 70, 70)
        for _ in range(8):
            self.offer()
            self.admission.start_next()
        self.warmup.record_failure()
        assert self.warmup.limit() == 1
        waiting = self.admission.offer("item", "b", 1.0, 5, 2.0, True)
        assert not isinstance(waiting, Refusal)

    def test_surge_of_one_customer_leaves_a_slot_for_others(self):
        self.set_other_loads(20, 20, 20, 20)
        self.offer("small")
        self.admission.start_next()
        self.admission.record_end("small", 0.1)
        for _ in range(12):
            self.offer("large", 9.0)
        while self.admission.start_next():
            pass
        assert self.queue.running == 7
        self.offer("small")
        assert self.admission.start_next() is not None

    def test_one_customer_alone_uses_all_slots(self):
        self.set_other_loads(20, 20, 20, 20)
        for _ in range(12):
            self.offer("large", 9.0)
        while self.admission.start_next():
            pass
        assert self.queue.running == 8


class TestLoadTable:
    """Requests that a router has just sent count as load of the server."""

    def test_sent_requests_count_immediately(self):
        now = [0.0]
        table = LoadTable(lambda: now[0])
        for n in range(5):
            table.merge(LoadEntry(f"s{n}", "i", 1, 0, 1.0, 0, 0.0))
        for n in range(20):
            table.record_sent(f"s{n % 5}")
        assert table.totals() == (20, 5.0)

    def test_agents_next_entry_replaces_the_count(self):
        table = LoadTable(lambda: 0.0)
        table.merge(LoadEntry("s", "i", 1, 0, 1.0, 0, 0.0))
        table.record_sent("s")
        table.merge(LoadEntry("s", "i", 2, 0, 1.0, 0, 0.0))
        assert table.totals()[0] == 0

    def test_routers_count_of_sent_requests_raises_an_agents_load(self):
        router, agent = LoadTable(lambda: 0.0), LoadTable(lambda: 0.0)
        for table in (router, agent):
            table.merge(LoadEntry("s", "i", 1, 0, 1.0, 0, 0.0))
        router.record_sent("s")
        agent.merge_lists(router.newest_lists(6))
        assert agent.totals()[0] == 1
