"""Counts of requests of a whole fleet, for comparison with its limits."""

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
    """Hold the arrival of a request at a server.

    :param at_s: monotonic time in seconds
    :param request_id: id of the caller's request
    :param server: id of the server
    :param key: key of the caller
    :param born_ms: start of the server's run
    """

    at_s: float
    request_id: str
    server: str
    key: str = ""
    born_ms: int = 0


@dataclasses.dataclass(slots=True)
class Span:
    """Hold a time span in which a server or a key has a certain state.

    :param name: id of the server, or the key
    :param from_s: start in monotonic seconds
    :param to_s: end in monotonic seconds
    """

    name: str
    from_s: float
    to_s: float


def max_in_window(times, window_s):
    """Return the largest number of times that lie in one window.

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
    """Return the largest number of retries above the limit of a fleet.

    A retry is any arrival of a request but its first. In each window the
    limit is a ratio of the requests that callers started in it, plus a
    fixed number.

    :param arrivals: :class:`Arrival` of each request, sorted by time
    :param start_times: times at which callers started requests, sorted
    :param window_s: length of the window in seconds
    :param ratio: retries allowed for each request
    :param extra: retries allowed in each window besides
    :returns: zero or a negative number if the limit was never exceeded

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
    """Return arrivals for a server or a key while it is withdrawn.

    A request that its caller started before the span may still arrive.

    :param span: :class:`Span` in which a server or a key is withdrawn
    :param start_by_id: times at which callers started requests

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
