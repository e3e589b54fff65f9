"""Messages between routers and agents, protocol version 1.

Every message is a plain class with slots; :mod:`boragetrail.wire.codec`
turns it into a CBOR array of its code and its fields in order.
"""

import dataclasses

__all__ = [
    "PROTOCOL_VERSION",
    "Hello",
    "Dispatch",
    "Accept",
    "Refuse",
    "Start",
    "Data",
    "Heartbeat",
    "End",
    "Fail",
    "Cancel",
    "Credit",
    "Attach",
    "Query",
    "Outcome",
    "Loads",
    "Changes",
    "EngineOrder",
    "EngineOrderResult",
    "KvFetch",
    "KvBlock",
    "MESSAGES_BY_CODE",
]

PROTOCOL_VERSION = 1

slots_dataclass = dataclasses.dataclass(slots=True)


@slots_dataclass
class Hello:
    """Open a connection; both ends send it first."""

    protocol: int
    name: str
    incarnation: str
    service: str
    zone: str
    version: int
    uptime_ms: int


@slots_dataclass
class Dispatch:
    """Ask one incarnation of an agent to run a request.

    A repeated dispatch of an attempt that the agent knows attaches to it.
    ``order_id`` is empty for idempotent work. ``deadline_ms`` is the time
    left. ``last_choice`` says that no other server is left to try, so that
    the request may wait for a cold one. ``loads`` holds load entries that
    the router has learned.
    ``order_time_ms`` is the time in a ticket, or -1. ``row_key`` names the
    row of the table service that the agent completes, if any.
    """

    attempt_id: str
    incarnation: str
    customer: str
    method: str
    path: str
    headers: list
    body: bytes
    deadline_ms: int
    priority: int
    order_id: str
    order_digest: bytes
    order_time_ms: int
    row_key: str
    row_version: int
    chat_id: str
    kv_source: str
    resume_events: int
    last_choice: bool
    version: int
    loads: list


@slots_dataclass
class Accept:
    """Say that the agent took responsibility for an attempt."""

    attempt_id: str
    version: int
    loads: list


@slots_dataclass
class Refuse:
    """Say that an attempt was not admitted, or that it is not known."""

    attempt_id: str
    reason: str
    ran: str
    detail: str
    retry_after_ms: int
    version: int
    loads: list


@slots_dataclass
class Start:
    """Give the status and header fields of an answer."""

    attempt_id: str
    status: int
    headers: list


@slots_dataclass
class Data:
    """Give bytes of an answer from an offset on.

    ``events`` counts the complete server-sent events up to the end of this
    payload, so that a router can resume a stream without parsing it.
    """

    attempt_id: str
    offset: int
    payload: bytes
    events: int


@slots_dataclass
class Heartbeat:
    """Say that the agent still works on the attempts of a connection."""

    time_ms: int


@slots_dataclass
class End:
    """End an answer with its length and xxh3 digest."""

    attempt_id: str
    length: int
    digest: int


@slots_dataclass
class Fail:
    """End an attempt without a whole answer."""

    attempt_id: str
    reason: str
    ran: str
    detail: str


@slots_dataclass
class Cancel:
    """Stop idempotent work whose caller is gone."""

    attempt_id: str


@slots_dataclass
class Credit:
    """Acknowledge an answer up to an offset and move its window."""

    attempt_id: str
    offset: int


@slots_dataclass
class Attach:
    """Continue an answer at an offset on this connection.

    An agent that does not know the attempt leaves a tombstone for it, so
    that its refusal "not run" stays true.
    """

    attempt_id: str
    incarnation: str
    order_id: str
    offset: int


@slots_dataclass
class Query:
    """Ask for an order's state and leave it as it is.

    The state ``none`` says that the agent has not seen the order so far,
    and no more: only an :class:`Attach` makes sure that it will not run.
    """

    query_id: str
    incarnation: str
    order_id: str


@slots_dataclass
class Outcome:
    """Answer a query."""

    query_id: str
    incarnation: str
    state: str
    status: int


@slots_dataclass
class Loads:
    """Tell load entries of a service without being asked."""

    loads: list
    version: int


@slots_dataclass
class Changes:
    """Carry changes of configuration in order of their versions."""

    changes: list


@slots_dataclass
class EngineOrder:
    """Order an engine to load a model, an adapter or a version."""

    order_id: str
    incarnation: str
    fencing: int
    action: str
    arguments: dict


@slots_dataclass
class EngineOrderResult:
    """Answer an engine order."""

    order_id: str
    reason: str
    detail: str


@slots_dataclass
class KvFetch:
    """Ask an agent for the KV cache of a chat."""

    chat_id: str


@slots_dataclass
class KvBlock:
    """Carry the exported KV cache of a chat; empty if there is none."""

    chat_id: str
    payload: bytes


MESSAGES_BY_CODE = {
    1: Hello,
    2: Dispatch,
    3: Accept,
    4: Refuse,
    5: Start,
    6: Data,
    7: Heartbeat,
    8: End,
    9: Fail,
    10: Cancel,
    11: Credit,
    12: Attach,
    13: Query,
    14: Outcome,
    15: Loads,
    16: Changes,
    17: EngineOrder,
    18: EngineOrderResult,
    19: KvFetch,
    20: KvBlock,
}
