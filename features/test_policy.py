"""Scenarios of placement, customers' shares and explanations."""

import asyncio
import time

from pytest_bdd import given, parsers, scenarios, then, when

FIRST_TOKEN_TARGET_S = 0.43
SURGE_STREAMS = 100
SMALL_TURNS = 30

scenarios("policy.feature")


def zone_of(world, server):
    """Return the zone of a server."""
    servers = world.fleet.deployment.servers
    return next(each.zone for each in servers if each.name == server)


def explanation(world, request_id, router=0):
    """Return a router's explanation of a request."""
    last_segment = request_id
    url = world.fleet.router(router).url("admin")
    return world.run(world.fleet.get_json(f"{url}/explain/{last_segment}"))


@given("a chat has been served in some zone")
def serve(world):
    """Serve a chat with a long prompt."""
    text = f"{time.monotonic()} " + "contract clause " * 200
    result = world.run(world.chat(text, words=8))
    world.context["text"] = text
    world.context["first"] = result


@given("every zone is taken out")
def all_out(world):
    """Take all zones out."""
    for zone in world.fleet.deployment.zones:
        world.run(world.fleet.set_zone(zone, out=True))
    time.sleep(1.0)


@given("every engine has been restarted cold")
def all_cold(world):
    """Restart all engines cold and wait for their load reports."""
    world.context["falls"] = {}

    async def cold():
        for server in world.fleet.deployment.servers:
            if server.kind == "model":
                node = world.fleet.nodes_by_name[f"{server.name}-backend"]
                url = f"{node.url('main')}/cold"
                async with world.fleet.session.post(url) as response:
                    response.raise_for_status()
                counts = await world.engine_counts(server.name)
                world.context["falls"][server.name] = counts["falls"]
        # The engines' load reports reach the agents with a delay.
        await asyncio.sleep(2.5)

    world.run(cold())


@when("operators take its zone out")
def take_out(world):
    """Take the chat's zone out."""
    hint = world.context["first"].headers["X-Chat-Hint"]
    world.run(world.fleet.set_zone(zone_of(world, hint), out=True))
    time.sleep(1.0)


@when("the chat returns")
def chat_returns(world):
    """Send the chat's next turn."""
    first = world.context["first"]
    world.context["second"] = world.run(
        world.chat(
            world.context["text"] + " and more",
            words=8,
            chat_id=first.headers["X-Chat-Id"],
            hint=first.headers["X-Chat-Hint"],
        )
    )


@when("a chat is sent")
def send_chat(world):
    """Send one chat."""
    world.context["second"] = world.run(world.chat("anyone there", words=4))


@when(parsers.parse("{count:d} chats are sent at once"))
def at_once(world, count):
    """Send chats at the same time through one router."""

    async def send():
        texts = [f"cold {time.monotonic()} {n}" for n in range(count)]
        await asyncio.gather(*[world.chat(t, 0, 6) for t in texts])

    world.chats = []
    world.run(send())


@when("a large customer's load rises tenfold")
def surge(world):
    """Send many streams of one customer and a few chats of another."""

    async def both():
        is_running = [True]

        async def stream(number):
            caller = world.caller(number % 3, "customer-2")
            turn = 0
            while is_running[0]:
                message = {"role": "user", "content": f"s {number} {turn}"}
                await caller.chat([message], words=40)
                turn += 1
                await asyncio.sleep(0.02)

        tasks = [asyncio.create_task(stream(n)) for n in range(SURGE_STREAMS)]
        await asyncio.sleep(2.0)
        world.context["small_customer"] = await serve_small_customer(world)
        is_running[0] = False
        await asyncio.gather(*tasks)

    world.run(both())


@then("it is served in another zone with its cached context")
def context_kept(world):
    """Check that the zone differs and 90 % of the prompt was cached."""
    first, second = world.context["first"], world.context["second"]
    assert second.is_complete, second.problem
    zones = [zone_of(world, r.headers["X-Chat-Hint"]) for r in (first, second)]
    assert zones[0] != zones[1]
    assert second.cached_words >= 0.9 * first.prompt_words


@then("the explanation names the server and the rule")
def explained(world):
    """Check the explanation of the router that served the chat."""
    second = world.context["second"]
    explained_request = explanation(world, second.headers["X-Request-Id"])
    assert explained_request["outcome"] == "ok"
    assert (
        explained_request["steps"][-1]["server"]
        == second.headers["X-Chat-Hint"]
    )
    assert explained_request["steps"][-1]["rule"] in ("home", "full", "least")


@then(parsers.parse('it is refused as "{code}" and ran is "{ran}"'))
def refused(world, code, ran):
    """Check the problem details."""
    problem = world.context["second"].problem
    assert (problem["code"], problem["ran"]) == (code, ran)
    assert problem["retry_after_ms"] > 0


@then("the explanation gives the same code")
def same_code(world):
    """Check that the explanation's outcome is the response's code."""
    problem = world.context["second"].problem
    explained_request = explanation(world, problem["request_id"])
    assert explained_request["outcome"] == problem["code"]


@then("an explanation names a cold server")
def cold_named(world):
    """Check that an explanation of some chat has a cold server."""
    steps = []
    for _, _, result in world.chats:
        request_id = result.headers["X-Request-Id"]
        steps += explanation(world, request_id)["steps"]
    assert any(step["outcome"] == "cold" or step["cold"] for step in steps)


@then("no engine crashed")
def no_crash(world):
    """Compare the crash counters with those before."""
    for server, crashes in world.context["falls"].items():
        assert world.run(world.engine_counts(server))["falls"] == crashes


@then("the small customer has no refusal")
def no_refusal(world):
    """Check that every turn of the small customer is complete."""
    problems = [
        r.problem for r in world.context["small_customer"] if not r.is_complete
    ]
    assert not problems


@then("the 95th percentile of its time to first token is within the target")
def within_target(world):
    """Compare the 95th percentile with the target."""
    first_token_times_s = sorted(
        r.first_token_s for r in world.context["small_customer"]
    )
    assert (
        first_token_times_s[int(0.95 * len(first_token_times_s)) - 1]
        <= FIRST_TOKEN_TARGET_S
    )


async def serve_small_customer(world):
    """Run turns of a small customer; return their results."""
    results = []
    for turn in range(SMALL_TURNS):
        caller = world.caller(turn % 3, "customer-5")
        message = {"role": "user", "content": f"small {time.monotonic()}"}
        results.append(await caller.chat([message], words=6))
        await asyncio.sleep(0.05)
    return results
