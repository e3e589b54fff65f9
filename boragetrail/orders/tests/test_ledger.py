"""Tests of the agent's ledger."""

from boragetrail.errors import Refusal
from boragetrail.orders import Ledger, OrderState
from boragetrail.reasons import Executed, Reason


class ManualClock:
    """Clock whose time is set by the test."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class TestLedger:
    """The ledger executes each order at most once."""

    def setup_method(self):
        self.clock = ManualClock()
        self.ledger = Ledger("here", self.clock)

    def register_dispatch(
        self, key="o", attempt_id="a.0", digest=b"d", **options
    ):
        incarnation = options.pop("incarnation", "here")
        return self.ledger.register_dispatch(
            incarnation, key, attempt_id, digest, 60.0, **options
        )

    def test_new_dispatch_runs_and_duplicate_does_not(self):
        entry, is_new = self.register_dispatch()
        duplicate, is_new_again = self.register_dispatch(attempt_id="b.0")
        assert is_new and not is_new_again
        assert duplicate is entry

    def test_other_incarnation_is_refused_as_unknown(self):
        refusal = self.register_dispatch(incarnation="before")
        assert refusal.reason == Reason.WRONG_INCARNATION
        assert refusal.ran == Executed.UNKNOWN

    def test_query_leaves_tombstone_for_delayed_dispatch(self):
        assert (
            self.ledger.get_or_tombstone("here", "o").reason
            == Reason.TOMBSTONED
        )
        refusal = self.register_dispatch()
        assert isinstance(refusal, Refusal)
        assert refusal.ran == Executed.NO

    def test_late_copy_of_a_refused_attempt_is_refused(self):
        entry, _ = self.register_dispatch()
        self.ledger.mark_refused(entry, "a.0")
        assert self.register_dispatch().reason == Reason.TOMBSTONED

    def test_another_attempt_of_a_refused_order_may_run(self):
        entry, _ = self.register_dispatch()
        self.ledger.mark_refused(entry, "a.0")
        again, is_new = self.register_dispatch(attempt_id="b.0")
        assert is_new and again.state == OrderState.DISPATCHED

    def test_query_after_refusal_refuses_every_later_attempt(self):
        entry, _ = self.register_dispatch()
        self.ledger.mark_refused(entry, "a.0")
        self.ledger.get_or_tombstone("here", "o")
        assert (
            self.register_dispatch(attempt_id="b.0").reason
            == Reason.TOMBSTONED
        )

    def test_other_request_with_the_same_key_is_refused(self):
        self.register_dispatch()
        assert self.register_dispatch(digest=b"e").reason == Reason.KEY_REUSED

    def test_ticket_older_than_retention_is_refused_as_unknown(self):
        self.clock.now += 61.0
        refusal = self.register_dispatch(issue_uptime_ms=0)
        assert refusal.reason == Reason.TICKET_EXPIRED
        assert refusal.ran == Executed.UNKNOWN

    def test_sweep_keeps_entries_while_their_ticket_is_valid(self):
        entry, _ = self.register_dispatch(issue_uptime_ms=0)
        self.ledger.mark_running(entry)
        self.ledger.mark_finished(entry, 200)
        self.clock.now += 59.0
        self.ledger.sweep()
        assert not self.register_dispatch(issue_uptime_ms=0)[1]
        self.clock.now += 2.0
        self.ledger.sweep()
        assert (
            self.register_dispatch(issue_uptime_ms=0).reason
            == Reason.TICKET_EXPIRED
        )

    def test_running_entry_is_never_swept(self):
        entry, _ = self.register_dispatch()
        self.ledger.mark_running(entry)
        self.clock.now += 1e6
        self.ledger.sweep()
        assert self.register_dispatch()[0] is entry
