"""Faults for the soak of routers without agents.

Each fault is a coroutine function that gets the soak and returns a coroutine
function that ends the fault, or ``None``. Names of faults appear in reports.
"""

import asyncio
import dataclasses
import signal
import time

from tools.serverfaults import SERVER_FAULTS
from tools.sums import Span

__all__ = [
    "ABORTING_FAULTS",
    "CLOSING_FAULTS",
    "FAULTS",
    "PlannedStop",
    "store_connections_go_silent",
    "store_returns_from_a_copy",
]

PAUSE_S = 1.2
# Faults that may abort a response, also during a planned stop.
ABORTING_FAULTS = frozenset(
    (
        "kill_router",
        "pause_router",
        "servers_cut",
        "servers_end_streams_midway",
        "server_is_gone",
        "links_cut",
        "links_go_silent",
        "links_cut_one_way",
        "part_is_deadly",
    )
)
# Faults during which routers cannot read changes from the store.
UNREADABLE_STORE_FAULTS = frozenset(
    ("store_refuses", "store_is_silent", "store_returns_from_a_copy")
)
# Faults during which a router may act on a change later.
UNSETTLING_FAULTS = UNREADABLE_STORE_FAULTS | {
    "kill_router",
    "pause_router",
    "stop_router",
}
# Time after a silence of connections from which routers act on changes that
# are confirmed, and longest time from the silence to the change.
CONTACT_S = 3.0
MAX_CHANGE_DELAY_S = 0.5
# Time for which the store is away before it returns from a copy, and from
# then until the operators and the servers have written their rows again.
COPY_OUTAGE_S = 0.3
WRITTEN_AGAIN_S = 0.4
# Time after which a change has taken effect at every router.
CONFIGURATION_DELAY_S = 4.0
# Time for which a key stays withdrawn after that delay.
KEY_WITHDRAWAL_S = 1.5
# Time for which servers that are listed again count as cold.
COLD_S = 4.0
# Faults that close connections; a request sent at that moment may fail.
CLOSING_FAULTS = frozenset(("stop_router",))


@dataclasses.dataclass(slots=True)
class PlannedStop:
    """Hold the times of a graceful stop of a router.

    :param faults: names of the faults that overlap the stop
    :param ended_s: time at which the process ended, or infinity
    """

    router: int
    faults: list
    began_s: float
    ended_s: float = float("inf")


def _pick_router(soak):
    """Return a router that serves; ``None`` if it is the last one."""
    numbers = sorted(soak.open_to_callers)
    return soak.random.choice(numbers) if len(numbers) > 1 else None


async def kill_router(soak):
    """Kill a router; callers use the other routers from then on."""
    number = _pick_router(soak)
    if number is None:
        return None
    soak.open_to_callers.discard(number)
    _, process = soak.routers[number]
    process.kill()
    await process.wait()

    async def undo():
        await soak.start_router(number)

    return undo


async def stop_router(soak):
    """Stop a router gracefully; callers still use it for a while."""
    number = _pick_router(soak)
    if number is None:
        return None
    _, process = soak.routers[number]
    stop = PlannedStop(number, soak.fault_names[-1], time.monotonic())
    soak.planned_stops.append(stop)
    process.send_signal(signal.SIGTERM)

    async def undo():
        # Callers use the connections that they have until the process is
        # gone.
        await process.wait()
        soak.open_to_callers.discard(number)
        stop.ended_s = time.monotonic()
        await soak.start_router(number)

    return undo


async def pause_router(soak):
    """Pause a router for ``PAUSE_S``."""
    number = _pick_router(soak)
    if number is None:
        return None
    _, process = soak.routers[number]
    soak.record_disturbance(number)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)
    soak.record_disturbance(number)
    return None


async def reload_router(soak):
    """Make a router reload its settings."""
    number = _pick_router(soak)
    if number is not None:
        soak.routers[number][1].send_signal(signal.SIGHUP)


async def store_refuses(soak):
    """Make the store refuse all calls."""
    soak.cluster.store.status = 503

    async def undo():
        soak.cluster.store.status = 0

    return undo


async def store_is_silent(soak):
    """Make the store leave all calls without a response."""
    soak.cluster.store.silent = True

    async def undo():
        soak.cluster.store.silent = False

    return undo


async def store_connections_go_silent(soak):
    """Silence all open connections to the store, then change something."""
    silent_s = time.monotonic()
    soak.store_proxy.drop_traffic()
    await asyncio.sleep(soak.random.uniform(0.0, MAX_CHANGE_DELAY_S))
    soak.write_configuration()
    if not UNSETTLING_FAULTS.intersection(soak.fault_names[-1]):
        in_force_s = silent_s + CONTACT_S
        await soak.check_configuration(in_force_s - time.monotonic())


async def store_forgets(soak):
    """Drop the store's history of changes."""
    soak.cluster.store.drop_history()


async def store_returns_from_a_copy(soak):
    """Let the store lose what is written from now on, then write it again."""
    store = soak.cluster.store
    store.save_copy()

    async def undo():
        store.status = 503
        await asyncio.sleep(COPY_OUTAGE_S)
        lost = store.return_from_copy()
        store.status = 0
        await asyncio.sleep(WRITTEN_AGAIN_S)
        store.write_again(lost, ("op", "servers"))
        soak.write_configuration()
        await soak.check_configuration(CONFIGURATION_DELAY_S)

    return undo


async def configuration_changes(soak):
    """Write versions of the configuration in quick succession."""
    for _ in range(3):
        soak.write_configuration()
        await asyncio.sleep(0.05)


async def key_is_withdrawn(soak):
    """Withdraw a customer's key and restore it later."""
    soak.withdraw_key(True)
    from_s = time.monotonic() + CONFIGURATION_DELAY_S
    is_readable = not UNREADABLE_STORE_FAULTS.intersection(
        soak.fault_names[-1]
    )

    async def undo():
        await asyncio.sleep(from_s + KEY_WITHDRAWAL_S - time.monotonic())
        if is_readable:
            span = Span(soak.SECOND_KEY, from_s, time.monotonic())
            soak.withdrawn_spans.append(span)
        soak.withdraw_key(False)

    return undo


async def servers_return_cold(soak):
    """Remove all servers' entries and list them again as cold servers."""
    servers = soak.cluster.servers
    for server in servers:
        soak.cluster.unlist_server(server)
    is_readable = not UNREADABLE_STORE_FAULTS.intersection(
        soak.fault_names[-1]
    )

    async def undo():
        now = time.monotonic()
        for server in servers:
            soak.cluster.list_server(server, COLD_S)
            if is_readable:
                span = Span(server.id, now, now + COLD_S)
                soak.cold_spans.append(span)

    return undo


async def server_is_gone(soak):
    """Remove a server's entry and list it again later."""
    server = soak.random.choice(soak.cluster.servers)
    soak.cluster.unlist_server(server)

    async def undo():
        soak.cluster.list_server(server, soak.cold_left_s(server))

    return undo


async def zone_is_out(soak):
    """Take a zone without servers out and in again."""
    soak.cluster.take_zone_out("z9")

    async def undo():
        soak.cluster.put_zone_back("z9")

    return undo


async def links_cut(soak):
    """Reset all connections to some servers."""
    for proxy in soak.random.sample(soak.proxies, 2):
        proxy.abort_connections()


async def links_go_silent(soak):
    """Drop all data of the open connections to a server."""
    soak.random.choice(soak.proxies).drop_traffic()


async def links_cut_one_way(soak):
    """Drop the server's responses on its open connections."""
    soak.random.choice(soak.proxies).drop_responses()


async def links_are_slow(soak):
    """Delay all data to and from a server."""
    proxy = soak.random.choice(soak.proxies)
    proxy.delay_s = 0.15

    async def undo():
        proxy.delay_s = 0.0

    return undo


async def server_takes_no_connections(soak):
    """Reset new connections to a server."""
    proxy = soak.random.choice(soak.proxies)
    proxy.refuse = True

    async def undo():
        proxy.refuse = False

    return undo


def _server_fault(name, kind):
    async def fault(soak):
        soak.server_fault = kind

        async def undo():
            soak.server_fault = ""

        return undo

    fault.__name__ = name
    return fault


FAULTS = [
    kill_router,
    stop_router,
    stop_router,
    pause_router,
    reload_router,
    store_refuses,
    store_is_silent,
    store_connections_go_silent,
    store_forgets,
    store_returns_from_a_copy,
    configuration_changes,
    key_is_withdrawn,
    servers_return_cold,
    server_is_gone,
    zone_is_out,
    links_cut,
    links_go_silent,
    links_cut_one_way,
    links_are_slow,
    server_takes_no_connections,
    *SERVER_FAULTS,
    _server_fault("servers_refuse", "refuse"),
    _server_fault("servers_fail", "fail"),
    _server_fault("servers_cut", "cut"),
    _server_fault("servers_are_slow", "slow"),
    _server_fault("servers_answer_another_request", "other"),
    _server_fault("servers_end_streams_midway", "midway"),
]
