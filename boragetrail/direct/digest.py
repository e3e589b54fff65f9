"""The datagrams by which a router tells others what it knows."""

import dataclasses

import cbor2

__all__ = ["Digest", "News", "decode_datagram", "encode_datagram"]

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


@dataclasses.dataclass(slots=True)
class News:
    """Tell what has changed since a router last told news.

    :param incarnation: id of this run of the router
    :param sequence: number of the datagram within the run, digests included
    :param gossip_port: port that it gets datagrams at
    :param versions_by_table: as in a :class:`Digest`
    :param loads_by_id: as in a digest, but only what has changed; a server
        that it has no work at any more counts 0 throughout
    :param reports_by_id: as in a digest, but only what it heard itself
    :param placements: as in a digest
    """

    incarnation: str
    sequence: int
    gossip_port: int
    versions_by_table: dict
    loads_by_id: dict
    reports_by_id: dict
    placements: list


def encode_datagram(message):
    """Return a :class:`Digest` or :class:`News` as bytes."""
    names = type(message).__slots__
    return cbor2.dumps([getattr(message, name) for name in names])


def decode_datagram(data):
    """Return a digest or news, or ``None`` if the bytes can't be read."""
    if len(data) > MOST_DATAGRAM_BYTES:
        return None
    try:
        fields = cbor2.loads(data)
        is_news = len(fields) == len(News.__slots__)
        message = News(*fields) if is_news else Digest(*fields)
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        return None
    return message if _is_valid(message) else None


def _is_valid(message):
    if not (
        isinstance(message.versions_by_table, dict)
        and _are_loads(message.loads_by_id)
    ):
        return False
    return isinstance(message, News) or (
        isinstance(message.steady_s, (int, float))
        and isinstance(message.up_s, (int, float))
        and isinstance(message.link_mbps, (int, float))
    )


def _are_loads(loads_by_id):
    return isinstance(loads_by_id, dict) and all(
        isinstance(fields, list)
        and len(fields) == LOAD_FIELDS
        and all(isinstance(field, int) for field in fields)
        for fields in loads_by_id.values()
    )
