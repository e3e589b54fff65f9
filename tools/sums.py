"""Compare what all routers of a run sent with the limits of the fleet."""

import bisect
import dataclasses

__all__ = [
    "Arrival",
    "Span",
    "arrivals_while_withdrawn",
    "max_in_window",
    "max_retry_excess",
]


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that arrived at a server.

    :param at_s: monotonic time in seconds
    :param request_id: id of the caller's request
    :param server: id of the server
    :param key: key of the caller
    """

    at_s: float
    request_id: str
    server: str
    key: str = ""


@dataclasses.dataclass(slots=True)
class Span:
    """Time in seconds for which something holds.

    :param name: id of the server or key that it holds for
    """

    name: str
    from_s: float
    to_s: float


def max_in_window(times, window_s):
    """Return the most of some sorted times that lie in one window.

    :param times: monotonic times in seconds, sorted
    :param window_s: length of the window in seconds

    >>> max_in_window([0.0, 0.9, 1.1, 5.0], 1.0)
    2
    """
    max_count = 0
    for last, time_s in enumerate(times):
        first = bisect.bisect_right(times, time_s - window_s)
        max_count = max(max_count, last - first + 1)
    return max_count


def max_retry_excess(arrivals, start_times, window_s, ratio, extra):
    """Return by how many repeats a fleet exceeded its limit at the most.

    An arrival of a request that arrived before is a repeat. The limit of a
    window is a ratio of the requests that callers began in it, and a fixed
    number more.

    :param arrivals: :class:`Arrival` each, sorted by time
    :param begun: times at which callers began requests, sorted
    :param window_s: length of the window in seconds
    :param ratio: repeats for each request
    :param extra: fixed number of repeats in a window
    :returns: a negative number if the limit was kept

    >>> twice = [Arrival(0.1, "a", "s1"), Arrival(0.2, "a", "s2")]
    >>> max_retry_excess(twice, [0.0], 10.0, 0.5, 0)
    0.5
    """
    seen_ids, retries = set(), []
    excess = float("-inf")
    for arrival in arrivals:
        if arrival.request_id not in seen_ids:
            seen_ids.add(arrival.request_id)
            continue
        now = arrival.at_s
        retries.append(now)
        count = len(retries) - bisect.bisect_right(retries, now - window_s)
        requests = bisect.bisect_right(start_times, now)
        requests -= bisect.bisect_right(start_times, now - window_s)
        excess = max(excess, count - ratio * requests - extra)
    return excess


def arrivals_while_withdrawn(arrivals, span, start_by_id):
    """Return arrivals that nothing should have brought.

    A request that its caller began before the span may still arrive.

    :param span: :class:`Span` for which a server or a key is withdrawn
    :param begun_by_id: times at which callers began requests

    >>> late = [Arrival(5.0, "a", "s1"), Arrival(5.1, "b", "s1")]
    >>> span = Span("s1", 4.0, 6.0)
    >>> [a.request_id for a in arrivals_while_withdrawn(
    ...     late, span, {"a": 3.9, "b": 4.5})]
    ['b']
    """
    return [
        arrival
        for arrival in arrivals
        if span.name in (arrival.server, arrival.key)
        and span.from_s <= start_by_id[arrival.request_id]
        and arrival.at_s < span.to_s
    ]
