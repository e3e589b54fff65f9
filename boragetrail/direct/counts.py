"""Counts of many servers as few bytes.

A server is named by a hash of its id. Receivers look up counts of servers
that they know, so entries of others take part in nothing.
"""

import functools
import struct

import xxhash

__all__ = ["pack_counts", "server_key", "unpack_counts"]

# Key of a server and two counts; the second one may be large.
ENTRY = struct.Struct("<IHI")
MOST_FIRST = 0xFFFF
MOST_SECOND = 0xFFFFFFFF


@functools.lru_cache(maxsize=4096)
def server_key(server_id):
    """Return the number that names a server in datagrams.

    :param server_id: its id as text
    """
    return xxhash.xxh32_intdigest(server_id.encode())


def pack_counts(entries):
    """Return entries as bytes; counts that are too large are cut.

    :param entries: (server key, first count, second count) each

    >>> unpack_counts(pack_counts([(7, 2, 900), (9, 70000, 0)]))
    [(7, 2, 900), (9, 65535, 0)]
    """
    return b"".join(
        ENTRY.pack(key, min(first, MOST_FIRST), min(second, MOST_SECOND))
        for key, first, second in entries
    )


def unpack_counts(data):
    """Return a list of entries.

    :raises ValueError: if the bytes are no whole number of entries
    """
    if len(data) % ENTRY.size:
        raise ValueError(f"{len(data)} bytes of entries of {ENTRY.size}")
    return list(ENTRY.iter_unpack(data))
