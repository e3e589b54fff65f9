"""Pauses that servers ask for with ``Retry-After``."""

import math

__all__ = ["DEFAULT_PAUSE_S", "MAX_PAUSE_S", "parse_pause"]

# Pause after a value that cannot be used, and the longest pause.
DEFAULT_PAUSE_S = 1.0
MAX_PAUSE_S = 3600.0


def parse_pause(text):
    """Return for how long a server wants no requests.

    A date is not used, since the clocks of the server and of the router may
    differ.

    :param text: value of the field, in seconds
    :returns: (seconds from 0 to ``MAX_PAUSE_S``, whether the value is valid)

    >>> parse_pause("0.25"), parse_pause("1e9"), parse_pause("soon")
    ((0.25, True), (3600.0, False), (1.0, False))
    """
    try:
        pause_s = float(text)
    except ValueError:
        return DEFAULT_PAUSE_S, False
    if math.isnan(pause_s) or pause_s < 0:
        return DEFAULT_PAUSE_S, False
    return min(pause_s, MAX_PAUSE_S), pause_s <= MAX_PAUSE_S
