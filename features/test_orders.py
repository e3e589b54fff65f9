"""Scenarios of orders."""

import asyncio
import json
import time

from pytest_bdd import given, parsers, scenario, then, when

from boragetrail.operators import operator_pb2 as pb

LONG_MS = 1500


class TestOrders:
    """A protected order runs at most once, and "not run" is true."""

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
        "The claim's answer is lost and the repeat comes through another "
        "router",
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
    @scenario("orders.feature", "The agent dies while the order runs")
    def test_agent_dies():
        """Run the scenario."""

    @staticmethod
    @scenario("orders.feature", "The router dies while the order runs")
    def test_router_dies():
        """Run the scenario."""


@given(parsers.parse("the table service loses the next {count:d} answers"))
def lose_answers(world, count):
    """Set the fault."""
    world.run(world.fleet.set_faults("table", lose_answers=count))


@given("the table service is down")
def table_down(world):
    """Set the fault."""
    world.run(world.fleet.set_faults("table", down=True))


@when(parsers.parse("an order is placed through router {router:d}"))
@when(parsers.parse("the order is placed again through router {router:d}"))
def place(world, router):
    """Place the current order."""
    world.run(world.place(router))


@when("the key is used with another body")
def place_other(world):
    """Place another order with the same key."""
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
    """Repeat the order with the ticket that the refusal offered."""
    if "ticket" in world.answers[0][1]:
        world.context["ticket"] = world.answers.pop(0)[1]["ticket"]
    world.run(world.place(router, key=world.context["ticket"]))


@when(parsers.parse("an order that takes long is placed through router {n:d}"))
def place_long(world, n):
    """Begin an order and wait until an application runs it."""
    world.context["path"] += f"&delay_ms={LONG_MS}"

    async def begin():
        world.context["placing"] = asyncio.create_task(world.place(n))

        async def runs():
            return await world.executions() == 1

        assert await world.until(runs)

    world.run(begin())


@when("the agent that ran it is killed and started again")
@when("the agent that runs it is killed and started again")
def kill_agent(world):
    """Kill the agent beside the application that has the order."""
    name = world.run(_server_of(world))
    world.kill(name)
    world.run(world.fleet.restart(name))
    time.sleep(0.5)
    if "placing" in world.context:
        world.run(_finish(world.context.pop("placing")))


@when(parsers.parse("router {number:d} is killed"))
def kill_router(world, number):
    """Kill a router."""
    world.kill(world.fleet.router(number).name)
    world.run(_finish(world.context.pop("placing")))
    world.answers = []


@when("a ticket is taken through router 0")
def take_ticket(world):
    """Get a ticket in advance."""
    world.new_order()
    status, data, _ = world.run(
        world.caller(0).request("POST", "/tickets/bookings")
    )
    assert status == 200
    world.answers = [(status, json.loads(data))]


@then(parsers.parse('its status is "{state}" through router {router:d}'))
def status_is(world, state, router):
    """Ask for the state of the order with a key."""
    assert _state(world, world.context["key"], router) == state


@then(parsers.parse('the ticket\'s status is "{state}" through router {n:d}'))
def ticket_status_is(world, state, n):
    """Ask for the state of the order with a ticket."""
    ticket = world.answers[0][1].get("ticket") or world.context["ticket"]
    assert _state(world, ticket, n) == state


def _state(world, key, router):
    request = pb.OrderRequest(
        service="bookings", customer="customer-1", key=key
    )
    stub = world.fleet.stub(router)
    # The row is completed a moment after the answer.
    for _ in range(20):
        reply = stub.GetOrder(request)
        if reply.state not in ("claimed", "running"):
            break
        time.sleep(0.05)
    return reply.state


@then("both answers are the same")
def same(world):
    """Compare the last two answers."""
    assert world.answers[-1][0] == 200, world.answers
    assert world.answers[-1] == world.answers[-2]


@then("no two answers differ")
def no_two_differ(world):
    """Compare all whole answers."""
    bodies = {str(body) for status, body in world.answers if status == 200}
    assert len(bodies) == 1, world.answers


@then("the answer is the application's")
def answered(world):
    """Expect the answer of the application."""
    assert world.answers[-1][0] == 200, world.answers


@then(parsers.parse('the answer is "{code}" and ran is "{ran}"'))
def refused(world, code, ran):
    """Expect a problem with these fields."""
    body = world.answers[-1][1]
    assert (body["code"], body["ran"]) == (code, ran), body


@then("the order ran once")
def ran_once(world):
    """Ask the applications' own counters."""
    assert world.run(world.executions()) == 1


@then("the order did not run")
def ran_never(world):
    """Ask the applications' own counters."""
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
