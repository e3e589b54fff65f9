"""What the direct path needs of a platform.

A platform's adapter implements these classes. Stand-ins and peers implement
the same ones, so that the decisions are one code for all surroundings.
"""

import abc
import dataclasses
import enum

__all__ = [
    "ChangeSet",
    "RowDecoder",
    "EngineClient",
    "HeaderNames",
    "MemberRegistry",
    "Row",
    "RowSource",
    "SourceFailure",
    "Table",
]


class Table(str, enum.Enum):
    """Name the tables that a router follows."""

    OPERATORS = "operators"
    SERVERS = "servers"


@dataclasses.dataclass(slots=True)
class Row:
    """Hold one row in the platform's own encoding.

    :param version: number of the transaction that wrote it
    :param data: encoded value, or ``None`` if the row was deleted
    """

    key: str
    version: int
    data: bytes | None


@dataclasses.dataclass(slots=True)
class ChangeSet:
    """Hold rows of one table.

    :param rows: list of :class:`Row`
    :param version: newest version that the rows reflect
    :param whole: whether these are all rows of the table
    """

    rows: list
    version: int
    is_snapshot: bool


@dataclasses.dataclass(slots=True)
class SourceFailure:
    """Say why rows could not be read.

    :param detail: text that names the call
    :param history_lost: whether the table has to be read as a whole
    """

    detail: str
    history_lost: bool = False


class RowSource(abc.ABC):
    """Read tables that others write."""

    @abc.abstractmethod
    async def read(self, table):
        """Return all rows of a table.

        :param table: :class:`Table`
        :returns: :class:`ChangeSet` or :class:`SourceFailure`
        """

    @abc.abstractmethod
    async def changes(self, table, since, wait_s):
        """Return rows that changed after a version.

        :param since: version up to which changes are known
        :param wait_s: seconds to wait for the first change
        :returns: :class:`ChangeSet` or :class:`SourceFailure`
        """


class MemberRegistry(abc.ABC):
    """Keep the hosts of routers where a starting router finds them."""

    @abc.abstractmethod
    async def announce(self, host):
        """Add a host; returns whether it was added for sure."""

    @abc.abstractmethod
    async def members(self):
        """Return the hosts as a list; empty if they can't be read."""


class EngineClient(abc.ABC):
    """Ask model engines for what their answers do not tell."""

    @abc.abstractmethod
    async def cached_parts(self, address):
        """Return the ids of the parts of prompts that an engine keeps.

        :param address: (host, port)
        :returns: list, empty if the engine can't be asked
        """


class RowDecoder(abc.ABC):
    """Turn rows of the platform into typed values.

    Each function returns ``None`` for a row that it cannot read and says
    why by ``on_error``.
    """

    @abc.abstractmethod
    def configuration(self, row):
        """Return a :class:`~boragetrail.direct.model.Configuration`."""

    @abc.abstractmethod
    def server(self, row):
        """Return a :class:`~boragetrail.direct.model.ServerRecord`."""

    @abc.abstractmethod
    def is_configuration(self, key):
        """Return whether a key of the operators' table holds it."""

    @abc.abstractmethod
    def evacuated_zone(self, key):
        """Return the zone that a key takes out of service, or ``None``."""


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderNames:
    """Name the header fields that a platform's parties agree on.

    :param request_id: id of one attempt of a caller
    :param deadline_ms: milliseconds that the sender will wait
    :param key: key of a customer
    :param customer: name of the customer, set by the router
    :param expected_server: id of the only server that may run a request
    :param server_id: id of the server that answered
    :param seal: proof of the server that an answer is whole
    :param not_run: mark of a server that did not run a request
    :param load: running, waiting and slots of the server
    :param cold_ms: milliseconds for which the server stays cold
    :param prompt_parts: parts of the prompt, ``ID:TOKENS`` each
    :param tokens: tokens of the prompt and most tokens of the answer
    :param last_event_id: event after which a stream goes on
    :param priority: rank at the server; 0 goes first
    :param copy_from: address of the engine to copy cached parts from
    :param reserved: names that a caller may not send, in lower case
    :param end_to_end: names that always reach the server, in lower case
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
    cold_ms: str
    prompt_parts: str
    tokens: str
    last_event_id: str
    priority: str
    copy_from: str
    reserved: frozenset
    end_to_end: frozenset
