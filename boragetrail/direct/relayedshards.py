"""Compact encoding of shards of work that a router relays for others."""

import dataclasses
import socket
import struct

from boragetrail.direct.counts import pack_counts, unpack_counts

__all__ = ["RelayedShard", "pack_shards", "unpack_shards"]

# Host, port, incarnation, sequence number, age in ms, shard index, shard
# count, number of bytes of the counts that follow.
HEAD = struct.Struct("<4sH8sIHBBH")
MAX_SEQUENCE = 0xFFFFFFFF
MAX_AGE_MS = 0xFFFF


@dataclasses.dataclass(slots=True)
class RelayedShard:
    """Holds a shard of the work of a router, the source, for relaying.

    :param host: host of the source
    :param port: port on which the source receives datagrams
    :param incarnation: id of the source's run, 16 hexadecimal digits
    :param sequence: sequence number of the shard within the run
    :param age_ms: milliseconds since the source sent the shard
    :param shard_index: index of the shard, from 0
    :param shard_count: number of shards that hold all work of the source
    :param work: list of (server key, requests in flight, pending tokens)
    """

    host: str
    port: int
    incarnation: str
    sequence: int
    age_ms: int
    shard_index: int
    shard_count: int
    work: list


def pack_shards(shards):
    """Encode shards as bytes.

    :param shards: list of :class:`RelayedShard`
    """
    return b"".join(_pack_shard(shard) for shard in shards)


def unpack_shards(data):
    """Decode a list of :class:`RelayedShard`.

    :raises ValueError: if a shard is truncated or its index is out of range
    """
    shards, start = [], 0
    while start < len(data):
        if start + HEAD.size > len(data):
            raise ValueError("a shard with a truncated head")
        fields = HEAD.unpack_from(data, start)
        start += HEAD.size
        end = start + fields[-1]
        if end > len(data) or fields[5] >= fields[6]:
            raise ValueError("a truncated shard or an index out of range")
        shards.append(_unpack_shard(fields, data[start:end]))
        start = end
    return shards


def _pack_shard(shard):
    work = pack_counts(shard.work)
    head = HEAD.pack(
        socket.inet_aton(shard.host),
        shard.port,
        bytes.fromhex(shard.incarnation),
        min(shard.sequence, MAX_SEQUENCE),
        min(shard.age_ms, MAX_AGE_MS),
        shard.shard_index,
        shard.shard_count,
        len(work),
    )
    return head + work


def _unpack_shard(fields, work):
    host, port, incarnation, sequence, age_ms, shard_index, shard_count, _ = (
        fields
    )
    return RelayedShard(
        socket.inet_ntoa(host),
        port,
        incarnation.hex(),
        sequence,
        age_ms,
        shard_index,
        shard_count,
        unpack_counts(work),
    )
