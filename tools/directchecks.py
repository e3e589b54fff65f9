"""Compare what a soak saw with what routers promise."""

from tools.directfaults import ABORTING_FAULTS, CLOSING_FAULTS
from tools.sums import arrivals_while_withdrawn
from tools.sums import max_in_window, max_retry_excess

__all__ = [
    "BOUNDS",
    "COLD_PER_S",
    "NOT_EXECUTED_STATUSES",
    "find_violations",
    "describe",
]

# Statuses that promise that a request has not run.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Limits of the whole fleet.
COLD_PER_S = 6.0
BOUNDS = {
    "retry_ratio": 0.05,
    "retry_window_s": 10,
    "retry_extra": 6,
    "cold_factor": 1.5,
    "cold_margin": 5,
}
COLD_WINDOW_S = 1.0


def find_violations(soak):
    """Yield what broke a promise in a run that is over, as texts.

    :param soak: :class:`~tools.directsoak.DirectSoak`
    """
    yield from _check_executions(soak)
    yield from _check_stops(soak)
    yield from _check_aborted_calls(soak)
    yield from _check_fleet_limits(soak)


def describe(call, text):
    """Return a text on what one caller saw."""
    return f"{call.kind} {call.id} of router {call.router}: {text}"


def _check_executions(soak):
    """Compare what ran with what callers were told."""
    for call in soak.calls:
        executions = len(soak.executions_by_id.get(call.id, ()))
        if call.kind not in ("order", "stream"):
            continue
        if executions > 1:
            yield describe(call, f"ran {executions} times")
        if executions and call.status in NOT_EXECUTED_STATUSES:
            yield describe(call, f"told {call.status} and ran")


def _check_stops(soak):
    """Find answers that a planned stop cut.

    A request that crosses the close of its connection counts only if a
    server ran it.
    """
    for stop in soak.planned_stops:
        if ABORTING_FAULTS.intersection(stop.faults):
            continue
        for call in soak.calls:
            if not call.error or call.router != stop.router:
                continue
            inside = stop.began_s < call.ended_s <= stop.ended_s
            began_before = call.began_s < stop.began_s
            if inside and (began_before or call.id in soak.executions_by_id):
                yield describe(call, f"cut by a planned stop: {call.error}")


def _check_aborted_calls(soak):
    """Find answers that were cut though no fault cuts any.

    Changes of the configuration and reloads are such faults. The pair
    before counts too, since its end may last.
    """
    before = []
    for names, (began_s, ended_s) in zip(soak.fault_names, soak.fault_spans):
        pair, before = before + names, names
        if ABORTING_FAULTS.union(CLOSING_FAULTS).intersection(pair):
            continue
        for call in soak.calls:
            inside = began_s < call.began_s and call.ended_s < ended_s
            if call.error and inside:
                yield describe(call, f"cut beside {names}: {call.error}")


def _check_fleet_limits(soak):
    """Compare what all routers sent with the limits of the fleet."""
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
        yield f"{excess:.1f} repeats over the limit"
    for span in soak.withdrawn_spans:
        for late in arrivals_while_withdrawn(arrivals, span, start_by_id):
            yield f"{late} beside the withdrawal {span}"
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
            yield f"{count} requests a second at a cold server {span}"
