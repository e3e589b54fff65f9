"""Typed configuration and backend servers of the direct path."""

import dataclasses
import enum

__all__ = [
    "Configuration",
    "Customer",
    "Limits",
    "RequestKind",
    "Route",
    "ServerRecord",
    "Service",
    "Share",
]

plain = dataclasses.dataclass(slots=True)


class RequestKind(enum.Enum):
    """Say what may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@plain
class Share:
    """Give a service a part of a route's requests.

    :param service: name of the service
    :param weight: part of the requests, relative to the other shares
    """

    service: str
    weight: float


@plain
class Route:
    """Describe the requests of one host below one path prefix.

    :param timeout_s: longest time that a caller is kept waiting, seconds
    :param goal_s: time within which an answer is on time, seconds
    :param attempts: most servers that one request may be sent to
    :param priority: rank of its requests; 0 goes first
    :param public: whether requests carry no key
    :param affine: whether requests name the parts of their prompt
    :param resumable: whether a stream may go on at another server
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: list
    timeout_s: float
    goal_s: float
    max_attempts: int
    priority: int
    public: bool
    prefix_affinity: bool
    resumable: bool

    @property
    def retryable(self):
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@plain
class Service:
    """Describe a service.

    :param connections: connections that each server accepts from all
    :param cold_rate: requests a second that a cold server bears
    :param is_model: whether its servers are model engines
    """

    name: str
    max_connections: int
    cold_rate_per_s: float
    is_model: bool


@plain
class Customer:
    """Describe a customer; its priority is ``None`` if it has none."""

    name: str
    priority: int | None


@plain
class Limits:
    """Bound what a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration:
    """Hold one version of the operators' configuration.

    :param version: version number; newer versions are larger
    :param routes: list of :class:`Route`
    :param services: list of :class:`Service`
    :param customers_by_key: :class:`Customer` by key
    :param limits: :class:`Limits`
    :param needs_keys: whether requests of non-public routes carry a key
    """

    __slots__ = (
        "version",
        "routes_by_host",
        "services_by_name",
        "customers_by_key",
        "limits",
        "needs_keys",
    )

    def __init__(
        self, version, routes, services, customers_by_key, limits, needs_keys
    ):
        self.version = version
        self.routes_by_host = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for same_host in self.routes_by_host.values():
            same_host.sort(key=lambda route: -len(route.prefix))
        self.services_by_name = {each.name: each for each in services}
        self.customers_by_key = customers_by_key
        self.limits = limits
        self.needs_keys = needs_keys

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@plain
class ServerRecord:
    """Describe one run of a backend server as the platform lists it.

    :param address: (host, port)
    :param slots: requests that it works on at once
    :param ready: whether it takes new work
    :param cold_s: seconds for which it stays cold after the entry
    :param born_ms: time of its start in Unix milliseconds, or 0
    """

    id: str
    service: str
    address: tuple
    zone: str
    slots: int
    ready: bool
    cold_s: float
    started_ms: int
