"""Dispatch of requests to servers, with retries."""

from boragetrail.direct.attempt import Attempt
from boragetrail.direct.crashes import shared_parts
from boragetrail.direct.failures import (
    RETRY_AFTER_S,
    deadline_failure,
    no_server_failure,
    overall_failure,
)
from boragetrail.direct.forwarding import ResponseForwarder, record_failure
from boragetrail.direct.headers import HeaderRewriter, is_number
from boragetrail.direct.knowledge.requests import request_key
from boragetrail.direct.phases import ExchangeOutcome
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.reports import parse_load, reports_speed
from boragetrail.direct.requestlog import RequestLog
from boragetrail.errors import Failure, Refusal
from boragetrail.policy.quota import RetryQuota
from boragetrail.reasons import Executed, Reason

__all__ = ["Dispatcher"]

# Limit on all attempts of a request. A route's max_attempts limits just the
# attempts that may have been executed.
MAX_TOTAL_ATTEMPTS = 8
# Longest idle time of a connection that a request may reuse. It is shorter for
# requests that must not be retried.
MAX_REUSE_IDLE_S = 3.0
MAX_REUSE_IDLE_NOT_RETRYABLE_S = 1.0
# With less time to the deadline a request is not retried.
MIN_RETRY_TIME_S = 0.02


class Dispatcher:
    """Send requests to servers until one responds or the deadline passes.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param selector: :class:`~boragetrail.direct.selector.ServerSelector`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param bounds: :class:`~boragetrail.settings.direct.Bounds`
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :param crash_monitor: :class:`~boragetrail.direct.crashes.CrashMonitor`
    :param stream_versions:
        :class:`~boragetrail.direct.resumption.StreamVersions`
    :ivar capacity: :class:`~boragetrail.direct.capacity.CapacityMonitor`, or
        ``None`` if memory and speed of servers are not taken into account
    :ivar on_speed_reported: function that is called when a server reports how
        long work takes there
    :ivar attempt_observers: list of
        :class:`~boragetrail.direct.attemptobserver.AttemptObserver`
    :ivar gate: :class:`~boragetrail.direct.admission.AdmissionGate`, or
        ``None`` if requests are not admitted by priority
    """

    def __init__(
        self,
        fleet,
        selector,
        names,
        bounds,
        clock,
        random,
        crash_monitor,
        stream_versions,
    ):
        self.fleet = fleet
        self.selector = selector
        self.crash_monitor = crash_monitor
        self.stream_versions = stream_versions
        self.names = names
        self.bounds = bounds
        self.clock = clock
        self.random = random
        self.rewriter = HeaderRewriter(names)
        self.gate = None
        self.retry_quotas_by_service = {}
        self.capacity = None
        self.on_speed_reported = lambda: None
        self.attempt_observers = []
        self.request_log = RequestLog(fleet.peers, names, clock)
        self.forwarder = ResponseForwarder(
            names, crash_monitor, stream_versions, self.request_log
        )

    async def run(self, request, caller):
        """Serve a request.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param caller: :class:`~boragetrail.direct.response.CallerResponse`
        :returns: :class:`~boragetrail.errors.Failure`, or ``None`` on success
        """
        prompt = self.selector.prompt(request)
        parts = [*shared_parts(prompt), request_key(request)]
        progress = RequestProgress(prompt, parts)
        self._retry_quota(request.service).record_request()
        try:
            async with request.until_deadline():
                failure = await self._serve(request, caller, progress)
            failure = overall_failure(failure, progress)
        except TimeoutError:
            failure = deadline_failure(request, progress)
        finally:
            if progress.attempt is not None:
                progress.attempt.abort()
        if failure is not None and progress.server_error is not None:
            if not caller.started:
                caller.set_response(*progress.server_error)
        return failure

    async def _serve(self, request, caller, progress):
        await self.crash_monitor.wait_until_loaded()
        refusal = await self.stream_versions.require(request, progress)
        if refusal is not None:
            return refusal
        while True:
            failure = self._admit(request, progress)
            if failure is not None:
                return failure
            if self.gate is not None:
                failure = await self.gate.enter(request, progress)
                if failure is not None:
                    return failure
            state = self.selector.choose(request, progress)
            if state is None:
                return no_server_failure(
                    request, progress, self.fleet, self.random
                )
            failure = await self._try_server(request, caller, progress, state)
            if failure is None:
                return None
            if await self._may_crash_server(request, progress):
                return failure
            if not self._may_retry(request, progress, failure):
                return failure
            self.request_log.retried(request, progress, failure, state)

    def _admit(self, request, progress):
        """Return the failure of a request with a quarantined part.

        :returns: :class:`~boragetrail.errors.Failure`, or ``None`` if the
            request may be sent
        """
        admission = self.crash_monitor.admit(request, progress.parts)
        progress.is_trial = admission.is_trial
        if admission.admitted:
            return None
        return Refusal(
            Reason.QUARANTINED,
            f"part {admission.part}",
            Executed.NO,
            admission.retry_after_s,
        )

    async def _may_crash_server(self, request, progress):
        """Return whether a failed request may crash another server."""
        attempt = progress.attempt
        if not attempt.connection_lost or attempt.was_reset:
            return False
        check = self.crash_monitor.response_lost(request, progress)
        if not request.route.retryable:
            return False
        return await self.crash_monitor.may_crash_again(progress, check)

    async def _try_server(self, request, caller, progress, state):
        """Run one attempt at a server.

        :returns: :class:`~boragetrail.errors.Failure`, or ``None`` if the
            caller has its response
        """
        record = state.record
        progress.tried_ids.add(record.id)
        progress.attempt_count += 1
        attempt = Attempt(
            state,
            self.names,
            request.id,
            self.clock,
            progress.parts,
            request.route.retryable,
        )
        progress.attempt = attempt
        state.attempts.add(attempt)
        for each in self.attempt_observers:
            each.attempt_began(request, attempt)
        plan = self.selector.plan(request, progress, record)
        self.request_log.sent(request, progress, state, plan)
        progress.pending_work = PendingWork(state, plan.prefill_tokens)
        hold = self._hold_tokens(request, progress, state)
        try:
            return await self._exchange(request, caller, progress, plan)
        finally:
            progress.pending_work.end()
            if self.capacity is not None:
                self.capacity.release(request, hold)
                self.capacity.record_attempt(request, attempt)
            state.attempts.discard(attempt)
            attempt.abort()
            for each in self.attempt_observers:
                each.attempt_ended(request, attempt)
            if self.gate is not None:
                self.gate.attempt_ended(request, progress)

    def _hold_tokens(self, request, progress, state):
        if self.capacity is None:
            return None
        return self.capacity.hold(request, progress, state)

    async def _exchange(self, request, caller, progress, plan):
        attempt = progress.attempt
        state = attempt.server
        retryable = request.route.retryable
        max_idle_s = (
            MAX_REUSE_IDLE_S if retryable else MAX_REUSE_IDLE_NOT_RETRYABLE_S
        )
        if not await attempt.open(max_idle_s):
            self.fleet.record_unreachable(state, attempt.began_s, retryable)
            return Refusal(Reason.UNREACHABLE, attempt.error)
        if not state.accepts_requests():
            # The server may have said so since it was selected.
            reason = Reason.PAUSED if state.pause_left_s() else Reason.LEAVING
            return Refusal(reason, f"server {state.record.id}")
        if progress.version is not None:
            if not await self.stream_versions.may_go_on(progress, attempt):
                detail = f"version of server {state.record.id}"
                return Refusal(Reason.STREAM_UNKNOWN, detail)
        limiter = self.fleet.knowledge.limiter
        if not limiter.confirm(state.record, progress.counted_s):
            return Refusal(Reason.LIMITED, f"server {state.record.id}")
        if not progress.is_trial:
            # A part may have been quarantined since the server was selected.
            failure = self._admit(request, progress)
            if failure is not None:
                return failure
        left_s = request.deadline_s - self.clock()
        resume_after = progress.splitter.last_id if caller.started else ""
        head = self.rewriter.request_head(
            request, state.record.id, left_s, resume_after, plan.copy_from
        )
        progress.attempts_sent += 1
        if not caller.started:
            self.stream_versions.sent(request, attempt)
        outcome = await attempt.exchange(head + request.body)
        progress.pending_work.prefill_finished()
        if outcome is ExchangeOutcome.RESPONSE:
            progress.possible_executions += 1
            self._record_server_state(state, attempt.response)
            return await self.forwarder.forward(
                request, caller, progress, attempt
            )
        return self._exchange_failure(progress, attempt, outcome)

    def _exchange_failure(self, progress, attempt, outcome):
        state = attempt.server
        if outcome is ExchangeOutcome.MISDIRECTED:
            self.fleet.directory.remove(state.record.id)
            return Refusal(
                Reason.UNREACHABLE, "another server listens at its address"
            )
        if outcome is ExchangeOutcome.REFUSED:
            self._record_server_state(state, attempt.response)
            detail = f"server {state.record.id} refused the request"
            return Refusal(
                Reason.OVERLOADED, detail, Executed.NO, RETRY_AFTER_S
            )
        record_failure(attempt)
        if outcome is ExchangeOutcome.UNREACHABLE:
            progress.attempts_sent -= 1
            return Refusal(Reason.UNREACHABLE, attempt.error)
        progress.possible_executions += 1
        return Failure(Reason.BACKEND_FAILED, attempt.error)

    def _may_retry(self, request, progress, failure):
        if progress.attempt_count >= MAX_TOTAL_ATTEMPTS:
            return False
        if request.deadline_s - self.clock() < MIN_RETRY_TIME_S:
            return False
        if failure.ran is not Executed.NO:
            if not request.route.retryable:
                return False
            if progress.possible_executions >= request.route.max_attempts:
                return False
        elif progress.possible_executions and not request.route.retryable:
            return False
        if not progress.attempts_sent:
            return True
        routers = self.fleet.peers.max_size()
        return self._retry_quota(request.service).try_acquire(routers)

    def _record_server_state(self, state, response):
        state.suspicion.record_life()
        state.record_life()
        text = response.headers.get(self.names.load, "")
        if reports_speed(text):
            self.on_speed_reported()
        if self.capacity is None:
            load = parse_load(text)
        else:
            load = self.capacity.record_header(state.record, text)
        if load is not None:
            self.fleet.reports.record(state.record.id, load)
        text = response.headers.get(self.names.cold_ms, "")
        if is_number(text):
            state.record_cold(int(text) / 1000.0)

    def _retry_quota(self, service):
        quota = self.retry_quotas_by_service.get(service.name)
        if quota is None:
            bounds = self.bounds
            quota = RetryQuota(
                bounds.retry_ratio,
                bounds.retry_window_s,
                bounds.retry_extra,
                self.clock,
            )
            self.retry_quotas_by_service[service.name] = quota
        return quota
