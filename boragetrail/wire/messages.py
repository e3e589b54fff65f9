"""Messages between routers and agents, protocol version 1.

:mod:`boragetrail.wire.codec` encodes a message as a CBOR array of its code
and its fields in order.
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
    """Introduce a process; first message of both ends of a connection.

    :ivar protocol: version of the protocol
    :ivar version: version of the configuration
    :ivar uptime_ms: time since an agent's incarnation began
    """

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

    A duplicate dispatch of an attempt attaches to it.

    :ivar deadline_ms: time left until the deadline
    :ivar order_id: id under which an order runs at most once; empty for
        idempotent requests
    :ivar order_digest: digest of an order's request
    :ivar order_time_ms: agent uptime in the caller's ticket, or -1
    :ivar row_key: row of the table service that receives the outcome, or
        empty
    :ivar row_version: version of that row
    :ivar kv_source: server to copy the chat's KV cache from, or empty
    :ivar resume_events: number of events that the caller already has
    :ivar last_choice: whether no other server is left to try, so that the
        request may wait for a cold one
    :ivar version: version of the router's configuration
    :ivar loads: load entries that the router has learned
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
    """Acknowledge that the agent has admitted an attempt."""

    attempt_id: str
    version: int
    loads: list


@slots_dataclass
class Refuse:
    """Refuse an attempt that is not admitted or not known.

    :ivar reason: reason code
    :ivar ran: whether it was executed: ``no``, ``unknown`` or ``yes``
    """

    attempt_id: str
    reason: str
    ran: str
    detail: str
    retry_after_ms: int
    version: int
    loads: list


@slots_dataclass
class Start:
    """Hold the status and header fields of an answer."""

    attempt_id: str
    status: int
    headers: list


@slots_dataclass
class Data:
    """Hold bytes of an answer from an offset on.

    :ivar events: number of complete server-sent events up to the end of the
        payload, or -1 if it may end within an event; lets a router resume a
        stream without parsing it
    """

    attempt_id: str
    offset: int
    payload: bytes
    events: int


@slots_dataclass
class Heartbeat:
    """Report that the agent still works on the attempts of a connection."""

    time_ms: int


@slots_dataclass
class End:
    """End an answer with its length and xxh3 digest."""

    attempt_id: str
    length: int
    digest: int


@slots_dataclass
class Fail:
    """End an attempt without a complete answer."""

    attempt_id: str
    reason: str
    ran: str
    detail: str


@slots_dataclass
class Cancel:
    """Cancel an idempotent attempt whose answer is no longer needed."""

    attempt_id: str


@slots_dataclass
class Credit:
    """Acknowledge an answer up to an offset, which moves its window."""

    attempt_id: str
    offset: int


@slots_dataclass
class Attach:
    """Continue an answer at an offset on this connection.

    An agent that does not know the attempt records a tombstone, so that a
    delayed dispatch cannot run after the agent reported "not executed".
    """

    attempt_id: str
    incarnation: str
    order_id: str
    offset: int


@slots_dataclass
class Query:
    """Ask for the state of an order without changing it.

    The state ``none`` means that the agent has not seen the order yet. It may
    still run later: only an :class:`Attach` prevents that.
    """

    query_id: str
    incarnation: str
    order_id: str


@slots_dataclass
class Outcome:
    """Answer a :class:`Query`."""

    query_id: str
    incarnation: str
    state: str
    status: int


@slots_dataclass
class Loads:
    """Hold load entries of a service that were not requested."""

    loads: list
    version: int


@slots_dataclass
class Changes:
    """Hold changes of the configuration in order of their versions."""

    changes: list


@slots_dataclass
class EngineOrder:
    """Ask an engine to load a model, an adapter or a version.

    :ivar fencing: fencing token of the lease
    """

    order_id: str
    incarnation: str
    fencing: int
    action: str
    arguments: dict


@slots_dataclass
class EngineOrderResult:
    """Answer an :class:`EngineOrder`; ``reason`` is empty on success."""

    order_id: str
    reason: str
    detail: str


@slots_dataclass
class KvFetch:
    """Request the KV cache of a chat from an agent."""

    chat_id: str


@slots_dataclass
class KvBlock:
    """Hold the exported KV cache of a chat; empty if there is none."""

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
