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
    """Describe the sender; first message of both ends of a connection.

    :ivar protocol: version of the protocol
    :ivar service: service of an agent, or empty for a router
    :ivar version: version of the sender's configuration
    :ivar uptime_ms: time since an agent's incarnation began; the value of a
        router is not used
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
    """Request that one incarnation of an agent runs a request.

    For a duplicate dispatch, the agent sends the answer of the existing
    attempt.

    :ivar deadline_ms: time left until the deadline
    :ivar order_id: id under which an order runs at most once; empty for
        idempotent requests
    :ivar order_digest: digest of an order's request; empty for idempotent
        requests
    :ivar order_time_ms: uptime of the agent when the order's ticket was
        issued, or -1 without a ticket
    :ivar row_key: row of the table service that receives the outcome, or
        empty
    :ivar row_version: version of that row
    :ivar kv_source: server to copy the chat's KV cache from, or empty
    :ivar resume_events: number of events that the caller has already
        received
    :ivar last_choice: whether every server has already been tried, so that
        the request may wait at a server that is cold
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
    """Report that the agent has admitted an attempt.

    :ivar version: version of the agent's configuration
    :ivar loads: load entries that the agent has learned
    """

    attempt_id: str
    version: int
    loads: list


@slots_dataclass
class Refuse:
    """Refuse an attempt that is not admitted or not known.

    :ivar reason: reason code
    :ivar ran: whether the request was executed: ``no``, ``unknown`` or
        ``yes``
    :ivar version: version of the agent's configuration
    :ivar loads: load entries that the agent has learned
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
    """Hold a part of an answer's body.

    :ivar offset: offset of the payload in the body
    :ivar events: number of complete server-sent events up to the end of the
        payload, or -1 if the payload may end within an event; with this
        number a router can resume a stream without parsing the stream
    """

    attempt_id: str
    offset: int
    payload: bytes
    events: int


@slots_dataclass
class Heartbeat:
    """Report that the agent still works on the attempts of a connection.

    :ivar time_ms: monotonic time of the agent
    """

    time_ms: int


@slots_dataclass
class End:
    """End a complete answer.

    :ivar length: number of bytes of the body
    :ivar digest: 64-bit xxh3 hash of the body
    """

    attempt_id: str
    length: int
    digest: int


@slots_dataclass
class Fail:
    """End an attempt without a complete answer.

    :ivar reason: reason code
    :ivar ran: whether the request was executed: ``no``, ``unknown`` or
        ``yes``
    """

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
    """Acknowledge the bytes of an answer up to an offset.

    The agent may then send further bytes, up to the size of the window.
    """

    attempt_id: str
    offset: int


@slots_dataclass
class Attach:
    """Request the rest of an answer on this connection.

    An agent that does not know the attempt records a tombstone, so that a
    delayed dispatch cannot run after the agent reported "not executed".

    :ivar order_id: id of the order, or empty for an idempotent request
    :ivar offset: number of bytes that the router has already received
    """

    attempt_id: str
    incarnation: str
    order_id: str
    offset: int


@slots_dataclass
class Query:
    """Request the state of an order without changing the state.

    The state ``none`` means that the agent has not received the order. A
    delayed dispatch may still arrive and run the order; only an
    :class:`Attach` prevents this.
    """

    query_id: str
    incarnation: str
    order_id: str


@slots_dataclass
class Outcome:
    """Report the current state of an order in reply to a :class:`Query`.

    :ivar incarnation: incarnation of the agent that replies
    :ivar state: state of the order, or ``none``
    :ivar status: HTTP status of the answer, or 0
    """

    query_id: str
    incarnation: str
    state: str
    status: int


@slots_dataclass
class Loads:
    """Hold unsolicited load entries of servers.

    No process sends this message; load entries are sent in
    :class:`Accept`, :class:`Refuse` and in gossip datagrams.

    :ivar version: version of the sender's configuration
    """

    loads: list
    version: int


@slots_dataclass
class Changes:
    """Hold changes of the configuration in order of their versions.

    No process sends this message; changes are sent as
    :class:`~boragetrail.wire.datagrams.NewChanges`.
    """

    changes: list


@slots_dataclass
class EngineOrder:
    """Instruct an engine to load a model, an adapter or a model version.

    :ivar incarnation: the only incarnation of the agent that may run the
        order
    :ivar fencing: fencing token of the router's lease on the service
    :ivar action: last part of the engine's path ``/orders/ACTION``
    :ivar arguments: JSON object that is posted to that path
    """

    order_id: str
    incarnation: str
    fencing: int
    action: str
    arguments: dict


@slots_dataclass
class EngineOrderResult:
    """Report the result of an :class:`EngineOrder`.

    :ivar reason: reason code of the failure, or empty on success
    """

    order_id: str
    reason: str
    detail: str


@slots_dataclass
class KvFetch:
    """Request the KV cache of a chat from an agent."""

    chat_id: str


@slots_dataclass
class KvBlock:
    """Hold the exported KV cache of a chat.

    :ivar payload: encoded cache, or empty if the agent exported none
    """

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
