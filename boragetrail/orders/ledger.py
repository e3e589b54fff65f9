"""An agent's record of attempts and orders.

The ledger decides whether a dispatch is new, a duplicate or refused. It is
kept in memory and performs no I/O. A tombstone is an entry in state REFUSED;
it shows that the order or attempt was not executed.
"""

from boragetrail.errors import Refusal
from boragetrail.orders.state import OrderState, advance
from boragetrail.reasons import Executed, Reason

__all__ = ["LedgerEntry", "Ledger"]

# Time for which a tombstone is kept. A dispatch cannot be delayed for this
# long, because it is lost when its connection ends.
TOMBSTONE_S = 900.0
MAX_ENTRIES = 200_000


class LedgerEntry:
    """State of one attempt or order.

    :ivar key: order id, or attempt id for idempotent work
    :ivar digest: digest of the request, to detect a reused key
    :ivar state: :class:`~boragetrail.orders.state.OrderState`
    :ivar response: the response, while it is retained
    :ivar expires_s: monotonic time after which the entry may be removed
    :ivar status: HTTP status of the response once it is complete, else 0
    :ivar is_permanently_refused: whether every later dispatch is refused,
        because a router was told that the order was not executed
    :ivar refused_attempts: ids of the attempts that were reported as not
        executed
    """

    __slots__ = (
        "key",
        "digest",
        "state",
        "response",
        "expires_s",
        "status",
        "is_permanently_refused",
        "refused_attempts",
    )

    def __init__(self, key, digest, state, expires_s):
        self.key = key
        self.digest = digest
        self.state = state
        self.response = None
        self.expires_s = expires_s
        self.status = 0
        self.is_permanently_refused = False
        self.refused_attempts = set()


class Ledger:
    """Entries of all attempts and orders of this incarnation.

    :param incarnation: incarnation of the agent
    :param clock: function that returns monotonic seconds
    """

    def __init__(self, incarnation, clock):
        self.incarnation = incarnation
        self.clock = clock
        self.started_s = clock()
        self.entries_by_key = {}
        self.kept_bytes = 0

    def uptime_ms(self):
        """Return the time since the incarnation started, in ms."""
        return int(1000 * (self.clock() - self.started_s))

    def register_dispatch(
        self,
        incarnation,
        key,
        attempt_id,
        digest,
        retention_s,
        issue_uptime_ms=None,
    ):
        """Add an entry for a dispatch, or find the entry of a duplicate.

        :param incarnation: incarnation that the dispatch is addressed to
        :param key: order id, or attempt id for idempotent work
        :param attempt_id: id of the attempt
        :param digest: digest of the request
        :param retention_s: time for which the response is retained, in
            seconds
        :param issue_uptime_ms: uptime of the agent when the order's ticket
            was issued, or ``None`` without a ticket
        :returns: (entry, whether the dispatch may run), or :class:`Refusal`;
            a dispatch may run if it is not a duplicate
        """
        if incarnation != self.incarnation:
            detail = f"addressed to {incarnation}, agent is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        entry = self.entries_by_key.get(key)
        if entry is not None:
            return self._check_duplicate(entry, attempt_id, digest)
        if issue_uptime_ms is not None:
            refusal = self._check_ticket_age(issue_uptime_ms, retention_s)
            if refusal:
                return refusal
        if len(self.entries_by_key) >= MAX_ENTRIES:
            self.sweep()
        if len(self.entries_by_key) >= MAX_ENTRIES:
            return Refusal(Reason.LEDGER_FULL, "", retry_after_s=5.0)
        expires_s = self.clock() + retention_s
        entry = LedgerEntry(key, digest, OrderState.DISPATCHED, expires_s)
        self.entries_by_key[key] = entry
        return entry, True

    def mark_refused(self, entry, attempt_id):
        """Record that an attempt was refused and will not be executed.

        The entry remains as a tombstone, so that a delayed copy of the
        attempt's dispatch is refused too.
        """
        entry.state = advance(entry.state, OrderState.REFUSED)
        entry.refused_attempts.add(attempt_id)
        entry.expires_s = max(entry.expires_s, self.clock() + TOMBSTONE_S)

    def mark_running(self, entry):
        """Record that the request is being sent to the backend server."""
        entry.state = advance(entry.state, OrderState.RUNNING)

    def mark_finished(self, entry, status):
        """Record that the response is complete."""
        entry.status = status
        entry.state = advance(entry.state, OrderState.FINISHED)

    def mark_unknown(self, entry):
        """Record that the outcome of an order is unknown."""
        entry.state = advance(entry.state, OrderState.UNKNOWN)

    def remove(self, entry):
        """Remove an entry; only for idempotent attempts."""
        self.entries_by_key.pop(entry.key, None)

    def get_or_tombstone(self, incarnation, key):
        """Return an entry, or add a tombstone if there is none.

        After a refusal as ``TOMBSTONED`` every later dispatch with this key
        is refused, so that the answer remains true.

        :param incarnation: incarnation that the query is addressed to
        :param key: order id, or attempt id for idempotent work
        :returns: entry, or :class:`Refusal` if the order was not executed
            by this agent or if another incarnation is addressed
        """
        if incarnation != self.incarnation:
            detail = f"addressed to {incarnation}, agent is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        entry = self.entries_by_key.get(key)
        if entry is None:
            expires_s = self.clock() + TOMBSTONE_S
            entry = LedgerEntry(key, b"", OrderState.REFUSED, expires_s)
            self.entries_by_key[key] = entry
        if entry.state == OrderState.REFUSED:
            entry.is_permanently_refused = True
            return Refusal(Reason.TOMBSTONED, f"{key!r} was not executed here")
        return entry

    def peek(self, incarnation, key):
        """Return an entry without adding a tombstone.

        :returns: entry, ``None``, or :class:`Refusal` if another
            incarnation is addressed
        """
        if incarnation != self.incarnation:
            detail = f"addressed to {incarnation}, agent is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        return self.entries_by_key.get(key)

    def sweep(self):
        """Remove expired entries, except of requests that have not ended."""
        now = self.clock()
        done = (OrderState.FINISHED, OrderState.REFUSED, OrderState.UNKNOWN)
        for key, entry in list(self.entries_by_key.items()):
            if entry.expires_s < now and entry.state in done:
                del self.entries_by_key[key]

    def _check_duplicate(self, entry, attempt_id, digest):
        """Return the result of a dispatch with a known key."""
        if (
            entry.is_permanently_refused
            or attempt_id in entry.refused_attempts
        ):
            detail = f"{entry.key!r} was reported as not executed"
            return Refusal(Reason.TOMBSTONED, detail, Executed.NO)
        if entry.digest != digest:
            detail = f"{entry.key!r} was used for a different request"
            return Refusal(Reason.KEY_REUSED, detail)
        if entry.state != OrderState.REFUSED:
            return entry, False
        entry.state = advance(entry.state, OrderState.CLAIMED)
        entry.state = advance(entry.state, OrderState.DISPATCHED)
        return entry, True

    def _check_ticket_age(self, issue_uptime_ms, retention_s):
        age_ms = self.uptime_ms() - issue_uptime_ms
        if age_ms <= 1000 * retention_s:
            return None
        return Refusal(Reason.TICKET_EXPIRED, f"ticket issued {age_ms} ms ago")
