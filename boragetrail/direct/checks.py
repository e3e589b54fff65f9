"""Checks of the fields of datagrams.

Each function returns the checked value, or raises ``ValueError`` with a text
that says what is wrong.
"""

import ipaddress
import math
import re

__all__ = [
    "bounded_list",
    "fixed_list",
    "flag",
    "host",
    "incarnation",
    "integer",
    "port",
    "real",
    "text",
    "version",
]

INCARNATION_PATTERN = re.compile("[0-9a-f]{16}")
MAX_TEXT_LENGTH = 200
# Default bound of integers; MAX_REAL is that of other numbers.
MAX_INTEGER = 2**62
MAX_REAL = 1e9
MAX_PORT = 65535


def text(value):
    """Return a value that is a short text."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError("not a string, empty or too long")
    return value


def incarnation(value):
    """Return a value that is the id of a run."""
    if not INCARNATION_PATTERN.fullmatch(text(value)):
        raise ValueError("not an incarnation of 16 hexadecimal digits")
    return value


def integer(value, maximum=MAX_INTEGER, minimum=0):
    """Return a value that is an integer in a range."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}")
    return value


def version(value):
    """Return a value that is a row version; -1 if there is no row."""
    return integer(value, minimum=-1)


def port(value):
    """Return a value that is a port number."""
    return integer(value, MAX_PORT, 1)


def real(value, maximum=MAX_REAL):
    """Return a value that is a number from 0 to a maximum."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError("not a finite number")
    if not 0 <= value <= maximum:
        raise ValueError(f"not a number from 0 to {maximum}")
    return value


def flag(value):
    """Return a value that is a boolean."""
    if type(value) is not bool:
        raise ValueError("not a boolean")
    return value


def host(value):
    """Return a value that is an IPv4 address, as text."""
    return str(ipaddress.IPv4Address(text(value)))


def bounded_list(value, max_length):
    """Return a value that is a list with a maximum length."""
    if not isinstance(value, list) or len(value) > max_length:
        raise ValueError(f"not a list with a maximum length of {max_length}")
    return value


def fixed_list(value, *decoders):
    """Return a list in which each item passes the check at its place."""
    if len(bounded_list(value, len(decoders))) != len(decoders):
        raise ValueError(f"not a list of length {len(decoders)}")
    return [decode(each) for decode, each in zip(decoders, value)]
