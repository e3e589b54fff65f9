"""Compact encoding of two counts for each server.

The key of a server is a hash of its id. Receivers look up the keys of servers
that they know, so counts of other servers have no effect.
"""

import functools
import struct

import xxhash

__all__ = ["pack_counts", "run_key", "server_key", "unpack_counts"]

# Server key and two counts. The second count has 32 bits, since it may be a
# number of tokens.
SERVER_COUNTS = struct.Struct("<IHI")
MAX_FIRST_COUNT = 0xFFFF
MAX_SECOND_COUNT = 0xFFFFFFFF


@functools.lru_cache(maxsize=4096)
def server_key(server_id):
    """Return the 32-bit key that identifies a server in datagrams.

    :param server_id: id of the server
    """
    return xxhash.xxh32_intdigest(server_id.encode())


def run_key(record):
    """Return the 64-bit key that identifies one run of a server.

    :param record: :class:`~boragetrail.direct.model.ServerRecord`
    """
    return _run_key(record.id, record.started_ms)


def pack_counts(counts):
    """Encode counts as bytes; a count that is too large is clamped.

    :param counts: list of (server key, first count, second count)

    >>> unpack_counts(pack_counts([(7, 2, 900), (9, 70000, 0)]))
    [(7, 2, 900), (9, 65535, 0)]
    """
    return b"".join(
        SERVER_COUNTS.pack(
            key, min(first, MAX_FIRST_COUNT), min(second, MAX_SECOND_COUNT)
        )
        for key, first, second in counts
    )


def unpack_counts(data):
    """Decode a list of (server key, first count, second count).

    :raises ValueError: if the length is not a multiple of the entry size
    """
    if len(data) % SERVER_COUNTS.size:
        raise ValueError(
            f"{len(data)} bytes are not a multiple of {SERVER_COUNTS.size}"
        )
    return list(SERVER_COUNTS.iter_unpack(data))


@functools.lru_cache(maxsize=4096)
def _run_key(server_id, started_ms):
    return xxhash.xxh64_intdigest(f"{server_id}/{started_ms}".encode())
