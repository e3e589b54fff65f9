"""Find the causes of failed requests in the logs of routers."""

import collections
import dataclasses
import json

from boragetrail.events import Event

__all__ = ["LogLine", "count_failures", "read_logs", "select_request"]

# Numbers of the events that say why a request failed, as in log lines.
FAILURE_EVENTS = frozenset(
    f"E{event.number}"
    for event in (Event.REQUEST_FAILED, Event.HANDLER_FAILED)
)
# Keys that every log line has; the others are the fields of its event.
COMMON_FIELDS = ("t", "event", "level", "text")


@dataclasses.dataclass(slots=True)
class LogLine:
    """One line of a router's log.

    :param router: name of the router, from the name of its log file
    :param time_s: Unix time by the router's clock, in seconds
    :param event: number of the event with the prefix ``E``, such as ``E201``
    :param text: meaning of the event
    :param fields: further fields of the event by name
    """

    router: str
    time_s: float
    event: str
    text: str
    fields: dict


def read_logs(folder):
    """Return the lines of all logs in a folder, sorted by time.

    Clocks of routers differ, so lines of different routers that are a few
    milliseconds apart may be in the wrong order. Text that is not a log line
    is skipped.

    :param folder: ``pathlib.Path`` of a folder with one file of JSON lines for
        each router
    :returns: list of :class:`LogLine`
    """
    lines = []
    for path in sorted(folder.iterdir()):
        with path.open(errors="replace") as file:
            lines.extend(
                line
                for text in file
                if (line := _parse(path.stem, text)) is not None
            )
    lines.sort(key=lambda line: line.time_s)
    return lines


def select_request(lines, request_id):
    """Return the lines of one request, those that report failures first.

    :param lines: list of :class:`LogLine`
    :param request_id: id of the request
    :returns: list of :class:`LogLine`; empty if no line is of the request
    """
    selected = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    return sorted(selected, key=lambda line: line.event not in FAILURE_EVENTS)


def count_failures(lines, from_s=float("-inf"), to_s=float("inf")):
    """Count failed requests by reason code, server and router.

    :param lines: list of :class:`LogLine`
    :param lines: list of :class:`LogLine`
    :param from_s: Unix time in seconds; earlier lines are skipped
    :param to_s: Unix time in seconds; lines of this time or later are skipped
    :returns: ``collections.Counter`` of (code, server, router); the server
        is an empty string if the request was not sent to a server

    >>> fields = {"code": "deadline", "server": "s1"}
    >>> line = LogLine("r1", 5.0, "E201", "", fields)
    >>> count_failures([line, line], to_s=9.0)
    Counter({('deadline', 's1', 'r1'): 2})
    """
    return collections.Counter(
        (
            str(line.fields.get("code", "")),
            str(line.fields.get("server", "")),
            line.router,
        )
        for line in lines
        if line.event in FAILURE_EVENTS and from_s <= line.time_s < to_s
    )


def _parse(router, text):
    try:
        data = json.loads(text)
        line = LogLine(
            router,
            float(data["t"]),
            str(data["event"]),
            str(data["text"]),
            {key: data[key] for key in data if key not in COMMON_FIELDS},
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    return line
