"""Scenarios of streamed responses."""

import asyncio
import time

from pytest_bdd import given, parsers, scenario, then, when

FIRST_TOKEN_TARGET_S = 0.43
DETECTION_TIME_S = 0.25
LARGE_BYTES = 8_000_000
WINDOW_BYTES = 256 * 1024


class TestStreams:
    """Responses are complete despite faults and planned stops."""

    @staticmethod
    @scenario(
        "streams.feature", "A router stops gracefully under fifty streams"
    )
    def test_router_stop():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "An agent stops gracefully under streams")
    def test_agent_stop():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "Connections go silent in mid-stream")
    def test_silent():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "Connections go silent while a router drains")
    def test_silent_and_drain():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "streams.feature", "A chat returns while its connection is silent"
    )
    def test_return_behind_silence():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "streams.feature", "Time to first token with a silent connection"
    )
    def test_first_word():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "An engine is killed in mid-stream")
    def test_engine_dies():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "Callers disconnect")
    def test_caller_gone():
        """Run the scenario."""

    @staticmethod
    @scenario(
        "streams.feature", "A caller that reads slowly does not delay others"
    )
    def test_slow_caller():
        """Run the scenario."""

    @staticmethod
    @scenario("streams.feature", "A warm engine restarts cold")
    def test_cold():
        """Run the scenario."""


@given(parsers.parse("{count:d} streams run through router {router:d}"))
@when(parsers.parse("{count:d} streams more run through router {router:d}"))
def open_streams(world, count, router):
    """Start streams and wait for the first token of each."""
    world.context["began"] = time.monotonic()
    before = world.chats
    world.open_streams(count, router)
    world.chats = before + world.chats


@given("a chat has been served through router 0")
def chat(world):
    """Serve a chat."""
    world.run(world.chat("tenancy " * 60, words=8))


@given("a caller that reads nothing of a large response")
def slow_caller(world):
    """Request a large response and read none of it."""

    async def begin():
        caller = world.caller(0)
        url = f"{caller.url}/services/bookings/gate?size={LARGE_BYTES}"
        response = await caller.session.get(url, headers=caller.headers)
        world.context["large_response"] = response
        await asyncio.sleep(1.0)

    world.run(begin())


@when(parsers.parse("router {number:d} is stopped gracefully"))
def stop_router(world, number):
    """Send SIGTERM to a router."""
    world.stop(world.fleet.router(number).name)


@when("an engine's agent is stopped gracefully")
def stop_agent(world):
    """Send SIGTERM to the busiest agent, then serve further chats."""
    name = world.run(_busiest_agent(world))
    world.context["agent"] = name
    world.stop(name)
    time.sleep(1.0)
    world.context["served"] = world.run(world.engine_counts(name))["words"]
    world.run(_chat_after_stop(world))


@when("all connections to agents go silent")
def silence(world):
    """Drop all data on the open connections between routers and agents."""

    async def silence_all():
        for name in world.fleet.control_ports_by_server:
            await world.fleet.control_proxy(name, silence=True)

    world.run(silence_all())


@when("the chat returns through router 0")
def chat_returns(world):
    """Send the chat's next turn with its id and placement hint."""
    headers = world.chats[-1][2].headers
    world.run(
        world.chat(
            "tenancy " * 60 + "more",
            words=8,
            chat_id=headers["X-Chat-Id"],
            hint=headers["X-Chat-Hint"],
        )
    )


@when("an engine is killed and started again")
def restart_engine(world):
    """Kill the engine of the busiest agent and start it again."""
    name = world.run(_busiest_agent(world)) + "-backend"
    world.kill(name)
    world.fleet.nodes_by_name[name].start()


@when("an engine restarts cold without notice")
def engine_cold(world):
    """Restart the busiest agent's engine cold without notice to the agent."""
    name = world.run(_busiest_agent(world))
    world.context["agent"] = name
    world.context["falls"] = world.run(world.engine_counts(name))["falls"]

    async def cold():
        node = world.fleet.nodes_by_name[f"{name}-backend"]
        async with world.fleet.session.post(
            f"{node.url('main')}/cold"
        ) as response:
            response.raise_for_status()

    world.run(cold())


@when("their callers disconnect")
def disconnect_callers(world):
    """Close the callers' connections."""

    async def cancel():
        for task in world.streams:
            task.cancel()
        await asyncio.gather(*world.streams, return_exceptions=True)

    world.run(cancel())
    world.streams = []


@when("a small request is made through the same router")
def small_request(world):
    """Send a request while the large response is blocked."""

    async def ask():
        status, _, _ = await world.caller(0).request(
            "GET", "/services/bookings/status"
        )
        world.context["small_status"] = status

    world.run(ask())


@then("every stream is complete")
def streams_complete(world):
    """Wait for all streams and check that each has the expected text."""
    world.finish_streams()
    assert not world.failed_chats()


@then("the agent took no new work after its stop began")
def no_new_work(world):
    """Check that the engine served only requests from before the stop."""
    name = world.context["agent"]
    world.fleet.nodes_by_name[name].wait()
    after = world.run(world.engine_counts(name))["served"]
    assert after <= world.context["streams_at_agent"]


@then("its first token came within the target plus the detection time")
def first_token_in_time(world):
    """Compare the time to first token with the target."""
    result = world.chats[-1][2]
    assert result.is_complete
    assert result.first_token_s <= FIRST_TOKEN_TARGET_S + DETECTION_TIME_S


@then(parsers.parse("the engines have no load within {limit:d} seconds"))
def no_load(world, limit):
    """Wait until all agents report that they have no load."""

    async def idle():
        for server in world.fleet.deployment.servers:
            dump = await world.fleet.dump(server.name)
            if dump["server"]["load"]:
                return False
        return True

    assert world.run(world.until(idle, limit))


@then("it is answered while the large response waits")
def answered(world):
    """Check that the small request succeeded first."""
    assert world.context["small_status"] == 200
    assert not world.context["large_response"].content.at_eof()


@then("no agent buffers more than two windows")
def bounded(world):
    """Check the largest number of bytes that an agent buffers."""

    async def held():
        max_buffered_bytes = 0
        for server in world.fleet.deployment.servers:
            dump = await world.fleet.dump(server.name)
            max_buffered_bytes = max(
                max_buffered_bytes, dump["server"]["buffered_bytes"]
            )
        world.context.pop("large_response").close()
        return max_buffered_bytes

    max_buffered_bytes = world.run(held())
    assert 0 < max_buffered_bytes <= 2 * WINDOW_BYTES


@then("the cold engine did not crash")
def no_crash(world):
    """Compare the crash counter with that before the restart."""
    counts = world.run(world.engine_counts(world.context["agent"]))
    assert counts["falls"] == world.context["falls"]


async def _busiest_agent(world):
    busiest, max_running = None, -1
    for server in world.fleet.deployment.servers:
        if server.kind == "model":
            load = (await world.fleet.dump(server.name))["server"]["running"]
            if load > max_running:
                busiest, max_running = server.name, load
    world.context["streams_at_agent"] = max_running
    counts = await world.engine_counts(busiest)
    world.context["streams_at_agent"] += counts["served"]
    return busiest


async def _chat_after_stop(world):
    for number in range(10):
        await world.chat(f"after {number} " + "unit " * 20, 2, words=4)
