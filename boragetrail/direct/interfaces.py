"""Interfaces between the direct router and a platform.

A platform's adapter implements these classes. Test doubles and the client of
peers implement some of them too, so that the same decision code runs in all
environments.
"""

import abc
import dataclasses
import enum

__all__ = [
    "CacheContent",
    "ChangeSet",
    "EngineClient",
    "HeaderNames",
    "Row",
    "RowDecoder",
    "RowSource",
    "SourceFailure",
    "Table",
]


class Table(str, enum.Enum):
    """Name the tables that a router reads and watches."""

    OPERATORS = "operators"
    SERVERS = "servers"


@dataclasses.dataclass(slots=True)
class Row:
    """Hold one row in the platform's own encoding.

    :param version: number of the transaction that wrote the row
    :param data: encoded value, or ``None`` if the row was deleted
    """

    key: str
    version: int
    data: bytes | None


@dataclasses.dataclass(slots=True)
class ChangeSet:
    """Hold the changed rows of one table, or all its rows.

    :param rows: list of :class:`Row`
    :param version: newest version that the rows reflect
    :param is_snapshot: whether these are all rows of the table
    :param epoch: epoch of the store in which the versions were given out, or
        ``None`` if the source names none
    :param retained: rows of earlier epochs that are in force, as a list of
        :class:`~boragetrail.direct.knowledge.epochs.RetainedRow`, or ``None``
        if the source does not know
    :param retained_s: seconds for which they stay in force
    :param unreadable: (key or ``None``, error) of each row that could not be
        read; what is known of the key holds
    """

    rows: list
    version: int
    is_snapshot: bool
    epoch: int | None = None
    retained: list | None = None
    retained_s: float = 0.0
    unreadable: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SourceFailure:
    """Describe why rows could not be read.

    :param detail: text that names the call
    :param history_lost: whether the source no longer keeps the requested
        changes, so that all rows must be read
    """

    detail: str
    history_lost: bool = False


class RowSource(abc.ABC):
    """Read the tables that a router follows."""

    @abc.abstractmethod
    async def read(self, table):
        """Return all rows of a table.

        :param table: :class:`Table`
        :returns: :class:`ChangeSet` or :class:`SourceFailure`
        """

    @abc.abstractmethod
    async def changes(self, table, since, wait_s):
        """Return the rows that changed after a version.

        :param since: position up to which all changes are known, see
            :class:`~boragetrail.direct.knowledge.epochs.RowPosition`
        :param wait_s: seconds to wait for the first change
        :returns: :class:`ChangeSet` or :class:`SourceFailure`
        """


@dataclasses.dataclass(slots=True)
class CacheContent:
    """Hold the response of an engine to a query of its cache.

    :param parts: ids of the prompt parts that it caches
    :param leaving: whether the engine says that it leaves
    """

    parts: list
    leaving: bool


@dataclasses.dataclass(slots=True)
class EngineReport:
    """Hold what an engine reports of itself.

    :param started_ms: start of its run in milliseconds of Unix time, or 0 if
        unknown
    :param limit: limit on its request rate as text, or ``None`` without one
    :param leaving: whether the engine says that it leaves
    """

    started_ms: int
    limit: str | None
    leaving: bool


class EngineClient(abc.ABC):
    """Query model engines."""

    @abc.abstractmethod
    async def cache_content(self, address):
        """Return what an engine says of its cache.

        :param address: (host, port)
        :returns: :class:`CacheContent`, without parts if the engine cannot be
            queried
        """

    @abc.abstractmethod
    async def report(self, address):
        """Return what an engine reports of itself.

        The query takes no place at the engine.

        :param address: (host, port)
        :returns: :class:`EngineReport`, or ``None`` if the engine cannot be
            queried
        """


class RowDecoder(abc.ABC):
    """Decode rows of the platform.

    A method that gets a row returns ``None`` if the row cannot be decoded,
    and logs why.
    """

    @abc.abstractmethod
    def configuration(self, row):
        """Return a :class:`~boragetrail.direct.model.Configuration`."""

    @abc.abstractmethod
    def server(self, row):
        """Return a :class:`~boragetrail.direct.model.ServerRecord`."""

    @abc.abstractmethod
    def is_configuration(self, key):
        """Return whether a key is that of the configuration's row."""

    @abc.abstractmethod
    def evacuated_zone(self, key):
        """Return the zone that the row of a key takes out of service.

        :returns: name of the zone, or ``None`` for a key of another kind
        """

    @abc.abstractmethod
    def rollout_service(self, key):
        """Return the service whose rollout the row of a key orders.

        :returns: name of the service, or ``None`` for a key of another kind
        """

    @abc.abstractmethod
    def rollout_order(self, row, epoch):
        """Return a :class:`~boragetrail.direct.model.RolloutOrder`.

        :param epoch: epoch of the store in which the row was written
        """


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderNames:
    """Name the header fields of a platform's protocol.

    :param request_id: id of one request, repeated in its response
    :param deadline_ms: milliseconds for which the sender will wait
    :param key: key with which a customer is authenticated
    :param customer: name of the customer, set by the router
    :param expected_server: id of the server that the router has selected; no
        other server may execute the request
    :param server_id: id of the server that responded
    :param seal: server's proof that a response is complete
    :param not_executed: set by a server that did not execute a request
    :param load: numbers of running requests, waiting requests and slots of
        the server, and the time that its work takes in percent of the usual;
        some servers leave out the last, or the last two
    :param leaving: ``1`` in all responses of a server that shuts down
    :param limit: requests per second that the server takes from all routers
        together, in all its responses while the limit is in force
    :param cold_ms: remaining time in milliseconds for which the server is
        cold
    :param prompt_parts: parts of the prompt, ``ID:TOKENS`` each
    :param tokens: number of tokens of the prompt, and limit on those of the
        response
    :param length_hint: number of tokens that the response has at the median
    :param last_event_id: id of the event after which a stream is resumed
    :param resumed_request: id of the request that brought the first event of
        a stream that the caller resumes
    :param priority: priority at the server; 0 is the most urgent
    :param copy_from: address of the engine to copy cached parts from
    :param reserved: names that a caller may not send, in lower case
    :param end_to_end: names that are always forwarded, in lower case
    """

    request_id: str
    deadline_ms: str
    key: str
    customer: str
    expected_server: str
    server_id: str
    seal: str
    not_executed: str
    load: str
    leaving: str
    limit: str
    cold_ms: str
    prompt_parts: str
    tokens: str
    length_hint: str
    last_event_id: str
    resumed_request: str
    priority: str
    copy_from: str
    reserved: frozenset
    end_to_end: frozenset
