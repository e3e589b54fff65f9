"""Attempts of requests on a backend server, from admission to their end."""

import asyncio
import functools
import time

from boragetrail.agent.attempt import Attempt
from boragetrail.agent.backend import StepTimeMeter
from boragetrail.agent.stream import AnswerStream
from boragetrail.errors import BackendFailure, Refusal
from boragetrail.events import Event, log_event
from boragetrail.policy import StallGate
from boragetrail.reasons import Executed, Reason

__all__ = ["AttemptController"]

# Seconds after which an idempotent attempt is cancelled if no router reads
# the answer.
MAX_DETACHED_S = 5.0
# Seconds for which the answer of a finished idempotent attempt is kept.
IDEMPOTENT_RETENTION_S = 10.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
DEFAULT_ANSWER_RETENTION_S = 86_400
DEFAULT_FIRST_TOKEN_S = 1.0
STALL_CHECK_INTERVAL_S = 0.02


class AttemptController:
    """Admit, run and track the attempts of one backend server.

    :param ledger: :class:`~boragetrail.orders.Ledger`
    :param admission: :class:`~boragetrail.policy.BoundedAdmission`
    :param check_admission: function without arguments that returns a
        refusal of all new work, or ``None``
    :param backend: :class:`~boragetrail.agent.backend.BackendClient`
    :param service_of: function that returns the service's configuration, or
        ``None``
    :param binding_of: function that returns a customer's binding to the
        service, or ``None``
    :param on_order_finished: called with the attempt of a finished order
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :param import_kv: coroutine function that imports the KV cache for a
        dispatch
    :param clock: function that returns monotonic seconds
    """

    def __init__(
        self,
        ledger,
        admission,
        check_admission,
        backend,
        service_of,
        binding_of,
        on_order_finished,
        tasks,
        import_kv,
        clock=time.monotonic,
    ):
        self.ledger = ledger
        self.admission = admission
        self.check_admission = check_admission
        self.backend = backend
        self.service_of = service_of
        self.binding_of = binding_of
        self.on_order_finished = on_order_finished
        self.tasks = tasks
        self.import_kv = import_kv
        self.clock = clock
        self.stall_gate = StallGate(clock)
        self.stall_timer = None
        self.attempts_by_key = {}
        self.outcomes_by_code = {}

    def dispatch(self, message):
        """Admit or refuse a dispatch.

        For a duplicate dispatch, the existing attempt is returned.

        :param message: :class:`~boragetrail.wire.messages.Dispatch`
        :returns: :class:`Attempt` or :class:`Refusal`
        """
        self.admission.loads.merge_lists(message.loads)
        key = message.order_id or message.attempt_id
        issue_uptime_ms = (
            None if message.order_time_ms < 0 else message.order_time_ms
        )
        result = self.ledger.register_dispatch(
            message.incarnation,
            key,
            message.attempt_id,
            message.order_digest,
            self._retention_s(message),
            issue_uptime_ms,
        )
        if isinstance(result, Refusal):
            return self._count_outcome(result)
        entry, is_new = result
        if not is_new:
            return self.attempts_by_key.get(key) or self._expired_refusal(key)
        refusal = self.check_admission()
        if refusal:
            self.ledger.mark_refused(entry, message.attempt_id)
            return self._count_outcome(refusal)
        return self._admit(message, entry)

    def find_attempt(self, message):
        """Return the attempt whose answer a router wants to continue.

        If the ledger does not know the attempt, a tombstone is recorded, so
        that a delayed dispatch is refused.

        :param message: :class:`~boragetrail.wire.messages.Attach`
        :returns: :class:`Attempt` or :class:`Refusal`
        """
        key = message.order_id or message.attempt_id
        entry = self.ledger.get_or_tombstone(message.incarnation, key)
        if isinstance(entry, Refusal):
            return entry
        return self.attempts_by_key.get(key) or self._expired_refusal(key)

    def cancel(self, attempt_id):
        """Cancel an idempotent attempt; orders are not cancelled."""
        attempt = self.attempts_by_key.get(attempt_id)
        if attempt is None or attempt.is_order:
            return
        if attempt.started_s is None:
            refusal = Refusal(Reason.CANCELLED, "", Executed.NO)
            self._refuse_attempt(attempt, refusal)
        elif attempt.task is not None:
            attempt.task.cancel()

    def detach(self, attempt):
        """Record that a connection stopped reading an answer.

        An idempotent attempt that no connection reads is cancelled after
        ``MAX_DETACHED_S``.
        """
        attempt.reader_count -= 1
        if attempt.reader_count or attempt.is_order or attempt.stream.done:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(MAX_DETACHED_S, self._cancel_if_detached, attempt)

    def refuse_waiting(self, reason):
        """Refuse every attempt that waits for a slot."""
        for attempt in list(self.attempts_by_key.values()):
            if attempt.started_s is None and attempt.refusal is None:
                self._refuse_attempt(attempt, Refusal(reason))

    def sweep(self):
        """Remove expired ledger entries and their finished attempts."""
        self.ledger.sweep()
        for key, attempt in list(self.attempts_by_key.items()):
            if attempt.stream.done and key not in self.ledger.entries_by_key:
                del self.attempts_by_key[key]

    def start_ready(self):
        """Start queued attempts while slots are free.

        No attempt starts while the stall gate blocks, because steps of the
        engine are overdue or enough requests have started in this step.
        """
        while not self._is_stalled():
            attempt = self.admission.start_next()
            if attempt is None:
                return
            self.ledger.mark_running(attempt.entry)
            attempt.started_s = self.clock()
            name = f"attempt {attempt.dispatch.attempt_id}"
            self.stall_gate.request_started()
            meter = self._make_meter()
            attempt.task = self.tasks.start(self._run(attempt, meter), name)
            on_end = functools.partial(self._on_end, attempt, meter)
            attempt.task.add_done_callback(on_end)

    def _is_stalled(self):
        if not self.stall_gate.is_blocking(self.admission.warmup.baseline_s):
            return False
        if self.stall_timer is None:
            loop = asyncio.get_running_loop()
            check = loop.call_later(STALL_CHECK_INTERVAL_S, self._check_stall)
            self.stall_timer = check
        return True

    def _check_stall(self):
        self.stall_timer = None
        self.start_ready()

    def unfinished_count(self):
        """Return the number of attempts that have not ended."""
        attempts = self.attempts_by_key.values()
        return sum(1 for attempt in attempts if not attempt.stream.done)

    def buffered_bytes(self):
        """Return the number of buffered bytes of unfinished answers."""
        attempts = self.attempts_by_key.values()
        return sum(
            len(attempt.stream.buffer)
            for attempt in attempts
            if not attempt.stream.done
        )

    def _admit(self, message, entry):
        deadline_s = self.clock() + message.deadline_ms / 1000
        stream = AnswerStream(keep_whole=bool(message.order_id))
        attempt = Attempt(message, entry, stream, deadline_s)
        binding = self.binding_of(message.customer) or {}
        service = self.service_of() or {}
        wait_limit_s = (
            service.get("first_token_ms", 1000 * DEFAULT_FIRST_TOKEN_S) / 1000
        )
        queue_entry = self.admission.offer(
            attempt,
            message.customer,
            binding.get("weight", 1.0),
            message.priority,
            min(wait_limit_s, message.deadline_ms / 1000),
            message.last_choice,
        )
        if isinstance(queue_entry, Refusal):
            self.ledger.mark_refused(entry, message.attempt_id)
            return self._count_outcome(queue_entry)
        attempt.queue_entry = queue_entry
        self.attempts_by_key[entry.key] = attempt
        loop = asyncio.get_running_loop()
        loop.call_later(message.deadline_ms / 1000, self._on_deadline, attempt)
        self.start_ready()
        return attempt

    def _make_meter(self):
        if (self.service_of() or {}).get("kind") == "model":
            return StepTimeMeter(self._on_step_time, self.stall_gate)
        return None

    async def _run(self, attempt, meter):
        if attempt.dispatch.kv_source:
            await self.import_kv(attempt.dispatch)
        return await self.backend.run(
            attempt.dispatch, attempt.stream, meter, MAX_ANSWER_BYTES
        )

    def _on_end(self, attempt, meter, task):
        failure = _failure_of(task)
        stream = attempt.stream
        warmup = self.admission.warmup
        duration_s = self.clock() - attempt.started_s
        if failure is None:
            if meter is None or not stream.events:
                warmup.record_success()
            else:
                warmup.record_request_end()
            self.ledger.mark_finished(attempt.entry, stream.status)
        else:
            self._record_failure(attempt, failure)
        has_failed = failure is not None
        customer = attempt.dispatch.customer
        self.admission.record_end(customer, None if has_failed else duration_s)
        stream.end(failure)
        self._count_outcome(failure)
        if attempt.is_order:
            self.on_order_finished(attempt)
        else:
            self._schedule_removal(attempt)
        self.start_ready()

    def _record_failure(self, attempt, failure):
        if failure.reason in (
            Reason.UNREACHABLE,
            Reason.BACKEND_FAILED,
            Reason.TRUNCATED,
        ):
            self.record_server_failure(failure.detail)
        if failure.ran == Executed.NO and attempt.is_order:
            # No connection was opened, so the order was not executed and may
            # be dispatched again with the same ticket or claim.
            self.ledger.mark_refused(
                attempt.entry, attempt.dispatch.attempt_id
            )
            self.attempts_by_key.pop(attempt.entry.key, None)
            return
        self.ledger.mark_unknown(attempt.entry)
        if attempt.is_order:
            key = attempt.entry.key
            log_event(Event.ORDER_UNKNOWN, order=key, reason=failure.detail)

    def record_server_failure(self, detail):
        """Restart the server's warm-up and refuse the waiting attempts.

        :param detail: description of the server's failure, for the log
        """
        was_cold = self.admission.warmup.is_cold()
        self.admission.warmup.record_failure()
        self.admission.refresh()
        if not was_cold:
            log_event(Event.SERVER_COLD, detail=detail)
        self.refuse_waiting(Reason.COLD)

    def _on_step_time(self, step_s):
        warmup = self.admission.warmup
        was_cold = warmup.is_cold()
        if warmup.record_step_time(step_s):
            log_event(Event.SERVER_COLD, pace_ms=round(1000 * step_s, 1))
            self.admission.refresh()
            self.refuse_waiting(Reason.COLD)
        elif was_cold and not warmup.is_cold():
            log_event(Event.SERVER_WARM, slots=warmup.slots)
        self.start_ready()

    def _refuse_attempt(self, attempt, refusal):
        attempt.refusal = refusal
        self.admission.withdraw(attempt.queue_entry)
        self.ledger.mark_refused(attempt.entry, attempt.dispatch.attempt_id)
        attempt.stream.end(refusal)
        self.attempts_by_key.pop(attempt.entry.key, None)
        self._count_outcome(refusal)

    def _on_deadline(self, attempt):
        if attempt.stream.done:
            return
        if attempt.started_s is None:
            detail = "no slot became free before the deadline"
            self._refuse_attempt(attempt, Refusal(Reason.OVERLOADED, detail))
        elif not attempt.is_order and attempt.task is not None:
            attempt.task.cancel()

    def _cancel_if_detached(self, attempt):
        if not attempt.reader_count:
            self.cancel(attempt.dispatch.attempt_id)

    def _schedule_removal(self, attempt):
        key = attempt.entry.key
        loop = asyncio.get_running_loop()
        loop.call_later(
            IDEMPOTENT_RETENTION_S, self.attempts_by_key.pop, key, None
        )
        attempt.entry.expires_s = self.clock() + IDEMPOTENT_RETENTION_S

    def _retention_s(self, message):
        if not message.order_id:
            return 60.0
        service = self.service_of() or {}
        return service.get("answer_retention_s", DEFAULT_ANSWER_RETENTION_S)

    def _expired_refusal(self, key):
        detail = f"the answer of {key!r} has expired"
        return Refusal(Reason.ORDER_UNKNOWN, detail)

    def _count_outcome(self, failure):
        code = "ok" if failure is None else failure.reason.code
        counts = self.outcomes_by_code
        counts[code] = counts.get(code, 0) + 1
        return failure


def _failure_of(task):
    if task.cancelled():
        return BackendFailure(Reason.CANCELLED)
    if task.exception() is not None:
        return BackendFailure(Reason.BACKEND_FAILED, repr(task.exception()))
    return task.result()
