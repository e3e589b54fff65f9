"""Compare what a soak saw with what routers promise."""

from tools.directfaults import CUTTING, ENDING
from tools.sums import arrivals_while_away
from tools.sums import most_in_window, most_repeats_over

__all__ = ["BOUNDS", "COLD_PER_S", "NOT_RUN", "broken_promises", "told"]

# Statuses that promise that a request has not run.
NOT_RUN = frozenset((408, 421, 429, 503))
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


def broken_promises(soak):
    """Yield what broke a promise in a run that is over, as texts.

    :param soak: :class:`~tools.directsoak.DirectSoak`
    """
    yield from _runs(soak)
    yield from _stops(soak)
    yield from _cuts(soak)
    yield from _sums(soak)


def told(seen, text):
    """Return a text on what one caller saw."""
    return f"{seen.kind} {seen.id} of router {seen.router}: {text}"


def _runs(soak):
    """Compare what ran with what callers were told."""
    for seen in soak.seen:
        runs = len(soak.runs_by_id.get(seen.id, ()))
        if seen.kind not in ("order", "stream"):
            continue
        if runs > 1:
            yield told(seen, f"ran {runs} times")
        if runs and seen.status in NOT_RUN:
            yield told(seen, f"told {seen.status} and ran")


def _stops(soak):
    """Find answers that a planned stop cut.

    A request that crosses the close of its connection counts only if a
    server ran it.
    """
    for stop in soak.stops:
        if CUTTING.intersection(stop.faults):
            continue
        for seen in soak.seen:
            if not seen.cut or seen.router != stop.router:
                continue
            inside = stop.began_s < seen.ended_s <= stop.ended_s
            began_before = seen.began_s < stop.began_s
            if inside and (began_before or seen.id in soak.runs_by_id):
                yield told(seen, f"cut by a planned stop: {seen.cut}")


def _cuts(soak):
    """Find answers that were cut though no fault cuts any.

    Changes of the configuration and reloads are such faults. The pair
    before counts too, since its end may last.
    """
    before = []
    for names, (began_s, ended_s) in zip(soak.faults, soak.spans):
        pair, before = before + names, names
        if CUTTING.union(ENDING).intersection(pair):
            continue
        for seen in soak.seen:
            inside = began_s < seen.began_s and seen.ended_s < ended_s
            if seen.cut and inside:
                yield told(seen, f"cut beside {names}: {seen.cut}")


def _sums(soak):
    """Compare what all routers sent with the limits of the fleet."""
    arrivals = [each for each in soak.arrivals if each.request_id]
    begun_by_id = {seen.id: seen.began_s for seen in soak.seen}
    over = most_repeats_over(
        arrivals,
        sorted(begun_by_id.values()),
        BOUNDS["retry_window_s"],
        BOUNDS["retry_ratio"],
        BOUNDS["retry_extra"],
    )
    if over > 0:
        yield f"{over:.1f} repeats over the limit"
    for span in soak.withdrawn:
        for late in arrivals_while_away(arrivals, span, begun_by_id):
            yield f"{late} beside the withdrawal {span}"
    most = COLD_PER_S * BOUNDS["cold_factor"] + BOUNDS["cold_margin"]
    for span in soak.cold:
        times = [
            each.at_s
            for each in arrivals
            if each.server == span.name and span.from_s < each.at_s < span.to_s
        ]
        count = most_in_window(times, COLD_WINDOW_S)
        if count > most:
            yield f"{count} requests a second at a cold server {span}"
