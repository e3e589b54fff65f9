"""Documents that are checked, and what is found in them."""

import dataclasses
import enum
import json

from boragetrail.direct.model import Customer, Limits

__all__ = [
    "ConfigurationDocument",
    "CustomerEntry",
    "Finding",
    "Severity",
    "quoted",
]

MAX_QUOTED = 80


class Severity(enum.Enum):
    """Name what a finding means for the configuration."""

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Hold one finding of a check.

    :param severity: :class:`Severity`
    :param path: place in the document, such as ``routes[2]``
    :param text: description in ASCII, without keys of customers
    """

    severity: Severity
    path: str
    text: str


@dataclasses.dataclass(slots=True)
class CustomerEntry:
    """Hold a customer and its keys.

    :param customer: :class:`~boragetrail.direct.model.Customer`
    :param keys: list of keys
    """

    customer: Customer
    keys: list


@dataclasses.dataclass(slots=True)
class ConfigurationDocument:
    """Hold the entries of a configuration in their order, with duplicates.

    :param version: version number
    :param routes: list of :class:`~boragetrail.direct.model.Route`
    :param services: list of :class:`~boragetrail.direct.model.Service`
    :param customers: list of :class:`CustomerEntry`
    :param limits: :class:`~boragetrail.direct.model.Limits`
    :param needs_keys: whether requests to non-public routes need a key
    """

    version: int
    routes: list
    services: list
    customers: list
    limits: Limits
    needs_keys: bool


def quoted(value):
    """Return a value as short ASCII text that is safe to print.

    >>> quoted("a\\ud800")
    '"a\\\\ud800"'
    """
    text = json.dumps(str(value)[:MAX_QUOTED])
    return text if len(str(value)) <= MAX_QUOTED else f"{text}..."
