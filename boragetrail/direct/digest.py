"""The datagram by which a router tells others what it knows."""

import dataclasses

import cbor2

__all__ = ["Digest", "decode_digest", "encode_digest"]

MOST_DATAGRAM_BYTES = 8 * 1024
LOAD_FIELDS = 4


@dataclasses.dataclass(slots=True)
class Digest:
    """Tell what a router knows.

    :param incarnation: id of this run of the router
    :param sequence: number of the datagram within the run
    :param gossip_port: port that it gets datagrams at
    :param relay_port: port that it gives rows at
    :param versions_by_table: version of the newest row of each table
    :param loads_by_id: (requests, pending tokens, failures, answers) of
        each server in use
    :param reports_by_id: what busy servers lately said of their load, as
        [requests, age in ms]
    :param placements: parts of prompts that it lately sent, as
        [part, server id]
    :param steady_s: seconds for which it has surely heard the store
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
    loads_by_id: dict
    reports_by_id: dict
    placements: list
    steady_s: float
    up_s: float
    link_mbps: float
    peers: list
    leaving: bool
    wants_reply: bool


def encode_digest(digest):
    """Return a digest as bytes."""
    names = Digest.__slots__
    return cbor2.dumps([getattr(digest, name) for name in names])


def decode_digest(data):
    """Return a digest, or ``None`` if the bytes can't be read."""
    if len(data) > MOST_DATAGRAM_BYTES:
        return None
    try:
        digest = Digest(*cbor2.loads(data))
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    is_valid = (
        isinstance(digest.versions_by_table, dict)
        and _are_loads(digest.loads_by_id)
        and isinstance(digest.steady_s, (int, float))
        and isinstance(digest.up_s, (int, float))
        and isinstance(digest.link_mbps, (int, float))
    )
    return digest if is_valid else None


def _are_loads(loads_by_id):
    return isinstance(loads_by_id, dict) and all(
        isinstance(fields, list)
        and len(fields) == LOAD_FIELDS
        and all(isinstance(field, int) for field in fields)
        for fields in loads_by_id.values()
    )
