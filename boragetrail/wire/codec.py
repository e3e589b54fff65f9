"""Codec of messages as CBOR arrays."""

import dataclasses
import operator

import cbor2

from boragetrail.errors import LinkFailure
from boragetrail.reasons import Reason
from boragetrail.wire.messages import MESSAGES_BY_CODE

__all__ = ["encode", "decode"]


def _make_field_getter(cls):
    """Return a function that returns a tuple of a message's field values."""
    names = [field.name for field in dataclasses.fields(cls)]
    if len(names) == 1:
        get = operator.attrgetter(names[0])
        return lambda message: (get(message),)
    return operator.attrgetter(*names)


_CODES_BY_CLASS = {cls: code for code, cls in MESSAGES_BY_CODE.items()}
_FIELD_GETTERS_BY_CLASS = {
    cls: _make_field_getter(cls) for cls in _CODES_BY_CLASS
}


def encode(message):
    """Encode a message.

    :param message: instance of a class in ``MESSAGES_BY_CODE``
    :returns: bytes of a websocket frame

    >>> from boragetrail.wire.messages import Cancel
    >>> decode(encode(Cancel("a.1")))
    Cancel(attempt_id='a.1')
    """
    cls = type(message)
    fields = _FIELD_GETTERS_BY_CLASS[cls](message)
    return cbor2.dumps((_CODES_BY_CLASS[cls], *fields))


def decode(frame):
    """Decode a message.

    :param frame: bytes of a websocket frame
    :returns: message, or :class:`LinkFailure` if the frame is malformed
    """
    try:
        code, *fields = cbor2.loads(frame)
        return MESSAGES_BY_CODE[code](*fields)
    except (ValueError, TypeError, KeyError, cbor2.CBORDecodeError) as exc:
        return LinkFailure(Reason.PROTOCOL, f"malformed frame: {exc!r}")
