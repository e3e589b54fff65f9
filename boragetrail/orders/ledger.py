"""The agent's memory of attempts and orders.

The ledger decides whether a dispatch is new, a repeat or forbidden. It is
plain state with an injected clock: the agent keeps it, the tests drive it.
"""

from boragetrail.errors import Refusal
from boragetrail.orders.state import OrderState, advance
from boragetrail.reasons import Executed, Reason

__all__ = ["LedgerEntry", "Ledger"]

# Seconds for which a tombstone is kept; a frame that a network delays is
# dropped with its connection long before.
TOMBSTONE_S = 900.0
MOST_ENTRIES = 200_000


class LedgerEntry:
    """One attempt or order that the ledger knows.

    :ivar key: order id, or attempt id for idempotent work
    :ivar digest: digest of the request, to recognise another body
    :ivar state: :class:`~boragetrail.orders.state.OrderState`
    :ivar stream: the answer, while it is kept
    :ivar expires_s: monotonic time after which the entry is forgotten
    :ivar status: HTTP status of the whole answer
    :ivar sealed: whether every later dispatch is refused
    :ivar refused_attempts: attempts that were told "not run"
    """

    __slots__ = (
        "key",
        "digest",
        "state",
        "stream",
        "expires_s",
        "status",
        "sealed",
        "refused_attempts",
    )

    def __init__(self, key, digest, state, expires_s):
        self.key = key
        self.digest = digest
        self.state = state
        self.stream = None
        self.expires_s = expires_s
        self.status = 0
        self.sealed = False
        self.refused_attempts = set()


class Ledger:
    """Know every attempt of this incarnation.

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
        """Return milliseconds since this incarnation began."""
        return int(1000 * (self.clock() - self.started_s))

    def register_dispatch(
        self, incarnation, key, attempt_id, digest, retention_s, time_ms=None
    ):
        """Decide on a dispatch.

        :param incarnation: incarnation that it is addressed to
        :param key: order id, or attempt id for idempotent work
        :param attempt_id: id of the attempt
        :param digest: digest of the request
        :param retention_s: seconds for which the answer is kept
        :param time_ms: uptime at which a ticket was issued, if any
        :returns: (entry, whether it is new), or :class:`Refusal`
        """
        if incarnation != self.incarnation:
            detail = f"addressed to {incarnation}, this is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        entry = self.entries_by_key.get(key)
        if entry is not None:
            return self._repeat(entry, attempt_id, digest)
        if time_ms is not None:
            refusal = self._too_old(time_ms, retention_s)
            if refusal:
                return refusal
        if len(self.entries_by_key) >= MOST_ENTRIES:
            self.sweep()
        if len(self.entries_by_key) >= MOST_ENTRIES:
            return Refusal(Reason.LEDGER_FULL, "", retry_after_s=5.0)
        expires_s = self.clock() + retention_s
        entry = LedgerEntry(key, digest, OrderState.DISPATCHED, expires_s)
        self.entries_by_key[key] = entry
        return entry, True

    def mark_refused(self, entry, attempt_id):
        """Record that an attempt was refused and will not run.

        The entry stays as a tombstone of the attempt, so that a delayed
        copy of its dispatch is refused too.
        """
        entry.state = advance(entry.state, OrderState.REFUSED)
        entry.refused_attempts.add(attempt_id)
        entry.expires_s = max(entry.expires_s, self.clock() + TOMBSTONE_S)

    def mark_running(self, entry):
        """Record that the request is passed to the backend server."""
        entry.state = advance(entry.state, OrderState.RUNNING)

    def mark_finished(self, entry, status):
        """Record the whole answer."""
        entry.status = status
        entry.state = advance(entry.state, OrderState.FINISHED)

    def mark_unknown(self, entry):
        """Record that the outcome cannot be known."""
        entry.state = advance(entry.state, OrderState.UNKNOWN)

    def forget(self, entry):
        """Drop an entry of idempotent work."""
        self.entries_by_key.pop(entry.key, None)

    def query(self, incarnation, key):
        """Return an entry; leave a tombstone if it is not known.

        :returns: entry, or :class:`Refusal`
        """
        if incarnation != self.incarnation:
            detail = f"asked of {incarnation}, this is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        entry = self.entries_by_key.get(key)
        if entry is None:
            expires_s = self.clock() + TOMBSTONE_S
            entry = LedgerEntry(key, b"", OrderState.REFUSED, expires_s)
            self.entries_by_key[key] = entry
        if entry.state == OrderState.REFUSED:
            entry.sealed = True
            return Refusal(Reason.TOMBSTONED, f"{key!r} did not run here")
        return entry

    def peek(self, incarnation, key):
        """Return an entry or ``None`` and leave everything as it is.

        :returns: entry, ``None``, or :class:`Refusal` if another
            incarnation is asked
        """
        if incarnation != self.incarnation:
            detail = f"asked of {incarnation}, this is {self.incarnation}"
            return Refusal(Reason.WRONG_INCARNATION, detail)
        return self.entries_by_key.get(key)

    def sweep(self):
        """Forget entries whose time is over."""
        now = self.clock()
        done = (OrderState.FINISHED, OrderState.REFUSED, OrderState.UNKNOWN)
        for key, entry in list(self.entries_by_key.items()):
            if entry.expires_s < now and entry.state in done:
                del self.entries_by_key[key]

    def _repeat(self, entry, attempt_id, digest):
        if entry.sealed or attempt_id in entry.refused_attempts:
            detail = f"{entry.key!r} was declared not run"
            return Refusal(Reason.TOMBSTONED, detail, Executed.NO)
        if entry.digest != digest:
            detail = f"{entry.key!r} came with another request"
            return Refusal(Reason.KEY_REUSED, detail)
        if entry.state != OrderState.REFUSED:
            return entry, False
        entry.state = advance(entry.state, OrderState.CLAIMED)
        entry.state = advance(entry.state, OrderState.DISPATCHED)
        return entry, True

    def _too_old(self, time_ms, retention_s):
        age_ms = self.uptime_ms() - time_ms
        if age_ms <= 1000 * retention_s:
            return None
        return Refusal(Reason.TICKET_EXPIRED, f"issued {age_ms} ms ago")
