"""Validity of the heads of HTTP responses.

The parser of ``aiohttp`` is lenient with responses. What it lets through is
no response to a caller, and no answer to a query: neither its status nor the
end of its body can be relied on.

.. [1] R. Fielding et al., "HTTP Semantics", RFC 9110, 2022, sections 5 and 15.
.. [2] R. Fielding et al., "HTTP/1.1", RFC 9112, 2022, section 6.1.
"""

import re

__all__ = ["head_error"]

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


def head_error(status, raw_headers):
    """Return why the head of a response is invalid [1]_, [2]_.

    :param status: status code
    :param raw_headers: sequence of (name, value) as bytes
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
    """
    return (
        _status_error(status)
        or _fields_error(raw_headers)
        or _coding_error(raw_headers)
    )


def _status_error(status):
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status} is not one of HTTP"
    if status == SWITCHING_PROTOCOLS:
        return "a switch of protocols that was not asked for"
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
