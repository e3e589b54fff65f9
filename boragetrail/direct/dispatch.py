"""Send requests to servers and pass the answers on."""

import asyncio

from boragetrail.direct.attempt import Attempt, AttemptState, ExchangeOutcome
from boragetrail.direct.eventstream import MAX_EVENT_BYTES
from boragetrail.direct.headers import HeaderRewriter
from boragetrail.direct.model import RequestKind
from boragetrail.direct.progress import PendingWork, RequestProgress
from boragetrail.direct.reports import parse_load
from boragetrail.errors import Failure, Refusal
from boragetrail.events import Event, log_event
from boragetrail.policy.quota import RetryQuota
from boragetrail.reasons import Executed, Reason

__all__ = ["Dispatcher"]

RETRY_AFTER_S = 0.3
MOST_TRIES = 8
# Longest idle time in seconds of a connection that a request may reuse.
REUSE_S = 3.0
REUSE_AT_MOST_ONCE_S = 1.0
LEAST_LEFT_S = 0.02
# What a server answers when the time of a request is up.
OUT_OF_TIME = 504
EVENT_TOO_LONG = f"an event of more than {MAX_EVENT_BYTES} bytes"


class Dispatcher:
    """Send requests to servers.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param choice: :class:`~boragetrail.direct.selector.ServerChoice`
    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    :param bounds: :class:`~boragetrail.settings.direct.Bounds`
    :param clock: function that returns monotonic seconds
    """

    def __init__(self, fleet, selector, names, bounds, clock):
        self.fleet = fleet
        self.selector = selector
        self.names = names
        self.bounds = bounds
        self.clock = clock
        self.rewriter = HeaderRewriter(names)
        self.repeats_by_service = {}

    async def run(self, request, caller):
        """Serve a request, or say why it failed.

        :param request: :class:`~boragetrail.direct.request.DirectRequest`
        :param caller: :class:`~boragetrail.direct.response.CallerAnswer`
        :returns: :class:`~boragetrail.errors.Failure` or ``None``
        """
        progress = RequestProgress(self.selector.prompt(request))
        self._repeats(request.service).record_request()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                failure = await self._serve(request, caller, progress)
        except TimeoutError:
            failure = self._late(request, progress)
        finally:
            if progress.attempt is not None:
                progress.attempt.abort()
        if failure is not None and progress.failed is not None:
            if not caller.started:
                caller.whole(*progress.failed)
        return failure

    async def _serve(self, request, caller, progress):
        while True:
            state = self.selector.choose(request, progress)
            if state is None:
                return self._no_server(request, progress)
            failure = await self._attempt(request, caller, progress, state)
            if failure is None:
                return None
            if not self._may_repeat(request, progress, failure):
                return failure
            self._log_repeat(request, progress, failure, state)

    async def _attempt(self, request, caller, progress, state):
        """Return ``None`` if the caller's answer is settled."""
        record = state.record
        progress.tried.add(record.id)
        progress.tries += 1
        attempt = Attempt(state, self.names, request.id, self.clock)
        progress.attempt = attempt
        state.attempts.add(attempt)
        plan = self.selector.plan(request, progress, record.id)
        self._log_sent(request, progress, state, plan)
        progress.work = PendingWork(state, plan.prefill_tokens)
        try:
            return await self._exchange(request, caller, progress, plan)
        finally:
            progress.work.end()
            state.attempts.discard(attempt)
            attempt.abort()

    async def _exchange(self, request, caller, progress, plan):
        attempt = progress.attempt
        state = attempt.server
        retryable = request.route.retryable
        newest_s = REUSE_S if retryable else REUSE_AT_MOST_ONCE_S
        if not await attempt.open(newest_s):
            state.record_failure()
            return Refusal(Reason.UNREACHABLE, attempt.error)
        left_s = request.deadline_s - self.clock()
        resume_after = progress.events.last_id if caller.started else ""
        head = self.rewriter.request_head(
            request, state.record.id, left_s, resume_after, plan.copy_from
        )
        progress.arrivals += 1
        verdict = await attempt.exchange(head + request.body)
        progress.work.prefill_finished()
        if verdict is ExchangeOutcome.ANSWER:
            progress.runs += 1
            self._note_answer(state, attempt.answer)
            return await self._pass_on(request, caller, progress, attempt)
        return self._unanswered(progress, attempt, verdict)

    def _unanswered(self, progress, attempt, verdict):
        state = attempt.server
        if verdict is ExchangeOutcome.MISDIRECTED:
            self.fleet.directory.remove(state.record.id)
            return Refusal(Reason.UNREACHABLE, "another server answers there")
        if verdict is ExchangeOutcome.REFUSED:
            self._note_answer(state, attempt.answer)
            detail = f"server {state.record.id} refused it"
            return Refusal(
                Reason.OVERLOADED, detail, Executed.NO, RETRY_AFTER_S
            )
        state.record_failure()
        if verdict is ExchangeOutcome.UNREACHABLE:
            progress.arrivals -= 1
            return Refusal(Reason.UNREACHABLE, attempt.error)
        progress.runs += 1
        return Failure(Reason.BACKEND_FAILED, attempt.error)

    async def _pass_on(self, request, caller, progress, attempt):
        answer = attempt.answer
        if request.route.kind is RequestKind.STREAM and answer.ok:
            return await self._pass_stream(request, caller, progress, attempt)
        body = await attempt.body()
        if body is None:
            attempt.server.record_failure()
            return Failure(Reason.TRUNCATED, attempt.error)
        fields = self.rewriter.response_fields(answer.raw_headers)
        if answer.ok:
            attempt.server.record_response()
            caller.whole(answer.status, fields, body)
            return None
        error = (answer.status, fields, body)
        return self._server_error(caller, progress, attempt.server, error)

    def _server_error(self, caller, progress, server, error):
        """Keep an error of a server; a repeat may still succeed."""
        status = error[0]
        server.record_response(failed=status >= 500 and status != OUT_OF_TIME)
        if caller.started:
            return Failure(Reason.BACKEND_FAILED, f"status {status}")
        progress.failed = error
        detail = f"the server answered {status}"
        return Failure(Reason.BACKEND_FAILED, detail, Executed.YES)

    async def _pass_stream(self, request, caller, progress, attempt):
        answer = attempt.answer
        if not caller.started:
            fields = self.rewriter.response_fields(answer.raw_headers)
            await caller.start(answer.status, fields)
        events = progress.events
        events.remainder = b""
        began = False
        async for data in attempt.chunks():
            whole = events.feed(data)
            if events.is_too_long():
                attempt.server.record_failure()
                return Failure(Reason.TRUNCATED, EVENT_TOO_LONG)
            if whole:
                await caller.write(whole)
            if whole and not began:
                began = True
                self._log_began(request, attempt)
        if attempt.state is not AttemptState.COMPLETE:
            attempt.server.record_failure()
            return Failure(Reason.TRUNCATED, attempt.error)
        if events.remainder:
            await caller.write(events.remainder)
        attempt.server.record_response()
        await caller.finish()
        return None

    def _may_repeat(self, request, progress, failure):
        if progress.tries >= MOST_TRIES:
            return False
        if request.deadline_s - self.clock() < LEAST_LEFT_S:
            return False
        if failure.ran is not Executed.NO:
            if not request.route.retryable:
                return False
            if progress.runs >= request.route.max_attempts:
                return False
        elif progress.runs and not request.route.retryable:
            return False
        if not progress.arrivals:
            return True
        routers = self.fleet.peers.size()
        return self._repeats(request.service).try_acquire(routers)

    def _no_server(self, request, progress):
        if progress.runs:
            detail = "no other server can take the request"
            return Failure(Reason.BACKEND_FAILED, detail)
        reason = Reason.OVERLOADED if progress.tried else Reason.NO_SERVER
        detail = f"service {request.service.name!r}"
        return Refusal(reason, detail, Executed.NO, RETRY_AFTER_S)

    def _late(self, request, progress):
        attempt = progress.attempt
        allowed_s = request.deadline_s - request.received_s
        detail = f"the {request.deadline_from} allowed {allowed_s:.2f} s"
        if progress.runs or (attempt and attempt.ran() is not Executed.NO):
            return Failure(Reason.DEADLINE, detail)
        detail = f"{detail}, and no server took it"
        return Refusal(Reason.OVERLOADED, detail, Executed.NO, RETRY_AFTER_S)

    def _note_answer(self, state, answer):
        load = parse_load(answer.headers.get(self.names.load, ""))
        if load is not None:
            self.fleet.reports.record(state.record.id, load)
        text = answer.headers.get(self.names.cold_ms, "")
        if text.isdigit():
            state.record_cold(int(text) / 1000.0)

    def _repeats(self, service):
        part = self.repeats_by_service.get(service.name)
        if part is None:
            bounds = self.bounds
            part = RetryQuota(
                bounds.retry_ratio,
                bounds.retry_window_s,
                bounds.retry_extra,
                self.clock,
            )
            self.repeats_by_service[service.name] = part
        return part

    def _log_sent(self, request, progress, state, plan):
        """Log a choice with its inputs; the end line names its result."""
        peers = self.fleet.peers
        request.decision = {
            "server": state.record.id,
            "tries": progress.tries,
        }
        inputs = {
            "in_flight": state.in_flight,
            "others": peers.load(state.record.id).requests,
            "news_age_s": peers.newest_digest_age_s(),
            "doubtful": state.is_suspect(),
            "left_s": round(request.deadline_s - self.clock(), 3),
        }
        if progress.prompt:
            inputs["unread_tokens"] = plan.prefill_tokens
            inputs["copied_from"] = plan.copy_from
        log_event(
            Event.REQUEST_SENT,
            request=request.id,
            service=request.service.name,
            **request.decision,
            **inputs,
        )

    def _log_began(self, request, attempt):
        log_event(
            Event.STREAM_STARTED,
            request=request.id,
            server=attempt.server.record.id,
            after_s=round(self.clock() - request.received_s, 3),
        )

    def _log_repeat(self, request, progress, failure, state):
        log_event(
            Event.REQUEST_RETRIED,
            request=request.id,
            server=state.record.id,
            code=failure.reason.code,
            detail=failure.detail,
            ran=failure.ran.value,
            tries=progress.tries,
        )
