"""Strict parsing of numbers in header fields."""

__all__ = ["parse_number"]

MAX_DIGITS = 9


def parse_number(text, maximum):
    """Return a number of ASCII digits, or ``None`` if it is none.

    ``str.isdigit`` accepts characters that ``int`` refuses, and ``int``
    refuses very long numbers.

    :param text: text, spaces around it are allowed
    :param maximum: largest number that is accepted

    >>> parse_number(" 12", 100)
    12
    >>> [parse_number(each, 100) for each in ("", "-1", "²", "101", "1_0")]
    [None, None, None, None, None]
    """
    text = text.strip(" \t")
    if not 0 < len(text) <= MAX_DIGITS:
        return None
    if not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return number if number <= maximum else None
