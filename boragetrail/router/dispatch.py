"""Dispatch requests to servers, with retries."""

import asyncio
import contextlib
import hashlib

from boragetrail.errors import Failure, LinkFailure, Refusal
from boragetrail.events import Event, log_event
from boragetrail.policy import Candidate, MeanMultipleCap, PlacementRequest
from boragetrail.reasons import Executed, Reason
from boragetrail.router.exchange import Exchange
from boragetrail.router.progress import RequestProgress, can_retry_elsewhere
from boragetrail.wire.messages import Data, Dispatch, End, Start

__all__ = ["Dispatcher", "request_digest"]

MAX_LOAD_ENTRIES_PER_DISPATCH = 6
# Limit on a server's load, as a multiple of the mean load of the service.
DEFAULT_CAP_MULTIPLE = 1.25
NO_SERVER_RETRY_AFTER_S = 0.5
# Limit on attempts of a request after every server has failed or refused it
# once. The pause before such an attempt doubles each time.
MAX_EXTRA_ATTEMPTS = 4
EXTRA_ATTEMPT_PAUSE_S = 0.025


class Dispatcher:
    """Run requests on the servers of their services.

    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    :param placement: :class:`~boragetrail.policy.Placement`
    :param retry_policy: :class:`~boragetrail.policy.RetryPolicy`
    """

    def __init__(self, router, placement, retry_policy):
        self.router = router
        self.placement = placement
        self.retry_policy = retry_policy
        self.clock = router.clock

    def rank_servers(self, context):
        """Return the servers for a request, best first.

        :returns: list of :class:`~boragetrail.policy.Choice`
        """
        loads = self.router.load_table_for(context.service)
        multiple = context.service_config.get(
            "cap_multiple", DEFAULT_CAP_MULTIPLE
        )
        cap = MeanMultipleCap(multiple)
        # totals() iterates over all servers, so it is called once.
        totals = loads.totals()
        candidates = [
            self._make_candidate(member, loads, cap, totals)
            for member in self.router.membership.available_servers(
                context.service
            )
        ]
        placement_request = PlacementRequest(
            context.chat_id or context.request_id,
            context.hint,
            self.router.region(),
            bool(context.hint),
        )
        return self.placement.order(placement_request, candidates)

    async def run_idempotent(self, context):
        """Yield the answer of a request that may run more than once.

        If a model's event stream is interrupted, another server resumes the
        stream after the last event that the caller received.
        """
        self.retry_policy.record_request(context.customer)
        progress = RequestProgress()
        attempts = 0
        while True:
            choice = self._next_choice(context, progress)
            if choice is None:
                yield progress.last_failure or _no_server_refusal(context)
                return
            failure = None
            async with contextlib.aclosing(
                self.run_at(context, choice, attempts, progress)
            ) as messages:
                async for message in messages:
                    if isinstance(message, Failure):
                        failure = message
                        break
                    yield message
            if failure is None:
                return
            attempts += 1
            progress.record_failure(choice, failure)
            pause_s = self._retry_pause_s(context, progress, attempts, failure)
            if pause_s is None:
                yield failure
                return
            await asyncio.sleep(pause_s)

    async def run_once(self, context, order_id):
        """Yield the answer of an at-most-once request without idempotency key.

        Another server is tried only if it is certain that the previous
        server has not executed the request.
        """
        progress = RequestProgress()
        for attempts, choice in enumerate(self.rank_servers(context)):
            failure = None
            async with contextlib.aclosing(
                self.run_at(context, choice, attempts, progress, order_id)
            ) as messages:
                async for message in messages:
                    if isinstance(message, Failure):
                        failure = message
                        break
                    yield message
            if failure is None:
                return
            progress.last_failure = failure
            if not can_retry_elsewhere(failure):
                break
        yield progress.last_failure or _no_server_refusal(context)

    async def run_at(
        self,
        context,
        choice,
        attempts,
        progress,
        order_id="",
        row=("", 0),
        incarnation=None,
        issue_uptime_ms=-1,
    ):
        """Yield the messages of one attempt on one server.

        :param choice: :class:`~boragetrail.policy.Choice`
        :param attempts: number of earlier attempts of the request
        :param progress: :class:`RequestProgress`
        :param order_id: id under which an order runs at most once, or empty
        :param row: (key, version) of the row with the order's claim, or
            ``("", 0)``
        :param incarnation: the only incarnation of the agent that may run
            the order; default: the current one
        :param issue_uptime_ms: uptime of the agent when the caller's ticket
            was issued, or -1 without a ticket
        """
        name = choice.candidate.name
        link = self.router.link_for(name)
        step = _explanation_step(choice)
        context.explanation.steps.append(step)
        connection = await self._connection(link)
        if isinstance(connection, LinkFailure):
            self.router.membership.record_connection_failure(name)
            step["outcome"] = connection.reason.code
            yield connection
            return
        attempt_id = f"{context.request_id}.{attempts}"
        dispatch = Dispatch(
            attempt_id=attempt_id,
            incarnation=incarnation or connection.incarnation,
            customer=context.customer,
            method=context.method,
            path=context.path,
            headers=context.headers,
            body=context.body,
            deadline_ms=self._remaining_ms(context),
            priority=context.priority,
            order_id=order_id,
            order_digest=request_digest(context) if order_id else b"",
            order_time_ms=issue_uptime_ms,
            row_key=row[0],
            row_version=row[1],
            chat_id=context.chat_id,
            kv_source=self._kv_source(context, name),
            resume_events=progress.events,
            last_choice=progress.extra_attempts > 0,
            version=self.router.doc.version,
            loads=self._recent_loads(context.service),
        )
        self.router.load_table_for(context.service).record_sent(name)
        exchange = Exchange(link, dispatch, context.deadline_s, self.clock)
        async for message in self._relay_messages(
            exchange, progress, step, name
        ):
            if isinstance(message, Start):
                context.server = name
            yield message

    async def follow_order(self, context, name, attach):
        """Yield the answer of an order that was dispatched earlier.

        :param name: server that the order was dispatched to
        :param attach: :class:`~boragetrail.wire.messages.Attach`
        """
        exchange = Exchange(
            self.router.link_for(name), attach, context.deadline_s, self.clock
        )
        step = {"server": name, "rule": "order", "outcome": ""}
        context.explanation.steps.append(step)
        context.server = name
        progress = RequestProgress()
        async for message in self._relay_messages(
            exchange, progress, step, name
        ):
            yield message

    async def _connection(self, link):
        if link is None:
            detail = "the server is not in the list of members"
            return LinkFailure(Reason.UNREACHABLE, detail, Executed.NO)
        return await link.connection()

    async def _relay_messages(self, exchange, progress, step, name):
        async with contextlib.aclosing(exchange.messages()) as messages:
            async for message in messages:
                if isinstance(message, Failure):
                    step["outcome"] = message.reason.code
                    step["detail"] = message.detail
                    self._record_connection_failure(name, message)
                    yield message
                    return
                if isinstance(message, Start):
                    self.router.membership.record_connection_success(name)
                    if progress.started:
                        continue
                    progress.started = True
                if isinstance(message, Data):
                    progress.record_data(exchange)
                if isinstance(message, End):
                    step["outcome"] = "ok"
                yield message

    def _record_connection_failure(self, name, failure):
        if failure.reason in (Reason.LINK_LOST, Reason.UNREACHABLE):
            self.router.membership.record_connection_failure(name)

    def _next_choice(self, context, progress):
        choices = self.rank_servers(context)
        for choice in choices:
            if choice.candidate.name not in progress.tried_servers:
                return choice
        if not choices or progress.extra_attempts >= MAX_EXTRA_ATTEMPTS:
            return None
        # Every server failed or refused. Refusals contain current loads, so
        # the servers are now tried in order of increasing load.
        loads = self.router.load_table_for(context.service)
        choices.sort(key=lambda c: loads.relative_load_of(c.candidate.name))
        choice = choices[progress.extra_attempts % len(choices)]
        choice.rule = "least"
        progress.extra_attempts += 1
        return choice

    def _retry_pause_s(self, context, progress, attempts, failure):
        if failure.reason in (Reason.DEADLINE, Reason.KEY_REUSED):
            return None
        not_executed = failure.ran == Executed.NO
        if progress.started and not progress.is_resumable(context):
            return None
        remaining_s = context.deadline_s - self.clock()
        pause_s = self.retry_policy.backoff_s(
            context.customer, attempts, not_executed, remaining_s
        )
        if pause_s is not None and progress.extra_attempts:
            pause_s += EXTRA_ATTEMPT_PAUSE_S * 2**progress.extra_attempts
        if pause_s is not None and progress.started:
            request_id = context.request_id
            log_event(Event.STREAM_RESUMED, request_id=request_id)
        return pause_s

    def _make_candidate(self, member, loads, cap, totals):
        name = member.vm.name
        zone = self.router.doc.get("zone", member.vm.zone) or {}
        entry = loads.entries_by_server.get(name)
        suspect = self.router.membership.is_suspect(member)
        candidate = Candidate(
            name, member.vm.zone, zone.get("region", ""), suspect=suspect
        )
        if entry is None:
            candidate.load_age_s = float("inf")
            return candidate
        candidate.load = entry.load
        candidate.load_age_s = self.clock() - entry.at_s
        candidate.limit = cap.limit(*totals, entry.share)
        candidate.cold = entry.share < 1
        return candidate

    def _recent_loads(self, service):
        return self.router.load_table_for(service).newest_lists(
            MAX_LOAD_ENTRIES_PER_DISPATCH
        )

    def _kv_source(self, context, name):
        """Return the name of the server to copy the KV cache from, or empty.

        The KV cache of a chat is copied if a model request goes to a server
        other than the one that the caller's hint names.
        """
        if context.service_config.get("kind") != "model":
            return ""
        if not context.hint or context.hint == name:
            return ""
        member = self.router.membership.members_by_name.get(context.hint)
        if member is None or member.vm.service != context.service:
            return ""
        return context.hint

    def _remaining_ms(self, context):
        remaining_s = context.deadline_s - self.clock()
        return max(1, int(1000 * remaining_s))


def request_digest(context):
    """Return a digest of a request's customer, method, path and body.

    The digest shows whether an idempotency key is reused with another
    request.
    """
    digest = hashlib.sha256()
    for part in (context.method, context.path, context.customer):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(context.body)
    return digest.digest()[:16]


def _explanation_step(choice):
    candidate = choice.candidate
    return {
        "server": candidate.name,
        "rule": choice.rule,
        "score": round(choice.score / 2**64, 4),
        "load": None if candidate.load == float("inf") else candidate.load,
        "load_age_s": _finite_or_none(candidate.load_age_s),
        "limit": _finite_or_none(candidate.limit),
        "cold": candidate.cold,
        "outcome": "",
        "detail": "",
    }


def _finite_or_none(value):
    return None if value == float("inf") else round(value, 3)


def _no_server_refusal(context):
    detail = f"service {context.service!r} has no server that accepts work"
    return Refusal(
        Reason.NO_SERVER, detail, retry_after_s=NO_SERVER_RETRY_AFTER_S
    )
