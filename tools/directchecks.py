"""Check the results of a soak against the guarantees of routers."""

from tools.directfaults import ABORTING_FAULTS, CLOSING_FAULTS
from tools.serverchecks import check_servers
from tools.sums import arrivals_while_withdrawn
from tools.sums import max_in_window, max_retry_excess

__all__ = [
    "BOUNDS",
    "COLD_PER_S",
    "NOT_EXECUTED_STATUSES",
    "find_violations",
    "describe",
]

# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Limits of the whole fleet: requests per second at a cold server, retries.
COLD_PER_S = 6.0
BOUNDS = {
    "retry_ratio": 0.05,
    "retry_window_s": 10,
    "retry_extra": 6,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
COLD_WINDOW_S = 1.0
# A router may close a connection while a request crosses it, for so long.
LOSS_SLACK_S = 0.2


def find_violations(soak):
    """Yield the violated guarantees of a finished run as texts.

    :param soak: :class:`~tools.directsoak.DirectSoak`
    """
    yield from _check_executions(soak)
    yield from _check_stops(soak)
    yield from _check_aborted_calls(soak)
    yield from _check_fleet_limits(soak)
    yield from check_servers(soak)


def describe(call, text):
    """Return a text about one call, with its id and router."""
    return f"{call.kind} {call.id} of router {call.router}: {text}"


def _check_executions(soak):
    """Compare the executions with the statuses that callers received."""
    for call in soak.calls:
        executions = len(soak.executions_by_id.get(call.id, ()))
        if call.kind not in ("order", "stream", "chat", "upload"):
            continue
        if executions > 1:
            yield describe(call, f"executed {executions} times")
        if executions and call.status in NOT_EXECUTED_STATUSES:
            yield describe(call, f"status {call.status} but executed")


def _check_stops(soak):
    """Find responses that were aborted by a planned stop.

    The router may close a connection just when a caller sends a request on
    it. Therefore the failure of a request that was sent after the stop began
    is a violation only if a server executed the request, or if the router had
    all of its body for some time.
    """
    for stop in soak.planned_stops:
        if ABORTING_FAULTS.intersection(stop.faults):
            continue
        for call in soak.calls:
            if not call.error or call.router != stop.router:
                continue
            inside = stop.began_s < call.ended_s <= stop.ended_s
            began_before = call.began_s < stop.began_s
            executed = call.id in soak.executions_by_id
            if inside and (began_before or executed or _was_dropped(call)):
                yield describe(
                    call, f"aborted by a planned stop: {call.error}"
                )


def _was_dropped(call):
    """Return whether a call failed long after all of its body was sent."""
    if call.body_sent_s is None:
        return False
    return call.ended_s > call.body_sent_s + LOSS_SLACK_S


def _check_aborted_calls(soak):
    """Find calls that failed although no active fault explains it.

    Faults such as a change of the configuration or a reload must abort no
    response. A span is skipped if one of its faults, or of those of the span
    before, may abort responses or close connections; faults of the span
    before may still have an effect.
    """
    before = []
    for names, (began_s, ended_s) in zip(soak.fault_names, soak.fault_spans):
        pair, before = before + names, names
        if ABORTING_FAULTS.union(CLOSING_FAULTS).intersection(pair):
            continue
        for call in soak.calls:
            inside = began_s < call.began_s and call.ended_s < ended_s
            if call.error and inside:
                yield describe(call, f"aborted during {names}: {call.error}")


def _check_fleet_limits(soak):
    """Compare the requests of all routers with the limits of the fleet."""
    arrivals = [arrival for arrival in soak.arrivals if arrival.request_id]
    start_by_id = {call.id: call.began_s for call in soak.calls}
    excess = max_retry_excess(
        arrivals,
        sorted(start_by_id.values()),
        BOUNDS["retry_window_s"],
        BOUNDS["retry_ratio"],
        BOUNDS["retry_extra"],
    )
    if excess > 0:
        yield f"{excess:.1f} retries over the limit"
    for span in soak.withdrawn_spans:
        for late in arrivals_while_withdrawn(arrivals, span, start_by_id):
            yield f"{late} during the withdrawal {span}"
    limit = COLD_PER_S * BOUNDS["cold_factor"] + BOUNDS["cold_margin"]
    for span in soak.cold_spans:
        times = [
            arrival.at_s
            for arrival in arrivals
            if arrival.server == span.name
            and span.from_s < arrival.at_s < span.to_s
        ]
        count = max_in_window(times, COLD_WINDOW_S)
        if count > limit:
            yield f"{count} requests per second at a cold server {span}"
