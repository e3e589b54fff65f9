"""Gossip datagrams between routers and agents.

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
    """Hold a summary of what a process knows.

    :ivar version: version of its configuration
    :ivar store_age_ms: time since the table service was last reached,
        directly or through peers, or -1 if it never was
    :ivar ages_ms_by_zone: time since each zone was last reached; zones that
        expired are left out
    :ivar leaving: whether the process is about to stop
    :ivar wants_reply: whether the receiver should send its own digest
    :ivar loads: load entries
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
    """Hold changes of the configuration in order of their versions."""

    name: str
    changes: list


@slots_dataclass
class SnapshotOffer:
    """Offer the whole configuration document to a peer that is behind.

    :ivar version: version of the document
    :ivar admin: address of the administration port that serves it
    """

    version: int
    admin: str


@slots_dataclass
class LoadUpdate:
    """Hold an agent's own load entry for other agents of its service."""

    load: list


_CLASSES_BY_CODE = {1: Digest, 2: NewChanges, 3: SnapshotOffer, 4: LoadUpdate}
_CODES_BY_CLASS = {cls: code for code, cls in _CLASSES_BY_CODE.items()}


def encode_datagram(message):
    """Encode a datagram and return its bytes."""
    cls = type(message)
    values = [getattr(message, name) for name in cls.__slots__]
    return cbor2.dumps([_CODES_BY_CLASS[cls], *values])


def decode_datagram(data):
    """Decode a datagram.

    :returns: datagram, or :class:`LinkFailure` if malformed
    """
    try:
        code, *fields = cbor2.loads(data)
        return _CLASSES_BY_CODE[code](*fields)
    except (ValueError, TypeError, KeyError, cbor2.CBORDecodeError) as exc:
        detail = f"malformed datagram: {exc!r}"
        return LinkFailure(Reason.PROTOCOL, detail)


def is_digest(message):
    """Return whether a datagram is a digest."""
    return isinstance(message, Digest)
