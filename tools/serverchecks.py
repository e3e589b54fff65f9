"""Check what routers send to servers that crash, leave or want a pause."""

from boragetrail.platform.names import HEADER_NAMES

__all__ = ["check_servers", "is_leaving"]

# Time from the fifth crash until all routers know of the part, and requests
# that may arrive afterwards.
CONTACT_S = 3.0
FREE_CRASHES = 5
MAX_LATE_DEADLY = 3
# Time from a response until its router sends no more to its server, and
# requests that may still arrive in a pause.
REACTION_S = 0.5
MAX_IN_PAUSE = 2


def is_leaving(headers):
    """Return whether a response says that its server leaves."""
    return headers.get(HEADER_NAMES.leaving) == "1"


def check_servers(soak):
    """Yield the violated guarantees towards servers as texts.

    :param soak: :class:`~tools.directsoak.DirectSoak`
    """
    calls_by_id = {call.id: call for call in soak.calls}
    arrivals = [
        (arrival, calls_by_id[arrival.request_id])
        for arrival in soak.arrivals
        if arrival.request_id in calls_by_id
    ]
    yield from _check_deadly_parts(soak, arrivals)
    yield from _check_leaving(soak, arrivals)
    yield from _check_pauses(soak, arrivals, calls_by_id)


def _check_deadly_parts(soak, arrivals):
    times_by_part = {}
    for crash in soak.servers.crashes:
        times_by_part.setdefault(crash.part, []).append(crash.at_s)
    for part, times_s in times_by_part.items():
        if len(times_s) < FREE_CRASHES:
            continue
        known_s = times_s[FREE_CRASHES - 1] + CONTACT_S
        late = [
            arrival
            for arrival, call in arrivals
            if part in call.prompt
            and arrival.at_s > known_s
            and not _was_disturbed(soak, call.router, known_s, arrival.at_s)
        ]
        if len(late) > MAX_LATE_DEADLY:
            yield f"{len(late)} requests with {part} after {len(times_s)}"


def _check_leaving(soak, arrivals):
    heard = {}
    for arrival, call in arrivals:
        key = (call.router, arrival.server)
        if call.leaving and call.server == arrival.server:
            run = (arrival.born_ms, call.ended_s)
            heard[key] = min(heard.get(key, run), run)
    for arrival, call in arrivals:
        said = heard.get((call.router, arrival.server))
        if said is None or said[0] != arrival.born_ms:
            continue
        late = call.began_s > said[1] + REACTION_S
        if late and not _was_disturbed(
            soak, call.router, said[1], arrival.at_s
        ):
            yield f"{call.id} of router {call.router} at {arrival.server}"


def _check_pauses(soak, arrivals, calls_by_id):
    for pause in soak.servers.pauses:
        router = calls_by_id[pause.request_id].router
        from_s = pause.from_s + REACTION_S
        inside = [
            arrival
            for arrival, call in arrivals
            if arrival.server == pause.server
            and arrival.born_ms == pause.born_ms
            and call.router == router
            and from_s < arrival.at_s < pause.to_s
            and not _was_disturbed(soak, router, pause.from_s, arrival.at_s)
        ]
        if len(inside) > MAX_IN_PAUSE:
            yield f"{len(inside)} requests of router {router} in {pause}"


def _was_disturbed(soak, router, from_s, to_s):
    """Return whether a router started or was paused in a time span.

    Time before it in which the router may not have heard from others counts
    as well.
    """
    return any(
        number == router and from_s - CONTACT_S < at_s < to_s
        for number, at_s in soak.disturbances
    )
