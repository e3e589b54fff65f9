"""Codec of the gossip datagrams that routers exchange.

Bytes from the network are decoded into typed, bounded values. A datagram with
one invalid field is rejected as a whole.
"""

import dataclasses
import ipaddress
import math
import re

import cbor2

from boragetrail.direct.counts import pack_counts, unpack_counts
from boragetrail.direct.relayedshards import pack_shards, unpack_shards

__all__ = [
    "InvalidDatagram",
    "Digest",
    "Update",
    "decode_datagram",
    "encode_datagram",
]

INCARNATION_PATTERN = re.compile("[0-9a-f]{16}")
MAX_DATAGRAM_BYTES = 8 * 1024
MAX_TEXT_LENGTH = 200
# Default bound of integers; MAX_REAL is that of other numbers.
MAX_INTEGER = 2**62
MAX_REPORT_AGE_MS = 60_000
MAX_REAL = 1e9
MAX_LINK_MBPS = 1e7
MAX_PORT = 65535
# Maximum lengths of the lists and mappings in a datagram.
MAX_PLACEMENTS = 200
MAX_PEERS = 64
MAX_RELAYED_SHARDS = 16
MAX_TABLES = 16
# Maximum number of shards of one router's work.
MAX_SHARDS = 64


@dataclasses.dataclass(slots=True)
class InvalidDatagram:
    """Holds the reason why a datagram was rejected.

    :param detail: text that names the invalid field
    """

    detail: str


@dataclasses.dataclass(slots=True)
class Digest:
    """Holds the state that a router regularly sends to a few random peers.

    :param incarnation: id of the current run of the sender
    :param sequence: sequence number of the datagram within the run
    :param gossip_port: port on which the sender receives datagrams
    :param relay_port: port on which the sender serves rows
    :param versions_by_table: version of the newest row of each table
    :param shard_index: index of the shard of the sender's work, from 0
    :param shard_count: number of shards that hold all work of the sender
    :param work: (server key, requests in flight, pending tokens) of each
        server of the shard at which the sender has requests in flight
    :param outcomes: (server key, failures, responses) of recently used
        servers
    :param reports: (server key, requests, age in ms) of recent load reports
        of servers
    :param store: (age in ms, uptime in ms) of each table of the store, see
        :class:`~boragetrail.direct.liveness.StoreLiveness`
    :param store_unreachable: whether the store does not respond to the
        sender
    :param uptime_s: seconds since the sender started
    :param link_mbps: bandwidth of the sender's link in megabits per second
    :param peers: addresses of some other routers, as [host, port]
    :param leaving: whether the sender is shutting down
    :param wants_reply: whether the receiver should reply with its own
        digest at once
    """

    incarnation: str
    sequence: int
    gossip_port: int
    relay_port: int
    versions_by_table: dict
    shard_index: int
    shard_count: int
    work: list
    outcomes: list
    reports: list
    store: dict
    store_unreachable: bool
    uptime_s: float
    link_mbps: float
    peers: list
    leaving: bool
    wants_reply: bool


@dataclasses.dataclass(slots=True)
class Update:
    """Holds a router's work and what else changed since its last update.

    :param incarnation: id of the current run of the sender
    :param sequence: sequence number within the run; digests and updates
        share one sequence
    :param gossip_port: port on which the sender receives datagrams
    :param versions_by_table: as in a :class:`Digest`
    :param store: as in a digest
    :param shard_index: as in a digest
    :param shard_count: as in a digest
    :param work: as in a digest
    :param relayed: :class:`~boragetrail.direct.relayedshards.RelayedShard`
        of some other routers
    :param reports: as in a digest, but without reports that came from other
        routers
    :param placements: new placements of prompt parts, as
        [part, server id]
    """

    incarnation: str
    sequence: int
    gossip_port: int
    versions_by_table: dict
    store: dict
    shard_index: int
    shard_count: int
    work: list
    relayed: list
    reports: list
    placements: list


def encode_datagram(message):
    """Encode a :class:`Digest` or :class:`Update` as bytes."""
    fields = []
    for field in dataclasses.fields(message):
        value = getattr(message, field.name)
        if field.name in _COUNT_FIELDS:
            value = pack_counts(value)
        elif field.name == "relayed":
            value = pack_shards(value)
        fields.append(value)
    return cbor2.dumps(fields)


def decode_datagram(data):
    """Decode a digest or an update.

    :param data: bytes from the network
    :returns: :class:`Digest`, :class:`Update` or :class:`InvalidDatagram`
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        return InvalidDatagram(f"{len(data)} bytes exceed the size limit")
    try:
        values = cbor2.loads(data)
    except Exception as exc:
        # cbor2's decoders of tagged values raise exceptions of many types.
        return InvalidDatagram(f"not valid CBOR: {exc!r}")
    if not isinstance(values, list):
        return InvalidDatagram("not a list of fields")
    for message_type in (Digest, Update):
        if len(values) == len(message_type.__slots__):
            return _decode(message_type, values)
    return InvalidDatagram(f"{len(values)} fields match no message type")


def _decode(message_type, values):
    fields = []
    for name, value in zip(message_type.__slots__, values):
        try:
            fields.append(_DECODERS_BY_FIELD[name](value))
        except ValueError as exc:
            return InvalidDatagram(f"{name}: {exc}")
    return message_type(*fields)


def _text(value):
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError("not a string, empty or too long")
    return value


def _incarnation(value):
    if not INCARNATION_PATTERN.fullmatch(_text(value)):
        raise ValueError("not an incarnation of 16 hexadecimal digits")
    return value


def _integer(value, maximum=MAX_INTEGER, minimum=0):
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"not an integer from {minimum} to {maximum}")
    return value


def _version(value):
    return _integer(value, minimum=-1)


def _port(value):
    return _integer(value, MAX_PORT, 1)


def _real(value, maximum=MAX_REAL):
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError("not a finite number")
    if not 0 <= value <= maximum:
        raise ValueError(f"not a number from 0 to {maximum}")
    return value


def _flag(value):
    if type(value) is not bool:
        raise ValueError("not a boolean")
    return value


def _host(value):
    return str(ipaddress.IPv4Address(_text(value)))


def _list(value, max_length):
    if not isinstance(value, list) or len(value) > max_length:
        raise ValueError(f"not a list with a maximum length of {max_length}")
    return value


def _tuple(value, *decoders):
    if len(_list(value, len(decoders))) != len(decoders):
        raise ValueError(f"not a list of length {len(decoders)}")
    return [decode(each) for decode, each in zip(decoders, value)]


def _counts(value):
    if not isinstance(value, bytes):
        raise ValueError("not packed counts")
    return unpack_counts(value)


def _reports(value):
    counts = _counts(value)
    if any(age_ms > MAX_REPORT_AGE_MS for _, _, age_ms in counts):
        raise ValueError(f"an age of more than {MAX_REPORT_AGE_MS} ms")
    return counts


def _versions(value):
    if not isinstance(value, dict) or len(value) > MAX_TABLES:
        raise ValueError(f"not versions of at most {MAX_TABLES} tables")
    return {_text(key): _version(each) for key, each in value.items()}


def _store(value):
    if not isinstance(value, dict) or len(value) > MAX_TABLES:
        raise ValueError(f"not ages of at most {MAX_TABLES} tables")
    return {
        _text(key): _tuple(each, _integer, _integer)
        for key, each in value.items()
    }


def _placements(value):
    placements = _list(value, MAX_PLACEMENTS)
    return [_tuple(each, _text, _text) for each in placements]


def _peers(value):
    return [_tuple(each, _host, _port) for each in _list(value, MAX_PEERS)]


def _relayed(value):
    if not isinstance(value, bytes):
        raise ValueError("not packed shards")
    relayed = unpack_shards(value)
    if len(relayed) > MAX_RELAYED_SHARDS:
        raise ValueError(f"more than {MAX_RELAYED_SHARDS} shards")
    return relayed


def _shard_index(value):
    return _integer(value, MAX_SHARDS - 1)


def _shard_count(value):
    return _integer(value, MAX_SHARDS, 1)


_COUNT_FIELDS = frozenset(("work", "outcomes", "reports"))
_DECODERS_BY_FIELD = {
    "incarnation": _incarnation,
    "sequence": _integer,
    "gossip_port": _port,
    "relay_port": _port,
    "versions_by_table": _versions,
    "shard_index": _shard_index,
    "shard_count": _shard_count,
    "work": _counts,
    "outcomes": _counts,
    "reports": _reports,
    "relayed": _relayed,
    "placements": _placements,
    "store": _store,
    "store_unreachable": _flag,
    "uptime_s": _real,
    "link_mbps": lambda value: _real(value, MAX_LINK_MBPS),
    "peers": _peers,
    "leaving": _flag,
    "wants_reply": _flag,
}
