"""Figures of the header in which a server reports its load."""

import dataclasses

from boragetrail.direct.capacity.numbers import parse_number

__all__ = ["LoadFigures", "parse_figures"]

MAX_REQUESTS = 100_000
# A figure of more than a hundred times the usual time is taken for an error.
MAX_REPORTED_PERCENT = 10_000
# A server with more running or waiting requests than so many times its slots
# would answer late, not report them.
MAX_PER_SLOT = 4
MAX_FIELDS = 4
MIN_FIELDS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class LoadFigures:
    """Hold what a load header reports.

    :param requests: running and waiting requests, or ``None`` if missing
    :param percent: time that work takes, in percent of the usual, or ``None``
        if missing
    :param malformed: whether a figure was left out because it is malformed
    """

    requests: int | None = None
    percent: int | None = None
    malformed: bool = False


def parse_figures(text, slots=0):
    """Return the :class:`LoadFigures` of a header.

    A malformed figure does not make the others count as missing.

    :param text: ``RUNNING,WAITING,SLOTS,PERCENT``, the last one or two of
        which may be missing, or an empty text
    :param slots: slots of the server as the platform lists it, or 0

    >>> figures = parse_figures("12,0,96,130")
    >>> figures.requests, figures.percent, figures.malformed
    (12, 130, False)
    >>> parse_figures("12,0,96,x").percent, parse_figures("x,0,96").requests
    (None, None)
    """
    if not text:
        return LoadFigures()
    fields = text.split(",", MAX_FIELDS)
    maximum = MAX_PER_SLOT * slots or MAX_REQUESTS
    running, waiting = (
        parse_number(field, maximum) for field in [*fields, ""][:2]
    )
    is_known = running is not None and waiting is not None
    requests = running + waiting if is_known else None
    reported_slots = percent = None
    if len(fields) > 2:
        reported_slots = parse_number(fields[2], MAX_REQUESTS)
    if len(fields) > 3:
        percent = parse_number(fields[3], MAX_REPORTED_PERCENT) or None
    malformed = (
        requests is None
        or not MIN_FIELDS <= len(fields) <= MAX_FIELDS
        or (len(fields) > 2 and reported_slots is None)
        or (len(fields) > 3 and percent is None)
    )
    return LoadFigures(requests, percent, malformed)
