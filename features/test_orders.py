"""Scenarios of protected orders."""

import asyncio
import json
import time

from pytest_bdd import given, parsers, scenario, then, when

from boragetrail.operators import operator_pb2 as pb

LONG_MS = 1500


class TestOrders:
    """A protected order runs at most once; "ran: no" is never wrong."""

    @staticmethod
    @scenario("orders.feature", "The same key through any router")
    def test_same_key():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "The same key with another body")
    def test_other_body():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "orders.feature",
        "The response to a claim is lost and the retry uses another router",
    )
    def test_lost_claim():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "The store is down")
    def test_store_down():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "orders.feature",
        "The store is down and the agent of a ticket restarts",
    )
    def test_store_down_and_restart():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "An operator asks for the status of orders")
    def test_status():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "The agent is killed while the order runs")
    def test_agent_dies():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "The router is killed while the order runs")
    def test_router_dies():
        """Run the scenario."""


@given(parsers.parse("the table service drops the next {count:d} responses"))
def lose_answers(world, count):
    """Let the next writes take effect, but drop the responses to them."""
    world.run(world.fleet.set_faults("table", lose_answers=count))


@given("the table service is down")
def table_down(world):
    """Make the table service respond to all requests with status 503."""
    world.run(world.fleet.set_faults("table", down=True))


@when(parsers.parse("an order is placed through router {router:d}"))
@when(parsers.parse("the order is placed again through router {router:d}"))
def place(world, router):
    """Place the current order."""
    world.run(world.place(router))


@when("the key is used with another body")
def place_other(world):
    """Place an order with the same key and different content.

    The body is the same; only the path differs.
    """
    path = world.context["path"]
    world.context["path"] = path + "&unit=13"
    world.run(world.place(0))


@when("an order is placed through router 0 and 1 at once")
def place_at_once(world):
    """Place the current order twice at the same time."""

    async def both():
        await asyncio.gather(world.place(0), world.place(1))

    world.run(both())


@when(
    parsers.parse(
        "the order is placed with the ticket of the refusal through router "
        "{router:d}"
    )
)
def place_with_ticket(world, router):
    """Place the order again with the ticket from the refusal."""
    if "ticket" in world.responses[0][1]:
        world.context["ticket"] = world.responses.pop(0)[1]["ticket"]
    world.run(world.place(router, key=world.context["ticket"]))


@when(parsers.parse("a slow order is placed through router {n:d}"))
def place_long(world, n):
    """Place an order and wait until an application executes it."""
    world.context["path"] += f"&delay_ms={LONG_MS}"

    async def begin():
        world.context["order_task"] = asyncio.create_task(world.place(n))

        async def runs():
            return await world.executions() == 1

        assert await world.until(runs)

    world.run(begin())


@when("the agent that ran it is killed and started again")
@when("the agent that runs it is killed and started again")
def kill_agent(world):
    """Kill and restart the agent whose application executes the order."""
    name = world.run(_server_of(world))
    world.kill(name)
    world.run(world.fleet.restart(name))
    time.sleep(0.5)
    if "order_task" in world.context:
        world.run(_finish(world.context.pop("order_task")))


@when(parsers.parse("router {number:d} is killed"))
def kill_router(world, number):
    """Kill a router and discard the response to the order."""
    world.kill(world.fleet.router(number).name)
    world.run(_finish(world.context.pop("order_task")))
    world.responses = []


@when("a ticket is taken through router 0")
def take_ticket(world):
    """Get a ticket before the order is placed."""
    world.new_order()
    status, data, _ = world.run(
        world.caller(0).request("POST", "/tickets/bookings")
    )
    assert status == 200
    world.responses = [(status, json.loads(data))]


@then(parsers.parse('its status is "{state}" through router {router:d}'))
def status_is(world, state, router):
    """Query the state of the order by its key."""
    assert _state(world, world.context["key"], router) == state


@then(parsers.parse('the ticket\'s status is "{state}" through router {n:d}'))
def ticket_status_is(world, state, n):
    """Query the state of the order by its ticket."""
    ticket = world.responses[0][1].get("ticket") or world.context["ticket"]
    assert _state(world, ticket, n) == state


def _state(world, key, router):
    request = pb.OrderRequest(
        service="bookings", customer="customer-1", key=key
    )
    stub = world.fleet.stub(router)
    # The row is completed shortly after the response is sent.
    for _ in range(20):
        reply = stub.GetOrder(request)
        if reply.state not in ("claimed", "running"):
            break
        time.sleep(0.05)
    return reply.state


@then("both responses are the same")
def same(world):
    """Compare the last two responses."""
    assert world.responses[-1][0] == 200, world.responses
    assert world.responses[-1] == world.responses[-2]


@then("no two responses differ")
def no_two_differ(world):
    """Compare all successful responses."""
    bodies = {str(body) for status, body in world.responses if status == 200}
    assert len(bodies) == 1, world.responses


@then("the response is the application's")
def answered(world):
    """Check that the application responded."""
    assert world.responses[-1][0] == 200, world.responses


@then(parsers.parse('the response is "{code}" and ran is "{ran}"'))
def refused(world, code, ran):
    """Check the fields of the problem details."""
    body = world.responses[-1][1]
    assert (body["code"], body["ran"]) == (code, ran), body


@then("the order ran once")
def ran_once(world):
    """Check that all applications together executed the order once."""
    assert world.run(world.executions()) == 1


@then("the order did not run")
def ran_never(world):
    """Check that no application executed the order."""
    assert world.run(world.executions()) == 0


async def _finish(task):
    await task


async def _server_of(world):
    for server in world.fleet.deployment.servers:
        if server.kind == "application":
            node = world.fleet.nodes_by_name[f"{server.name}-backend"]
            url = f"{node.url('main')}/executions"
            if f"o{world.order}" in await world.fleet.get_json(url):
                return server.name
    raise AssertionError("no application ran the order")
