"""Rows of work that a router passes on for others, as few bytes."""

import dataclasses
import socket
import struct

from boragetrail.direct.counts import pack_counts, unpack_counts

__all__ = ["RelayedShard", "pack_shards", "unpack_shards"]

# Host, port, incarnation, number, age in ms, part, parts, bytes of entries.
HEAD = struct.Struct("<4sH8sIHBBH")
MAX_SEQUENCE = 0xFFFFFFFF
MAX_AGE_MS = 0xFFFF


@dataclasses.dataclass(slots=True)
class RelayedShard:
    """Pass on what another router told of its work.

    :param host: its host
    :param port: port at which it gets datagrams
    :param incarnation: id of its run, 16 hexadecimal digits
    :param sequence: number of the row within the run
    :param age_ms: time since it told the row
    :param part: which of the router's rows this is, from 0
    :param parts: number of rows that hold all of its work
    :param work: (server key, requests in flight, pending tokens) each
    """

    host: str
    port: int
    incarnation: str
    sequence: int
    age_ms: int
    part: int
    parts: int
    work: list


def pack_shards(rows):
    """Return rows as bytes.

    :param rows: list of :class:`RelayedRow`
    """
    return b"".join(_pack_row(row) for row in rows)


def unpack_shards(data):
    """Return a list of :class:`RelayedRow`.

    :raises ValueError: if the bytes are no whole rows
    """
    rows, start = [], 0
    while start < len(data):
        if start + HEAD.size > len(data):
            raise ValueError("a row without a whole head")
        fields = HEAD.unpack_from(data, start)
        start += HEAD.size
        end = start + fields[-1]
        if end > len(data) or fields[5] >= fields[6]:
            raise ValueError("a row that is cut off or has no part")
        rows.append(_unpack_row(fields, data[start:end]))
        start = end
    return rows


def _pack_row(row):
    work = pack_counts(row.work)
    head = HEAD.pack(
        socket.inet_aton(row.host),
        row.port,
        bytes.fromhex(row.incarnation),
        min(row.sequence, MAX_SEQUENCE),
        min(row.age_ms, MAX_AGE_MS),
        row.part,
        row.parts,
        len(work),
    )
    return head + work


def _unpack_row(fields, work):
    host, port, incarnation, sequence, age_ms, part, parts, _ = fields
    return RelayedShard(
        socket.inet_ntoa(host),
        port,
        incarnation.hex(),
        sequence,
        age_ms,
        part,
        parts,
        unpack_counts(work),
    )
