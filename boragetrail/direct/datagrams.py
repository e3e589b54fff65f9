"""The datagrams by which a router tells others what it knows.

Bytes from the network become typed, bounded values or one refusal; nothing
is taken over from a datagram that can be read in part only.
"""

import dataclasses
import ipaddress
import math
import re

import cbor2

from boragetrail.direct.counts import pack_counts, unpack_counts
from boragetrail.direct.relayedshards import pack_shards, unpack_shards

__all__ = [
    "DatagramRefusal",
    "Digest",
    "Update",
    "decode_datagram",
    "encode_datagram",
]

INCARNATION = re.compile("[0-9a-f]{16}")
MAX_DATAGRAM_BYTES = 8 * 1024
MAX_TEXT_LENGTH = 200
MAX_NUMBER = 2**62
MAX_AGE_MS = 60_000
MAX_SECONDS = 1e9
MAX_MBPS = 1e7
MAX_PORT = 65535
# Longest lists of a datagram.
MAX_PLACEMENTS = 200
MAX_PEERS = 64
MAX_RELAYED = 16
MAX_TABLES = 16
MAX_SHARDS = 64


@dataclasses.dataclass(slots=True)
class DatagramRefusal:
    """Say why a datagram is not taken over.

    :param detail: text that names the field
    """

    detail: str


@dataclasses.dataclass(slots=True)
class Digest:
    """Tell what a router knows.

    :param incarnation: id of this run of the router
    :param sequence: number of the datagram within the run
    :param gossip_port: port that it gets datagrams at
    :param relay_port: port that it gives rows at
    :param versions_by_table: version of the newest row of each table
    :param part: which row of its work this is, from 0
    :param parts: number of rows that hold all of its work
    :param work: (server key, requests in flight, pending tokens) of each
        server of the row at which it has work
    :param outcomes: (server key, failures, answers) of servers that it
        lately used
    :param reports: (server key, requests, age in ms) of what servers lately
        said of their load
    :param store: (age in ms, steady time in ms) of each table of the store
        that was heard by any router, as
        :class:`~boragetrail.direct.liveness.StoreHearing` tells
    :param turned_away: whether the store does not answer this router
    :param up_s: seconds since it started
    :param link_mbps: speed of its link in megabits a second
    :param peers: addresses of some other routers, as [host, port]
    :param leaving: whether it stops
    :param wants_reply: whether the receiver should tell the same at once
    """

    incarnation: str
    sequence: int
    gossip_port: int
    relay_port: int
    versions_by_table: dict
    part: int
    parts: int
    work: list
    outcomes: list
    reports: list
    store: dict
    turned_away: bool
    up_s: float
    link_mbps: float
    peers: list
    leaving: bool
    wants_reply: bool


@dataclasses.dataclass(slots=True)
class Update:
    """Tell the work of a router, and what else is new, to some others.

    :param incarnation: id of this run of the router
    :param sequence: number of the datagram within the run, digests included
    :param gossip_port: port that it gets datagrams at
    :param versions_by_table: as in a :class:`Digest`
    :param store: as in a digest
    :param part: as in a digest
    :param parts: as in a digest
    :param work: as in a digest
    :param relayed: :class:`~boragetrail.direct.relayedshards.RelayedRow` of
        some other routers
    :param reports: as in a digest, but only what it heard itself
    :param placements: new places of parts of prompts, as
        [part, server id]
    """

    incarnation: str
    sequence: int
    gossip_port: int
    versions_by_table: dict
    store: dict
    part: int
    parts: int
    work: list
    relayed: list
    reports: list
    placements: list


def encode_datagram(message):
    """Return a :class:`Digest` or :class:`News` as bytes."""
    fields = []
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if field.name in _PACKED:
            value = pack_counts(value)
        elif field.name == "relayed":
            value = pack_shards(value)
        fields.append(value)
    return cbor2.dumps(fields)


def decode_datagram(data):
    """Return a digest or news, or a :class:`DatagramRefusal`."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return DatagramRefusal(f"{len(data)} bytes are too many")
    try:
        values = cbor2.loads(data)
    except Exception as exc:
        # Readers of tagged values raise errors of many kinds.
        return DatagramRefusal(f"no CBOR: {exc!r}")
    if not isinstance(values, list):
        return DatagramRefusal("no list of fields")
    for kind in (Digest, Update):
        if len(values) == len(kind.__slots__):
            return _decode(kind, values)
    return DatagramRefusal(f"{len(values)} fields")


def _decode(kind, values):
    fields = []
    for name, value in zip(kind.__slots__, values):
        try:
            fields.append(_READERS_BY_FIELD[name](value))
        except ValueError as exc:
            return DatagramRefusal(f"{name}: {exc}")
    return kind(*fields)


def _text(value):
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError("no text or too long")
    return value


def _incarnation(value):
    if not INCARNATION.fullmatch(_text(value)):
        raise ValueError("no incarnation of a router")
    return value


def _number(value, most=MAX_NUMBER, least=0):
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"no whole number from {least} to {most}")
    return value


def _version(value):
    return _number(value, least=-1)


def _port(value):
    return _number(value, MAX_PORT, 1)


def _real(value, most=MAX_SECONDS):
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError("no finite number")
    if not 0 <= value <= most:
        raise ValueError(f"no number from 0 to {most}")
    return value


def _flag(value):
    if type(value) is not bool:
        raise ValueError("neither true nor false")
    return value


def _host(value):
    return str(ipaddress.IPv4Address(_text(value)))


def _list(value, most):
    if not isinstance(value, list) or len(value) > most:
        raise ValueError(f"no list of up to {most}")
    return value


def _tuple(value, *readers):
    if len(_list(value, len(readers))) != len(readers):
        raise ValueError(f"no list of {len(readers)}")
    return [read(each) for read, each in zip(readers, value)]


def _entries(value):
    if not isinstance(value, bytes):
        raise ValueError("no bytes of entries")
    return unpack_counts(value)


def _reports(value):
    entries = _entries(value)
    if any(age_ms > MAX_AGE_MS for _, _, age_ms in entries):
        raise ValueError(f"an age over {MAX_AGE_MS} ms")
    return entries


def _versions(value):
    if not isinstance(value, dict) or len(value) > MAX_TABLES:
        raise ValueError(f"no versions of up to {MAX_TABLES} tables")
    return {_text(key): _version(each) for key, each in value.items()}


def _store(value):
    if not isinstance(value, dict) or len(value) > MAX_TABLES:
        raise ValueError(f"no ages of up to {MAX_TABLES} tables")
    return {
        _text(key): _tuple(each, _number, _number)
        for key, each in value.items()
    }


def _placements(value):
    placements = _list(value, MAX_PLACEMENTS)
    return [_tuple(each, _text, _text) for each in placements]


def _peers(value):
    return [_tuple(each, _host, _port) for each in _list(value, MAX_PEERS)]


def _relayed(value):
    if not isinstance(value, bytes):
        raise ValueError("no bytes of rows")
    rows = unpack_shards(value)
    if len(rows) > MAX_RELAYED:
        raise ValueError(f"more than {MAX_RELAYED} rows")
    return rows


def _part(value):
    return _number(value, MAX_SHARDS - 1)


def _parts(value):
    return _number(value, MAX_SHARDS, 1)


_PACKED = frozenset(("work", "outcomes", "reports"))
_READERS_BY_FIELD = {
    "incarnation": _incarnation,
    "sequence": _number,
    "gossip_port": _port,
    "relay_port": _port,
    "versions_by_table": _versions,
    "part": _part,
    "parts": _parts,
    "work": _entries,
    "outcomes": _entries,
    "reports": _reports,
    "relayed": _relayed,
    "placements": _placements,
    "store": _store,
    "turned_away": _flag,
    "up_s": _real,
    "link_mbps": lambda value: _real(value, MAX_MBPS),
    "peers": _peers,
    "leaving": _flag,
    "wants_reply": _flag,
}
