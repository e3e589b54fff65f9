"""Tests of orders while the connection to the agent is lost."""

import asyncio

from boragetrail.errors import LinkFailure
from boragetrail.orders import issue_ticket
from boragetrail.policy import Candidate, Choice
from boragetrail.reasons import Executed, Reason
from boragetrail.router.orders import OrderController
from boragetrail.store import Row


class Context:
    """Test double with the attributes of RequestContext that orders use."""

    def __init__(self, key):
        self.service = "bookings"
        self.customer = "customer-1"
        self.idempotency_key = key
        self.method = "POST"
        self.path = "/"
        self.body = b"unit 12"


class Dispatcher:
    """Test double that loses the agent's connection in each attempt."""

    def rank_servers(self, context):
        return [Choice(Candidate("bookings-0"), "least")]

    async def run_at(self, *arguments, **options):
        yield LinkFailure(Reason.LINK_LOST, "agent of 'bookings-0'")


class Claims:
    """Test double that grants each claim."""

    async def claim(self, key, value, version):
        return Row(key, version + 1, value), True


class Router:
    """Test double of a router, a link and a connection that works."""

    incarnation = "i1"

    def link_for(self, name):
        return self

    async def connection(self):
        return self


async def _run(key):
    orders = OrderController(Dispatcher(), Claims(), Router())
    return [message async for message in orders.run(Context(key))]


class TestLostPath:
    """Connection to the agent lost after the dispatch of an order.

    The order may have been executed, so the refusal must have the outcome
    "unknown" and a retry delay.
    """

    def test_claimed(self):
        (answer,) = asyncio.run(_run("key-1"))
        assert (answer.reason, answer.ran) == (
            Reason.ORDER_UNKNOWN,
            Executed.UNKNOWN,
        )
        assert answer.retry_after_s > 0

    def test_ticket(self):
        ticket = issue_ticket("bookings-0", "i1", 1000).encode()
        (answer,) = asyncio.run(_run(ticket))
        assert answer.reason == Reason.ORDER_UNKNOWN
        assert answer.retry_after_s > 0
