"""Choose servers for a request and run its attempts."""

import asyncio
import contextlib
import hashlib

from boragetrail.errors import Failure, LinkFailure, Refusal
from boragetrail.events import Event, log_event
from boragetrail.policy import Candidate, MeanMultipleCap, Wanted
from boragetrail.reasons import Executed, Reason
from boragetrail.router.exchange import Exchange
from boragetrail.wire.messages import Data, Dispatch, End, Start

__all__ = [
    "Dispatcher",
    "RequestProgress",
    "can_retry_elsewhere",
    "request_digest",
]

LOADS_PER_DISPATCH = 6
DEFAULT_CAP_MULTIPLE = 1.25
RETRY_AFTER_S = 0.5
# Rounds after all servers have refused, and the pause that doubles.
MOST_LAST_ROUNDS = 4
LAST_ROUND_PAUSE_S = 0.025

# Refusals after which another server may well admit the request.
ELSEWHERE = frozenset(
    (
        Reason.OVER_CAP,
        Reason.COLD,
        Reason.ZONE_OUT,
        Reason.LEAVING,
        Reason.DRAINED,
        Reason.CONFIG_STALE,
        Reason.NO_CONFIG,
        Reason.WRONG_INCARNATION,
        Reason.UNREACHABLE,
        Reason.OVERLOADED,
        Reason.LEDGER_FULL,
        Reason.PROTOCOL,
        Reason.TOMBSTONED,
    )
)


class Dispatcher:
    """Run requests at the servers of their services.

    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    :param placement: :class:`~boragetrail.policy.Placement`
    :param retry: :class:`~boragetrail.policy.RetryPolicy`
    """

    def __init__(self, router, placement, retry):
        self.router = router
        self.placement = placement
        self.retry = retry
        self.clock = router.clock

    def choices(self, context):
        """Return the servers for a request in order of preference."""
        loads = self.router.loads_of(context.service)
        multiple = context.service_value.get(
            "cap_multiple", DEFAULT_CAP_MULTIPLE
        )
        cap = MeanMultipleCap(multiple)
        # The totals walk over all servers, so they are taken once.
        totals = loads.totals()
        candidates = [
            self._candidate(member, loads, cap, totals)
            for member in self.router.membership.servers(context.service)
        ]
        wanted = Wanted(
            context.chat_id or context.request_id,
            context.hint,
            self.router.region(),
            bool(context.hint),
        )
        return self.placement.order(wanted, candidates)

    async def run_idempotent(self, context):
        """Yield the answer of a request that may be repeated.

        A broken event stream of a model is continued at another server
        with the next event.
        """
        self.retry.request_seen(context.customer)
        progress = RequestProgress()
        attempts = 0
        while True:
            choice = self._next_choice(context, progress)
            if choice is None:
                yield progress.last or _no_server(context)
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
            progress.failed(choice, failure)
            pause_s = self._may_go_on(context, progress, attempts, failure)
            if pause_s is None:
                yield failure
                return
            await asyncio.sleep(pause_s)

    async def run_once(self, context, order_id):
        """Yield the answer of a protected request that has no key.

        Another server is tried only after a true "not run".
        """
        progress = RequestProgress()
        for attempts, choice in enumerate(self.choices(context)):
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
            progress.last = failure
            if not can_retry_elsewhere(failure):
                break
        yield progress.last or _no_server(context)

    async def run_at(
        self,
        context,
        choice,
        attempts,
        progress,
        order_id="",
        row=("", 0),
        incarnation=None,
        time_ms=-1,
    ):
        """Yield the messages of one attempt at one server.

        :param choice: :class:`~boragetrail.policy.Choice`
        :param attempts: attempts made before
        :param order_id: id under which an order runs at most once
        :param row: key and version of the order's claim, if any
        :param incarnation: the only one that may run it, if it is bound
        :param time_ms: uptime in the caller's ticket, or -1
        """
        name = choice.candidate.name
        link = self.router.link(name)
        step = _step(choice)
        context.explanation.steps.append(step)
        connection = await self._connection(link)
        if isinstance(connection, LinkFailure):
            self.router.membership.path_failed(name)
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
            deadline_ms=self._left_ms(context),
            priority=context.priority,
            order_id=order_id,
            order_digest=request_digest(context) if order_id else b"",
            order_time_ms=time_ms,
            row_key=row[0],
            row_version=row[1],
            chat_id=context.chat_id,
            kv_source=self._kv_source(context, name),
            resume_events=progress.events,
            last_choice=progress.last_rounds > 0,
            version=self.router.doc.version,
            loads=self._evidence(context.service),
        )
        self.router.loads_of(context.service).sent(name)
        exchange = Exchange(link, dispatch, context.deadline_s, self.clock)
        async for message in self._follow(exchange, progress, step, name):
            if isinstance(message, Start):
                context.server = name
            yield message

    async def follow_order(self, context, name, attach):
        """Yield the answer of an order that runs or ran elsewhere."""
        exchange = Exchange(
            self.router.link(name), attach, context.deadline_s, self.clock
        )
        step = {"server": name, "rule": "order", "outcome": ""}
        context.explanation.steps.append(step)
        context.server = name
        progress = RequestProgress()
        async for message in self._follow(exchange, progress, step, name):
            yield message

    async def _connection(self, link):
        if link is None:
            detail = "the server is not in the list"
            return LinkFailure(Reason.UNREACHABLE, detail, Executed.NO)
        return await link.connection()

    async def _follow(self, exchange, progress, step, name):
        async with contextlib.aclosing(exchange.messages()) as messages:
            async for message in messages:
                if isinstance(message, Failure):
                    step["outcome"] = message.reason.code
                    step["detail"] = message.detail
                    self._path_judged(name, message)
                    yield message
                    return
                if isinstance(message, Start):
                    self.router.membership.path_worked(name)
                    if progress.started:
                        continue
                    progress.started = True
                if isinstance(message, Data):
                    progress.passed(exchange)
                if isinstance(message, End):
                    step["outcome"] = "ok"
                yield message

    def _path_judged(self, name, failure):
        if failure.reason in (Reason.LINK_LOST, Reason.UNREACHABLE):
            self.router.membership.path_failed(name)

    def _next_choice(self, context, progress):
        choices = self.choices(context)
        for choice in choices:
            if choice.candidate.name not in progress.tried:
                return choice
        if not choices or progress.last_rounds >= MOST_LAST_ROUNDS:
            return None
        # All servers refused. Their replies told their loads, so they are
        # asked again, the least loaded first, each after a longer pause.
        loads = self.router.loads_of(context.service)
        choices.sort(key=lambda c: loads.relative_load_of(c.candidate.name))
        choice = choices[progress.last_rounds % len(choices)]
        choice.rule = "least"
        progress.last_rounds += 1
        return choice

    def _may_go_on(self, context, progress, attempts, failure):
        if failure.reason in (Reason.DEADLINE, Reason.KEY_REUSED):
            return None
        ran_no = failure.ran == Executed.NO
        if progress.started and not progress.resumable(context):
            return None
        left_s = context.deadline_s - self.clock()
        pause_s = self.retry.may_retry(
            context.customer, attempts, ran_no, left_s
        )
        if pause_s is not None and progress.last_rounds:
            pause_s += LAST_ROUND_PAUSE_S * 2**progress.last_rounds
        if pause_s is not None and progress.started:
            request_id = context.request_id
            log_event(Event.STREAM_RESUMED, request_id=request_id)
        return pause_s

    def _candidate(self, member, loads, cap, totals):
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

    def _evidence(self, service):
        return self.router.loads_of(service).freshest(LOADS_PER_DISPATCH)

    def _kv_source(self, context, name):
        """Return the server that holds a displaced chat's context."""
        if context.service_value.get("kind") != "model":
            return ""
        if not context.hint or context.hint == name:
            return ""
        member = self.router.membership.members_by_name.get(context.hint)
        if member is None or member.vm.service != context.service:
            return ""
        return context.hint

    def _left_ms(self, context):
        left_s = context.deadline_s - self.clock()
        return max(1, int(1000 * left_s))


class RequestProgress:
    """What earlier attempts of one request have passed to the caller."""

    __slots__ = (
        "tried",
        "last_rounds",
        "started",
        "events",
        "clean",
        "last",
        "base_events",
    )

    def __init__(self):
        self.tried = set()
        self.last_rounds = 0
        self.started = False
        self.events = 0
        self.base_events = 0
        self.clean = True
        self.last = None

    def passed(self, exchange):
        """Record what an exchange has passed on."""
        self.clean = exchange.clean
        self.events = self.base_events + exchange.events

    def failed(self, choice, failure):
        """Record a failed attempt."""
        self.tried.add(choice.candidate.name)
        self.last = failure
        self.base_events = self.events

    def resumable(self, context):
        """Return whether a started answer can be continued elsewhere."""
        is_model = context.service_value.get("kind") == "model"
        return is_model and self.clean and self.events > 0


def can_retry_elsewhere(failure):
    """Return whether an order may be tried at another server."""
    return failure.ran == Executed.NO and failure.reason in ELSEWHERE


def request_digest(context):
    """Return a digest of the request, to recognise another body."""
    digest = hashlib.sha256()
    for part in (context.method, context.path, context.customer):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(context.body)
    return digest.digest()[:16]


def _step(choice):
    candidate = choice.candidate
    return {
        "server": candidate.name,
        "rule": choice.rule,
        "score": round(choice.score / 2**64, 4),
        "load": None if candidate.load == float("inf") else candidate.load,
        "load_age_s": _finite(candidate.load_age_s),
        "limit": _finite(candidate.limit),
        "cold": candidate.cold,
        "outcome": "",
        "detail": "",
    }


def _finite(value):
    return None if value == float("inf") else round(value, 3)


def _no_server(context):
    detail = f"service {context.service!r} has no server that takes work"
    return Refusal(Reason.NO_SERVER, detail, retry_after_s=RETRY_AFTER_S)
