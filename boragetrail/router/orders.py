"""Orders: requests that run at most once, by claim or by ticket."""

import asyncio
import base64
import contextlib
import hashlib

from boragetrail.errors import Failure, LinkFailure, PlatformFailure, Refusal
from boragetrail.orders import OrderState, issue_ticket, parse_ticket
from boragetrail.policy import Candidate, Choice
from boragetrail.reasons import Executed, Reason
from boragetrail.router.dispatch import request_digest
from boragetrail.router.progress import RequestProgress, can_retry_elsewhere
from boragetrail.utils import new_incarnation
from boragetrail.wire.messages import (
    Attach,
    Data,
    End,
    Outcome,
    Query,
    Start,
)

__all__ = ["OrderController", "OrderStatus", "row_key", "ticket_order_id"]

# Limit on the claims that a request makes for its order, in addition to one
# claim for each server.
MAX_EXTRA_CLAIMS = 4
STORE_RETRY_AFTER_S = 1.0
UNREACHABLE_RETRY_AFTER_S = 2.0
QUERY_TIMEOUT_S = 1.0


def row_key(service, customer, key):
    """Return the table key of an order's claim."""
    digest = hashlib.sha256(f"{customer}\x00{key}".encode()).hexdigest()
    return f"order/{service}/{digest[:40]}"


def ticket_order_id(service, customer, key):
    """Return the id of an order whose idempotency key is a ticket."""
    return f"ticket:{service}:{customer}:{key}"


class OrderStatus:
    """Hold the state of an order and where it runs.

    :param state: state of the order; ``none`` if the order is not known,
        ``unreachable`` if the order's agent does not answer
    :param server: backend server chosen for the order, or empty
    :param incarnation: incarnation of that server's agent, or empty
    :param status: HTTP status of the answer, or 0
    """

    __slots__ = ("state", "server", "incarnation", "status")

    def __init__(self, state, server, incarnation, status):
        self.state = state
        self.server = server
        self.incarnation = incarnation
        self.status = status


class OrderController:
    """Dispatch new orders and answer retries from the earlier execution.

    :param dispatcher: :class:`~boragetrail.router.dispatch.Dispatcher`
    :param claims: :class:`~boragetrail.router.claims.ClaimController`
    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    """

    def __init__(self, dispatcher, claims, router):
        self.dispatcher = dispatcher
        self.claims = claims
        self.router = router

    async def run(self, context):
        """Yield the answer of a protected request."""
        if not context.idempotency_key:
            order_id = f"once:{context.request_id}"
            answer = self.dispatcher.run_once(context, order_id)
        else:
            ticket = parse_ticket(context.idempotency_key)
            if isinstance(ticket, Refusal):
                yield ticket
                return
            if ticket is None:
                answer = self._run_claimed(context)
            else:
                answer = self._run_ticket(context, ticket)
        async with contextlib.aclosing(answer) as messages:
            async for message in messages:
                yield message

    async def new_ticket(self, context):
        """Return an encoded ticket for an order, or :class:`Refusal`.

        The ticket names the most preferred server whose agent is reachable.
        """
        for choice in self.dispatcher.rank_servers(context):
            link = self.router.link_for(choice.candidate.name)
            connection = await link.connection()
            if isinstance(connection, LinkFailure):
                continue
            uptime_ms = connection.agent_uptime_ms(self.router.clock())
            name = choice.candidate.name
            incarnation = connection.incarnation
            return issue_ticket(name, incarnation, uptime_ms).encode()
        return Refusal(Reason.NO_SERVER, f"service {context.service!r}")

    async def status(self, service, customer, key):
        """Return the status of an order.

        :param key: idempotency key or ticket of the order
        :returns: :class:`OrderStatus` or :class:`PlatformFailure`
        """
        ticket = parse_ticket(key)
        if isinstance(ticket, Refusal):
            return OrderStatus("none", "", "", 0)
        if ticket is not None:
            order_id = ticket_order_id(service, customer, key)
            query_arguments = (ticket.server, ticket.incarnation, order_id)
            return await self._query_status(*query_arguments)
        row = await self.claims.read(row_key(service, customer, key))
        if isinstance(row, PlatformFailure):
            return row
        if not row.version:
            return OrderStatus("none", "", "", 0)
        value = row.value
        server, incarnation = value["server"], value["incarnation"]
        if value["state"] != OrderState.CLAIMED.value:
            status = value.get("status", 0)
            return OrderStatus(value["state"], server, incarnation, status)
        return await self._query_status(server, incarnation, value["order_id"])

    async def _query_status(self, server, incarnation, order_id):
        unreachable = OrderStatus("unreachable", server, incarnation, 0)
        link = self.router.link_for(server)
        if link is None:
            return unreachable
        connection = await link.connection()
        if isinstance(connection, LinkFailure):
            return unreachable
        query = Query(f"query.{new_incarnation()}", incarnation, order_id)
        inbox = link.open_inbox(query.query_id)
        inbox.connection = connection
        try:
            await link.send(connection, query)
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                outcome = await inbox.queue.get()
        except TimeoutError:
            return unreachable
        finally:
            link.close_inbox(query.query_id)
        if not isinstance(outcome, Outcome):
            return unreachable
        state, status = outcome.state, outcome.status
        return OrderStatus(state, server, incarnation, status)

    async def _run_ticket(self, context, ticket):
        order_id = ticket_order_id(
            context.service, context.customer, context.idempotency_key
        )
        choice = Choice(Candidate(ticket.server), "ticket")
        answer = self.dispatcher.run_at(
            context,
            choice,
            0,
            RequestProgress(),
            order_id,
            incarnation=ticket.incarnation,
            issue_uptime_ms=ticket.issue_uptime_ms,
        )
        async with contextlib.aclosing(answer) as messages:
            async for message in messages:
                if _is_agent_restart(message):
                    detail = f"agent of {ticket.server!r} has restarted"
                    message = Refusal(
                        Reason.ORDER_UNKNOWN, detail, Executed.UNKNOWN
                    )
                elif _is_unreachable(message) or _is_link_lost(message):
                    # An earlier request with this ticket may have been
                    # executed.
                    message = _retry_later_refusal(message)
                yield message

    async def _run_claimed(self, context):
        key = row_key(
            context.service, context.customer, context.idempotency_key
        )
        version = 0
        last_failure = None
        choices = self.dispatcher.rank_servers(context)
        for attempts in range(MAX_EXTRA_CLAIMS + len(choices)):
            if not choices:
                yield last_failure or Refusal(
                    Reason.NO_SERVER, context.service
                )
                return
            choice = choices[0]
            claim = await self._claim(context, key, choice, version)
            if isinstance(claim, Failure):
                last_failure = claim
                if claim.reason == Reason.STORE_DOWN:
                    yield claim
                    return
                choices.pop(0)
                continue
            row, owned = claim
            if owned:
                answer = self._run_claim(context, choice, attempts, row)
            else:
                answer = self._find_answer(context, row)
            failure = None
            async with contextlib.aclosing(answer) as messages:
                async for message in messages:
                    if isinstance(message, Failure):
                        failure = message
                        break
                    yield message
            if failure is None:
                return
            last_failure, version = failure, row.version
            if not can_retry_elsewhere(failure):
                break
            if owned:
                choices.pop(0)
                if not choices:
                    released = {**row.value, "state": "refused"}
                    self.claims.release(row, released)
        yield last_failure or Refusal(Reason.NO_SERVER, context.service)

    async def _claim(self, context, key, choice, version):
        """Claim the order for the current incarnation of a server's agent."""
        name = choice.candidate.name
        connection = await self.router.link_for(name).connection()
        if isinstance(connection, LinkFailure):
            self.router.membership.record_connection_failure(name)
            return Refusal.from_failure(connection)
        value = {
            "state": OrderState.CLAIMED.value,
            "order_id": f"claim:{new_incarnation()}{new_incarnation()}",
            "server": name,
            "incarnation": connection.incarnation,
            "digest": request_digest(context).hex(),
        }
        claim = await self.claims.claim(key, value, version)
        if isinstance(claim, PlatformFailure):
            return Refusal(
                Reason.STORE_DOWN,
                claim.detail,
                retry_after_s=STORE_RETRY_AFTER_S,
            )
        return claim

    async def _run_claim(self, context, choice, attempts, row):
        value = row.value
        answer = self.dispatcher.run_at(
            context,
            choice,
            attempts,
            RequestProgress(),
            value["order_id"],
            (row.key, row.version),
            value["incarnation"],
        )
        async with contextlib.aclosing(answer) as messages:
            async for message in messages:
                if _is_agent_restart(message) and message.ran != Executed.NO:
                    message = Refusal(
                        Reason.ORDER_UNKNOWN, message.detail, Executed.UNKNOWN
                    )
                elif _is_link_lost(message):
                    message = _retry_later_refusal(message)
                yield message

    async def _find_answer(self, context, row):
        """Yield the answer of an order that another request has claimed.

        If the claimed order was refused without execution, a refusal that
        allows a new claim is yielded.
        """
        value = row.value
        if value["digest"] != request_digest(context).hex():
            yield Refusal(
                Reason.KEY_REUSED, "the key was used with another request"
            )
            return
        state = value["state"]
        if state == OrderState.REFUSED.value:
            yield Refusal(Reason.TOMBSTONED, "the earlier claim was refused")
            return
        if state == OrderState.UNKNOWN.value:
            yield Refusal(Reason.ORDER_UNKNOWN, f"server {value['server']!r}")
            return
        body = value.get("body")
        if state == OrderState.FINISHED.value and body is not None:
            context.server = value["server"]
            for message in _stored_answer(context, value, body):
                yield message
            return
        async for message in self._attach_to_agent(context, value):
            yield message

    async def _attach_to_agent(self, context, value):
        link = self.router.link_for(value["server"])
        if link is None:
            detail = f"server {value['server']!r} is no longer a member"
            yield Refusal(Reason.ORDER_UNKNOWN, detail)
            return
        attach = Attach(
            f"{context.request_id}.repeat",
            value["incarnation"],
            value["order_id"],
            0,
        )
        answer = self.dispatcher.follow_order(context, value["server"], attach)
        async with contextlib.aclosing(answer) as messages:
            async for message in messages:
                yield _as_order_failure(message)


def _as_order_failure(message):
    """Convert a connection failure to a refusal with an unknown outcome.

    Answers, tombstones and exceeded deadlines are returned unchanged.
    """
    if not isinstance(message, Failure):
        return message
    if message.reason == Reason.TOMBSTONED:
        return message
    if message.reason == Reason.DEADLINE:
        return message
    if _is_agent_restart(message):
        return Refusal(Reason.ORDER_UNKNOWN, message.detail, Executed.UNKNOWN)
    return _retry_later_refusal(message)


def _retry_later_refusal(failure):
    """Return a refusal with an unknown outcome and a retry delay."""
    return Refusal(
        Reason.ORDER_UNKNOWN,
        failure.detail,
        Executed.UNKNOWN,
        UNREACHABLE_RETRY_AFTER_S,
    )


def _is_agent_restart(message):
    return (
        isinstance(message, Failure)
        and message.reason == Reason.WRONG_INCARNATION
    )


def _is_unreachable(message):
    return (
        isinstance(message, Failure) and message.reason == Reason.UNREACHABLE
    )


def _is_link_lost(message):
    return (
        isinstance(message, Failure)
        and message.reason == Reason.LINK_LOST
        and message.ran != Executed.NO
    )


def _stored_answer(context, value, body):
    data = base64.b64decode(body)
    attempt_id = f"{context.request_id}.stored"
    yield Start(attempt_id, value["status"], value["headers"])
    if data:
        yield Data(attempt_id, 0, data, -1)
    yield End(attempt_id, len(data), 0)
