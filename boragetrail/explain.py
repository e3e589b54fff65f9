"""Explain failed requests from the logs of many routers."""

import collections
import dataclasses
import json

from boragetrail.events import Event

__all__ = ["LogLine", "count_failures", "read_logs", "tell_story"]

# Events that end a request, or say why it goes on elsewhere.
END_EVENTS = frozenset(
    f"E{event.number}"
    for event in (Event.REQUEST_FAILED, Event.HANDLER_FAILED)
)
PLAIN_FIELDS = ("t", "event", "level", "text")


@dataclasses.dataclass(slots=True)
class LogLine:
    """Hold one line of a router's log.

    :param router: name of the file that it stands in
    :param time_s: time of day at the router, in Unix seconds
    :param event: number of the event, as ``E201``
    :param text: meaning of the event
    :param fields: what else it says, by name
    """

    router: str
    time_s: float
    event: str
    text: str
    fields: dict


def read_logs(folder):
    """Return the lines of all logs in a folder in the order of their times.

    Clocks of routers differ, so lines of different routers that are a few
    milliseconds apart may stand in the wrong order. What is no line of a log
    is left out.

    :param folder: ``pathlib.Path`` with a file of JSON lines for each router
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


def tell_story(lines, request_id):
    """Return the lines of one request, the one with the cause first.

    :param lines: list of :class:`LogLine`
    :returns: list, empty if the request is in no log
    """
    story = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    return sorted(story, key=lambda line: line.event not in END_EVENTS)


def count_failures(lines, from_s=float("-inf"), to_s=float("inf")):
    """Count failed requests by what they say of their cause.

    :param lines: list of :class:`LogLine`
    :param from_s: Unix time before which lines are left out
    :param to_s: Unix time from which on they are left out
    :returns: ``collections.Counter`` of (code, server, router); the server
        is empty if the request was sent to none

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
        if line.event in END_EVENTS and from_s <= line.time_s < to_s
    )


def _parse(router, text):
    try:
        data = json.loads(text)
        line = LogLine(
            router,
            float(data["t"]),
            str(data["event"]),
            str(data["text"]),
            {key: data[key] for key in data if key not in PLAIN_FIELDS},
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    return line
