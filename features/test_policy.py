"""Scenarios of placement, shares and explanations."""

import asyncio
import time

from pytest_bdd import given, parsers, scenarios, then, when

FIRST_WORD_S = 0.43
SURGE_STREAMS = 100
SMALL_TURNS = 30

scenarios("policy.feature")


def zone_of(world, server):
    """Return the zone of a server."""
    servers = world.fleet.deployment.servers
    return next(each.zone for each in servers if each.name == server)


def explanation(world, headers_or_body, router=0):
    """Return the explanation of a request."""
    request_id = headers_or_body
    url = world.fleet.router(router).url("admin")
    return world.run(world.fleet.get_json(f"{url}/explain/{request_id}"))


@given("a chat has been served in some zone")
def serve(world):
    """Serve a long chat."""
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


@given("every engine has turned cold")
def all_cold(world):
    """Kill the engines; they start cold and their agents see it."""
    world.context["falls"] = {}

    async def cold():
        for server in world.fleet.deployment.servers:
            if server.kind == "model":
                node = world.fleet.nodes_by_name[f"{server.name}-backend"]
                url = f"{node.url('main')}/cold"
                async with world.fleet.session.post(url) as answer:
                    answer.raise_for_status()
                counts = await world.engine_counts(server.name)
                world.context["falls"][server.name] = counts["falls"]
        # The agents read the lagged reports.
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
    """Continue the chat."""
    first = world.context["first"]
    world.context["back"] = world.run(
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
    world.context["back"] = world.run(world.chat("anyone there", words=4))


@when(parsers.parse("{count:d} chats come at once"))
def at_once(world, count):
    """Send chats at the same time through one router."""

    async def send():
        texts = [f"cold {time.monotonic()} {n}" for n in range(count)]
        await asyncio.gather(*[world.chat(t, 0, 6) for t in texts])

    world.chats = []
    world.run(send())


@when("a large customer surges tenfold")
def surge(world):
    """Keep many streams of one customer open beside the small one."""

    async def both():
        going = [True]

        async def stream(number):
            caller = world.caller(number % 3, "customer-2")
            turn = 0
            while going[0]:
                message = {"role": "user", "content": f"s {number} {turn}"}
                await caller.chat([message], words=40)
                turn += 1
                await asyncio.sleep(0.02)

        tasks = [asyncio.create_task(stream(n)) for n in range(SURGE_STREAMS)]
        await asyncio.sleep(2.0)
        world.context["beside"] = await small_turns(world)
        going[0] = False
        await asyncio.gather(*tasks)

    world.run(both())


@then("it is served in another zone from its context")
def context_kept(world):
    """Compare zones and cached words."""
    first, back = world.context["first"], world.context["back"]
    assert back.is_complete, back.problem
    zones = [zone_of(world, r.headers["X-Chat-Hint"]) for r in (first, back)]
    assert zones[0] != zones[1]
    assert back.cached_words >= 0.9 * first.prompt_words


@then("the explanation names the server and the rule")
def explained(world):
    """Ask the router that served it."""
    back = world.context["back"]
    found = explanation(world, back.headers["X-Request-Id"])
    assert found["outcome"] == "ok"
    assert found["steps"][-1]["server"] == back.headers["X-Chat-Hint"]
    assert found["steps"][-1]["rule"] in ("home", "full", "least")


@then(parsers.parse('it is refused as "{code}" and ran is "{ran}"'))
def refused(world, code, ran):
    """Check the problem details."""
    problem = world.context["back"].problem
    assert (problem["code"], problem["ran"]) == (code, ran)
    assert problem["retry_after_ms"] > 0


@then("the explanation gives the same code")
def same_code(world):
    """Compare the explanation with the answer."""
    problem = world.context["back"].problem
    found = explanation(world, problem["request_id"])
    assert found["outcome"] == problem["code"]


@then("an explanation names a cold server")
def cold_named(world):
    """Look through the explanations."""
    steps = []
    for _, _, result in world.chats:
        request_id = result.headers["X-Request-Id"]
        steps += explanation(world, request_id)["steps"]
    assert any(step["outcome"] == "cold" or step["cold"] for step in steps)


@then("no engine fell over")
def none_fell(world):
    """Compare with the counters before."""
    for server, falls in world.context["falls"].items():
        assert world.run(world.engine_counts(server))["falls"] == falls


@then("the small customer has no refusal")
def no_refusal(world):
    """Check every turn."""
    problems = [
        r.problem for r in world.context["beside"] if not r.is_complete
    ]
    assert not problems


@then("its first words at 95 in 100 are within the target")
def within_target(world):
    """Compare with the stated target."""
    firsts = sorted(r.first_token_s for r in world.context["beside"])
    assert firsts[int(0.95 * len(firsts)) - 1] <= FIRST_WORD_S


async def small_turns(world):
    """Run turns of a small customer; returns their results."""
    results = []
    for turn in range(SMALL_TURNS):
        caller = world.caller(turn % 3, "customer-5")
        message = {"role": "user", "content": f"small {time.monotonic()}"}
        results.append(await caller.chat([message], words=6))
        await asyncio.sleep(0.05)
    return results
