"""Validity of the heads of HTTP responses.

The parser of ``aiohttp`` is lenient with responses. What it lets through is
no response to a caller, and no answer to a query: neither its status nor the
end of its body can be relied on. There is one rule for all of them,
:func:`head_error`.

.. [1] R. Fielding et al., "HTTP Semantics", RFC 9110, 2022, sections 5 and 15.
.. [2] R. Fielding et al., "HTTP/1.1", RFC 9112, 2022, section 6.1.
"""

import re

__all__ = ["HeadBytes", "head_error"]

MIN_STATUS = 100
MAX_STATUS = 599
# No request asks for another protocol.
SWITCHING_PROTOCOLS = 101
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Of the control bytes a value may hold the tab only.
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
CODING_FIELD = b"transfer-encoding"
# No request accepts another coding. The parser undoes this one.
CHUNKED = b"chunked"
# A line that begins with a blank continues the line before it.
CONTINUED_LINE = re.compile(rb"\n[ \t]")
HEAD_END = re.compile(rb"\n\r?\n")
LINE_ENDS = b"\r\n"


class HeadBytes:
    """Hold the bytes of a connection up to the end of the next head.

    The parser joins a line that begins with a blank to the line before it, or
    drops the blank after the status line, so that its result does not show
    such a line.
    """

    __slots__ = ("received",)

    def __init__(self):
        self.received = bytearray()

    def add(self, data):
        """Add bytes that were received."""
        self.received += data

    def take_head(self):
        """Remove the next head, which has arrived, and return it as bytes."""
        self.received = self.received.lstrip(LINE_ENDS)
        end = HEAD_END.search(self.received)
        size = end.end() if end else len(self.received)
        head = bytes(self.received[:size])
        del self.received[:size]
        return head

    def clear(self):
        """Remove all bytes."""
        self.received.clear()


def head_error(status, raw_headers, head=b""):
    r"""Return why the head of a response is invalid [1]_, [2]_.

    :param status: status code
    :param raw_headers: sequence of (name, value) as bytes
    :param head: bytes of the head as they were received, if they are known
    :returns: text, empty if the head is valid

    >>> head_error(200, [(b"Content-Length", b"4")])
    ''
    >>> head_error(0, [])
    'status 0 is not one of HTTP'
    >>> head_error(200, [(b"Content-Length ", b"4")])
    "a field's name is not a token"
    >>> head_error(200, [(b"Content-Type", b"text\x7f")])
    "a field's value holds a control byte"
    >>> head_error(200, [(b"Transfer-Encoding", b"gzip")])
    'a transfer coding other than chunked'
    >>> head_error(200, [(b"Date", b"1")], b"HTTP/1.1 200 OK\r\n Date: 1")
    'a line begins with a blank'
    """
    return (
        _status_error(status)
        or _line_error(head)
        or _fields_error(raw_headers)
        or _coding_error(raw_headers)
    )


def _status_error(status):
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status} is not one of HTTP"
    if status == SWITCHING_PROTOCOLS:
        return "a switch of protocols that was not asked for"
    return ""


def _line_error(head):
    if CONTINUED_LINE.search(head):
        return "a line begins with a blank"
    return ""


def _fields_error(raw_headers):
    for name, value in raw_headers:
        if not TOKEN.fullmatch(name):
            return "a field's name is not a token"
        if CONTROL_BYTES.search(value):
            return "a field's value holds a control byte"
    return ""


def _coding_error(raw_headers):
    codings = [
        value.strip().lower()
        for name, value in raw_headers
        if name.lower() == CODING_FIELD
    ]
    if codings and codings != [CHUNKED]:
        return "a transfer coding other than chunked"
    return ""
