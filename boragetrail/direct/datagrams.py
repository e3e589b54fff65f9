"""Codec of the gossip datagrams that routers exchange.

Bytes from the network are decoded into typed, bounded values. A datagram with
one invalid field is rejected as a whole.
"""

import dataclasses

import cbor2

from boragetrail.direct import checks
from boragetrail.direct.recordmessages import (
    RecordMessage,
    check_kind,
    check_lists,
)
from boragetrail.direct.counts import pack_counts, unpack_counts
from boragetrail.direct.relayedshards import pack_shards, unpack_shards

__all__ = [
    "InvalidDatagram",
    "Digest",
    "Update",
    "decode_datagram",
    "encode_datagram",
]

MAX_DATAGRAM_BYTES = 8 * 1024
MAX_REPORT_AGE_MS = 60_000
MAX_LINK_MBPS = 1e7
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
    :param peers: addresses of some other routers from which the sender has
        just heard, as [host, port]
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
    """Encode a message as bytes."""
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
    """Decode a message.

    :param data: bytes from the network
    :returns: :class:`Digest`, :class:`Update`,
        :class:`~boragetrail.direct.recordmessages.RecordMessage` or
        :class:`InvalidDatagram`
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
    for message_type in (Digest, Update, RecordMessage):
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
    return {
        checks.text(key): checks.version(each) for key, each in value.items()
    }


def _store(value):
    if not isinstance(value, dict) or len(value) > MAX_TABLES:
        raise ValueError(f"not ages of at most {MAX_TABLES} tables")
    return {
        checks.text(key): checks.fixed_list(
            each, checks.integer, checks.integer
        )
        for key, each in value.items()
    }


def _placements(value):
    placements = checks.bounded_list(value, MAX_PLACEMENTS)
    return [
        checks.fixed_list(each, checks.text, checks.text)
        for each in placements
    ]


def _peers(value):
    return [
        checks.fixed_list(each, checks.host, checks.port)
        for each in checks.bounded_list(value, MAX_PEERS)
    ]


def _relayed(value):
    if not isinstance(value, bytes):
        raise ValueError("not packed shards")
    relayed = unpack_shards(value)
    if len(relayed) > MAX_RELAYED_SHARDS:
        raise ValueError(f"more than {MAX_RELAYED_SHARDS} shards")
    return relayed


def _shard_index(value):
    return checks.integer(value, MAX_SHARDS - 1)


def _shard_count(value):
    return checks.integer(value, MAX_SHARDS, 1)


_COUNT_FIELDS = frozenset(("work", "outcomes", "reports"))
_DECODERS_BY_FIELD = {
    "incarnation": checks.incarnation,
    "sequence": checks.integer,
    "gossip_port": checks.port,
    "relay_port": checks.port,
    "versions_by_table": _versions,
    "shard_index": _shard_index,
    "shard_count": _shard_count,
    "work": _counts,
    "outcomes": _counts,
    "reports": _reports,
    "relayed": _relayed,
    "placements": _placements,
    "store": _store,
    "store_unreachable": checks.flag,
    "uptime_s": checks.real,
    "link_mbps": lambda value: checks.real(value, MAX_LINK_MBPS),
    "peers": _peers,
    "leaving": checks.flag,
    "wants_reply": checks.flag,
    "kind": check_kind,
    "lists_by_type": check_lists,
}
