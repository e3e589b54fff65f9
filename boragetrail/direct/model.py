"""Types of the configuration and of backend servers."""

import dataclasses
import enum

__all__ = [
    "Configuration",
    "Customer",
    "Limits",
    "RequestKind",
    "RolloutOrder",
    "Route",
    "ServerRecord",
    "Service",
    "Share",
]

slotted = dataclasses.dataclass(slots=True)


class RequestKind(enum.Enum):
    """Name the kinds of requests that routes distinguish."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@slotted
class Share:
    """Assign a part of a route's requests to a service.

    :param service: name of the service
    :param weight: weight of the service, relative to the sum of all weights
        of the route
    """

    service: str
    weight: float


@slotted
class Route:
    """Describe the requests to one host and path prefix.

    :param shares: list of :class:`Share`
    :param timeout_s: longest time in seconds until a response is complete
    :param goal_s: target for the response time in seconds
    :param max_attempts: maximum number of servers that may execute a request
    :param priority: priority of the requests; 0 is the most urgent
    :param public: whether requests need no customer key
    :param prefix_affinity: whether requests list the parts of their prompts
        and prefer servers that cache these parts
    :param resumable: whether a stream may be resumed at another server
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
        """Return whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@slotted
class Service:
    """Describe a service.

    :param max_connections: total number of connections that each server
        accepts
    :param cold_rate_per_s: requests per second that a cold server can
        process; 0 for no limit
    :param is_model: whether its servers are model engines
    :param token_capacity: tokens of the requests that one engine can hold, or
        0 if unknown
    """

    name: str
    max_connections: int
    cold_rate_per_s: float
    is_model: bool
    token_capacity: int = 0


@slotted
class Customer:
    """Describe a customer; ``priority`` is ``None`` if none is set."""

    name: str
    priority: int | None


@slotted
class Limits:
    """Limit what a caller may send; sizes in bytes, times in seconds."""

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
    :param needs_keys: whether requests to non-public routes need a key
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


@slotted
class ServerRecord:
    """Describe one run of a backend server as the platform lists it.

    :param address: (host, port)
    :param slots: number of requests that the server processes concurrently,
        or 0 if unknown
    :param ready: whether the server accepts new requests
    :param cold_s: seconds for which the server is cold after its entry was
        read
    :param started_ms: start of the run in milliseconds of Unix time, or 0 if
        unknown
    :param version: version of its software, or empty if unknown
    """

    id: str
    service: str
    address: tuple
    zone: str
    slots: int
    ready: bool
    cold_s: float
    started_ms: int
    version: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOrder:
    """Describe an order to move a service to another software version.

    :param service: name of the service
    :param to: version to which it moves
    :param duration_s: seconds within which it moves
    :param row_version: version of the order's row
    :param epoch: epoch of the store in which that version was given out
    :param key: number that tells this order from all others
    :param row_key: key of the order's row
    """

    service: str
    to: str
    duration_s: float
    row_version: int = 0
    epoch: int = 0
    key: int = 0
    row_key: str = ""
