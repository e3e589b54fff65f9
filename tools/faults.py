"""Faults for the soak of a deployment.

Each fault is a coroutine function that gets the soak and returns a coroutine
function that ends the fault, or ``None``. The names of planned stops begin
with ``planned``; a planned stop must not abort any response.
"""

import asyncio
import signal

__all__ = ["FAULTS"]

BALANCER_DELAY_S = 0.3


def _pick_agent(soak, kind=None):
    servers = soak.fleet.deployment.servers
    names = [s.name for s in servers if kind in (None, s.kind)]
    return soak.random.choice(names)


def _pick_router(soak):
    # The first router is never chosen, so that callers always reach one.
    return soak.random.randrange(1, len(soak.fleet.deployment.routers))


async def kill_agent(soak):
    """Kill an agent and start it again later."""
    name = _pick_agent(soak)
    node = soak.fleet.nodes_by_name[name]
    node.signal(signal.SIGKILL)
    node.wait()

    async def undo():
        await soak.fleet.restart(name)

    return undo


async def kill_application_agent(soak):
    """Kill the agent of an application server and restart it at once."""
    name = _pick_agent(soak, "application")
    node = soak.fleet.nodes_by_name[name]
    node.signal(signal.SIGKILL)
    node.wait()
    await soak.fleet.restart(name)


async def kill_router(soak):
    """Kill a router; callers use the other routers until it is back."""
    index = _pick_router(soak)
    node = soak.fleet.router(index)
    node.signal(signal.SIGKILL)
    node.wait()
    if index in soak.routers:
        soak.routers.remove(index)
    return _undo_router_stop(soak, index)


async def planned_router_stop(soak):
    """Stop a router gracefully while it serves."""
    index = _pick_router(soak)
    if index not in soak.routers:
        return None
    node = soak.fleet.router(index)
    node.signal(signal.SIGTERM)
    await asyncio.sleep(BALANCER_DELAY_S)
    soak.routers.remove(index)
    return _undo_router_stop(soak, index)


async def planned_agent_stop(soak):
    """Stop an agent gracefully while it serves."""
    name = _pick_agent(soak)
    soak.fleet.nodes_by_name[name].signal(signal.SIGTERM)

    async def undo():
        await _wait_exit(soak.fleet.nodes_by_name[name])
        await soak.fleet.restart(name)

    return undo


async def freeze_agent(soak):
    """Pause an agent until the fault ends."""
    node = soak.fleet.nodes_by_name[_pick_agent(soak)]
    node.signal(signal.SIGSTOP)

    async def undo():
        node.signal(signal.SIGCONT)

    return undo


async def freeze_router(soak):
    """Pause a router for a second."""
    node = soak.fleet.router(_pick_router(soak))
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(1.0)
    node.signal(signal.SIGCONT)


async def silence_links(soak):
    """Drop all data of the open connections to some agents."""
    for _ in range(3):
        await soak.fleet.control_proxy(_pick_agent(soak), silence=True)


async def cut_links(soak):
    """Abort all open connections to some agents."""
    for _ in range(3):
        await soak.fleet.control_proxy(_pick_agent(soak), cut=True)


async def delay_links(soak):
    """Delay all data to and from an agent."""
    name = _pick_agent(soak)
    await soak.fleet.control_proxy(name, delay_s=0.15)

    async def undo():
        await soak.fleet.control_proxy(name, delay_s=0.0)

    return undo


async def table_down(soak):
    """Take the table service down."""
    await soak.fleet.set_faults("table", down=True)
    return _undo_table_faults(soak)


async def table_silent(soak):
    """Make the table service leave all calls without a response."""
    await soak.fleet.set_faults("table", silent=True)
    return _undo_table_faults(soak)


async def table_loses_answers(soak):
    """Drop the responses of writes that took effect."""
    await soak.fleet.set_faults("table", lose_answers=8)
    return _undo_table_faults(soak)


async def planned_zone_out(soak):
    """Take a zone out and in again."""
    zones = soak.fleet.deployment.zones
    zone = soak.random.choice(zones)
    reply = await soak.fleet.set_zone(zone, out=True)
    if reply.problem:
        return None

    async def undo():
        for _ in range(40):
            reply = await soak.fleet.set_zone(zone, out=False)
            if not reply.problem:
                return
            await asyncio.sleep(0.25)

    return undo


async def engine_goes_cold(soak):
    """Restart a warm engine cold without notice to its agent."""
    name = _pick_agent(soak, "model")
    url = soak.fleet.nodes_by_name[f"{name}-backend"].url("main")
    async with soak.fleet.session.post(f"{url}/cold") as response:
        response.raise_for_status()


def _undo_router_stop(soak, index):
    async def undo():
        node = soak.fleet.router(index)
        await _wait_exit(node)
        await soak.fleet.restart(node.name)
        await soak.fleet.wait_ready([node.name])
        if index not in soak.routers:
            soak.routers.append(index)

    return undo


def _undo_table_faults(soak):
    async def undo():
        await soak.fleet.set_faults(
            "table", down=False, silent=False, lose_answers=0
        )

    return undo


async def _wait_exit(node):
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, node.wait)


FAULTS = [
    kill_agent,
    kill_application_agent,
    kill_router,
    planned_router_stop,
    planned_agent_stop,
    freeze_agent,
    freeze_router,
    silence_links,
    cut_links,
    delay_links,
    table_down,
    table_silent,
    table_loses_answers,
    planned_zone_out,
    engine_goes_cold,
]
