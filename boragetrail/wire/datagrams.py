"""Datagrams that all processes exchange as gossip.

A datagram is a CBOR array of its code and its fields in order.
"""

import dataclasses

import cbor2

from boragetrail.errors import LinkFailure
from boragetrail.reasons import Reason

__all__ = [
    "Digest",
    "NewChanges",
    "SnapshotOffer",
    "LoadUpdate",
    "encode_datagram",
    "decode_datagram",
    "is_digest",
]

slots_dataclass = dataclasses.dataclass(slots=True)


@slots_dataclass
class Digest:
    """Tell what a process knows; ``wants_reply`` asks for the same.

    ``store_age_ms`` is -1 if nothing was heard from the store.
    ``ages_ms_by_zone`` holds the zones whose news still counts.
    """

    name: str
    incarnation: str
    role: str
    service: str
    zone: str
    version: int
    store_age_ms: int
    ages_ms_by_zone: dict
    leaving: bool
    wants_reply: bool
    loads: list


@slots_dataclass
class NewChanges:
    """Carry changes of configuration in order of their versions."""

    name: str
    changes: list


@slots_dataclass
class SnapshotOffer:
    """Say that a whole document can be fetched from a process."""

    version: int
    admin: str


@slots_dataclass
class LoadUpdate:
    """Tell an agent's own load to others of its service."""

    load: list


_CLASSES_BY_CODE = {1: Digest, 2: NewChanges, 3: SnapshotOffer, 4: LoadUpdate}
_CODES_BY_CLASS = {cls: code for code, cls in _CLASSES_BY_CODE.items()}


def encode_datagram(message):
    """Encode a datagram."""
    cls = type(message)
    values = [getattr(message, name) for name in cls.__slots__]
    return cbor2.dumps([_CODES_BY_CLASS[cls], *values])


def decode_datagram(data):
    """Decode a datagram; returns :class:`LinkFailure` if malformed."""
    try:
        code, *fields = cbor2.loads(data)
        return _CLASSES_BY_CODE[code](*fields)
    except (ValueError, TypeError, KeyError, cbor2.CBORDecodeError) as exc:
        detail = f"datagram cannot be read: {exc!r}"
        return LinkFailure(Reason.PROTOCOL, detail)


def is_digest(message):
    """Return whether a datagram is a digest."""
    return isinstance(message, Digest)
