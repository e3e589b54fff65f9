"""Scenarios of configuration, zones, membership and invalid requests."""

import asyncio
import json
import signal
import time
import uuid

from pytest_bdd import given, parsers, scenarios, then, when

from boragetrail.operators.conversion import entity_to_value, value_to_entity
from boragetrail.operators import operator_pb2 as pb

SERVICE = "assistant"
LEASE_TIMEOUT_S = 25.0


scenarios("fleet.feature")


def service_change(world, expected, change_id=None, router=0, **fields):
    """Return the request that changes fields of the service."""
    stub = world.fleet.stub(router)
    reply = stub.ListEntities(pb.ListRequest(kind="service"))
    entity = next(e for e in reply.entities if e.name == SERVICE)
    _, _, value = entity_to_value(entity)
    return pb.ChangeRequest(
        change_id=change_id or str(uuid.uuid4()),
        author="test",
        expected_version=expected,
        entity=value_to_entity("service", SERVICE, {**value, **fields}),
    )


def version_of(world, router=0):
    """Return the version in force at a router."""
    name = world.fleet.router(router).name
    return world.run(world.fleet.dump(name))["configuration"]["version"]


@given("the table service is down from the next commit on")
def down_from_next(world):
    """Request that :func:`zone_out` takes the store down afterwards."""
    world.context["store_down_after_commit"] = True


@given("the table service drops the response to the next write")
def lose_answer(world):
    """Let the next write take effect, but drop its response."""
    world.run(world.fleet.set_faults("table", lose_answers=1))


@given("every engine has loaded its model")
def engines_loaded(world):
    """Wait until all engines have loaded model version 1."""
    world.context["model version"] = "1"
    assert world.run(world.until(lambda: all_loaded(world), LEASE_TIMEOUT_S))


@when("an operator changes a service through router 0")
def change_service(world):
    """Change the service's target time to first token through router 0."""
    request = service_change(
        world, 1 << 40, first_token_ms=2000 + int(time.time()) % 999
    )
    world.context["version"] = (
        world.fleet.stub(0).ChangeEntity(request).version
    )
    assert world.context["version"]


@when(parsers.parse('an operator takes zone "{zone}" out through router 0'))
def zone_out(world, zone):
    """Take a zone out.

    If an earlier step set ``store_down_after_commit``, make the table service
    unavailable afterwards.
    """
    reply = world.run(world.fleet.set_zone(zone, out=True))
    assert not reply.problem
    if world.context.pop("store_down_after_commit", False):
        world.run(world.fleet.set_faults("table", down=True))


@when(parsers.parse("{seconds:d} seconds pass"))
def wait(world, seconds):
    """Wait, then record how many words each engine has generated."""
    time.sleep(seconds)
    world.context["words"] = {
        server.name: world.run(world.engine_counts(server.name))["words"]
        for server in world.fleet.deployment.servers
        if server.kind == "model"
    }
    world.chats = []


@when(parsers.parse("{count:d} chats are served through all routers"))
def serve_chats(world, count):
    """Send chats in batches of six, spread over the three routers."""

    async def serve():
        for number in range(0, count, 6):
            texts = [f"{time.monotonic()} {number} {n} unit" for n in range(6)]
            await asyncio.gather(
                *[world.chat(text, n % 3, 8) for n, text in enumerate(texts)]
            )

    world.run(serve())


@when("the table service is taken down")
def take_down(world):
    """Make the table service respond to all requests with status 503."""
    world.run(world.fleet.set_faults("table", down=True))


@when("router 2 is killed and started again")
def restart_router(world):
    """Kill router 2 with SIGKILL and start it again."""
    name = world.fleet.router(2).name
    world.kill(name)
    world.run(world.fleet.restart(name))


@when("two operators who read the same version change a service")
def change_concurrently(world):
    """Commit two changes with the same expected version."""
    read = version_of(world)
    stub = world.fleet.stub(0)
    world.context["replies"] = [
        stub.ChangeEntity(service_change(world, read, first_token_ms=ms))
        for ms in (1701, 1702)
    ]


@when("an operator changes a service twice with one change id")
def change_twice(world):
    """Send the same change request to router 0 and then to router 1."""
    change_id = str(uuid.uuid4())
    request = service_change(world, 1 << 40, change_id, first_token_ms=1800)
    world.context["replies"] = [
        world.fleet.stub(0).ChangeEntity(request),
        world.fleet.stub(1).ChangeEntity(request),
    ]


@when(parsers.parse('an operator binds a service to zone "{zone}"'))
def bind_unknown_zone(world, zone):
    """Try to bind the service to a zone that does not exist."""
    world.context["version"] = version_of(world)
    request = service_change(world, 1 << 40, zones=[zone])
    world.context["replies"] = [world.fleet.stub(0).ChangeEntity(request)]


@when(parsers.parse('an operator drains the engine "{server}"'))
def drain(world, server):
    """Drain a server; a later step of the scenario ends the drain."""
    request = pb.DrainRequest(
        server=server, drained=True, change_id=str(uuid.uuid4()), author="t"
    )
    assert not world.fleet.stub(0).DrainServer(request).problem
    world.context["drained"] = server


@when("the router that holds the lease is paused and another acquires it")
def pause_holder(world):
    """Pause the holder until the lease has a new fencing token."""

    async def held():
        row = await read_lease(world)
        return await router_of(world, row["holder"]) is not None

    # The lease of a router that was killed before has to expire first.
    assert world.run(world.until(held, LEASE_TIMEOUT_S))
    row = world.run(read_lease(world))
    holder = world.run(router_of(world, row["holder"]))
    world.context["holder"] = world.fleet.nodes_by_name[holder]
    world.context["fencing"] = row["fencing"]
    world.context["holder"].signal(signal.SIGSTOP)

    async def taken():
        return (await read_lease(world))["fencing"] > row["fencing"]

    try:
        assert world.run(world.until(taken, LEASE_TIMEOUT_S))
    except AssertionError:
        world.context["holder"].signal(signal.SIGCONT)
        raise


@when("the service's model version is changed")
def new_model_version(world):
    """Change the model version through a router that is not paused."""
    running = [
        n
        for n in range(3)
        if world.fleet.router(n) is not world.context["holder"]
    ]
    world.context["model version"] = "2"
    request = service_change(
        world, 1 << 40, router=running[0], model_version="2"
    )
    assert not world.fleet.stub(running[0]).ChangeEntity(request).problem


@when("the paused router resumes")
def resume_holder(world):
    """Resume the old holder."""
    world.context["holder"].signal(signal.SIGCONT)
    time.sleep(3)


@when(parsers.parse("a caller sends {mistake}"))
def send_mistake(world, mistake):
    """Send a request that must be refused."""
    world.context["seen"] = world.run(send(world, mistake))


@then(parsers.parse("every process has the version within {limit:d} seconds"))
def all_have_version(world, limit):
    """Wait until all routers and agents have the committed version."""

    async def everywhere():
        names = [r.name for r in world.fleet.deployment.routers]
        names += [s.name for s in world.fleet.deployment.servers]
        dumps = [await world.fleet.dump(name) for name in names]
        versions = {dump["configuration"]["version"] for dump in dumps}
        return versions == {world.context["version"]}

    assert world.run(world.until(everywhere, limit))


@then(parsers.parse('no engine of zone "{zone}" generated a word'))
def zone_idle(world, zone):
    """Check that the zone's engines generated no words since the wait."""
    for server in world.fleet.deployment.servers:
        if server.kind == "model" and server.zone == zone:
            now = world.run(world.engine_counts(server.name))["words"]
            assert now == world.context["words"][server.name]


@then(parsers.parse('the engine "{server}" generated no word'))
def server_idle(world, server):
    """Check that the engine generated no words, and end the drain."""
    now = world.run(world.engine_counts(server))["words"]
    request = pb.DrainRequest(
        server=server, drained=False, change_id=str(uuid.uuid4()), author="t"
    )
    assert not world.fleet.stub(0).DrainServer(request).problem
    assert now == world.context["words"][server]


@then("every chat is complete")
@then("a chat through router 2 is complete")
def chats_complete(world):
    """Check the responses; serve one chat if there was none."""
    if not world.chats:
        world.run(world.chat(f"one {time.monotonic()}", 2, 8))
    assert not world.failed_chats()


@then("router 2 has the version of router 0 and is ready")
def router_ready(world):
    """Wait until router 2 is ready, then compare the versions."""
    world.run(world.fleet.wait_ready([world.fleet.router(2).name]))
    assert version_of(world, 2) == version_of(world, 0)


@then("the first is accepted")
def first_accepted(world):
    """Check that the first reply has a version."""
    assert world.context["replies"][0].version


@then("the second is refused and shown the conflicting change")
def second_conflicts(world):
    """Check that the second reply contains the first change."""
    first, second = world.context["replies"]
    assert second.problem == "conflict"
    assert second.conflict.version == first.version
    assert second.conflict.won.service.first_token_ms == 1701


@then("both responses name the same version")
def same_version(world):
    """Check that the retry returned the version of the first commit."""
    first, second = world.context["replies"]
    assert first.version and first.version == second.version


@then("the change is invalid and nothing has changed")
def check_invalid_change(world):
    """Check that the reply names the zone and the version is unchanged."""
    reply = world.context["replies"][0]
    assert reply.problem == "invalid" and "acc-9" in reply.detail
    assert version_of(world) == world.context["version"]


@then("every engine has the new version")
def new_version_loaded(world):
    """Wait until the engines have loaded the new version."""
    try:
        assert world.run(world.until(lambda: all_loaded(world), 20.0))
    except AssertionError:
        world.context["holder"].signal(signal.SIGCONT)
        raise


@then("no engine accepted an order with the old fencing token")
def old_token_refused(world):
    """Check that engines kept the new model and have a newer token."""
    assert world.run(all_loaded(world))
    for server in world.fleet.deployment.servers:
        if server.kind == "model":
            counts = world.run(world.engine_counts(server.name))
            assert counts["fencing"] > world.context["fencing"]


@then(parsers.parse('the status is {status:d} with code "{code}"'))
def problem_seen(world, status, code):
    """Check status and problem details."""
    seen, body, content_type = world.context["seen"]
    assert seen == status
    assert content_type.startswith("application/problem+json")
    assert json.loads(body)["code"] == code
    assert json.loads(body)["ran"] == "no"


async def all_loaded(world):
    """Return whether all engines have the expected model version."""
    for server in world.fleet.deployment.servers:
        if server.kind == "model":
            counts = await world.engine_counts(server.name)
            if (counts["model"] or [0, 0])[1] != world.context[
                "model version"
            ]:
                return False
    return True


async def read_lease(world):
    """Return the value of the lease's row."""
    url = world.fleet.nodes_by_name["table"].url("main")
    row = await world.fleet.get_json(f"{url}/row?key=lease/{SERVICE}")
    return row["value"]


async def router_of(world, incarnation):
    """Return the name of the router with an incarnation, or ``None``."""
    for router in world.fleet.deployment.routers:
        dump = await world.fleet.dump(router.name)
        if dump["incarnation"] == incarnation:
            return router.name
    return None


async def send(world, mistake):
    """Send an invalid request; return status, body and content type."""
    caller = world.caller(0)
    headers, body = dict(caller.headers), b'{"messages": []}'
    url = f"{caller.url}/v1/chat/completions"
    if mistake == "a bad key":
        headers["Authorization"] = "Bearer wrong"
    if mistake == "an oversized body":
        body = b"x" * 1_000_001
    if mistake == "an unknown service":
        url = f"{caller.url}/services/nothing/here"
    if mistake == "an unknown path":
        url = f"{caller.url}/v2/nothing"
    async with caller.session.post(
        url, headers=headers, data=body
    ) as response:
        data = await response.read()
        return response.status, data, response.headers["Content-Type"]
