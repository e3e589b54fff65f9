"""Gossip datagrams between routers and agents.

A datagram is encoded as a CBOR array of its code and its fields in order.
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
    """Summarize the state of a process; sent to peers as gossip.

    :ivar version: version of the process's configuration
    :ivar store_age_ms: age of the latest known read of the table service, by
        this process or by a peer, or -1 if no read is known
    :ivar ages_ms_by_zone: for each zone, time since a process of the zone
        last reported the state of its configuration by a digest, as far as
        the sender knows; zones whose report is too old to count are omitted
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
    """Hold changes of the configuration in order of their versions.

    :ivar name: name of the sender
    """

    name: str
    changes: list


@slots_dataclass
class SnapshotOffer:
    """Offer the whole configuration document to a peer with an older one.

    :ivar version: version of the document
    :ivar admin: address of the administration port that serves the document
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
    """Return the encoded bytes of a datagram."""
    cls = type(message)
    values = [getattr(message, name) for name in cls.__slots__]
    return cbor2.dumps([_CODES_BY_CLASS[cls], *values])


def decode_datagram(data):
    """Decode a datagram.

    :returns: datagram, or :class:`LinkFailure` if the data is malformed
    """
    try:
        code, *fields = cbor2.loads(data)
        return _CLASSES_BY_CODE[code](*fields)
    except (ValueError, TypeError, KeyError, cbor2.CBORDecodeError) as exc:
        detail = f"malformed datagram: {exc!r}"
        return LinkFailure(Reason.PROTOCOL, detail)


def is_digest(message):
    """Return whether a datagram is a :class:`Digest`."""
    return isinstance(message, Digest)
