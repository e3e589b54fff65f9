"""Decode rows of the platform's store into the project's types."""

import json

from boragetrail.direct.model import (
    Configuration,
    Customer,
    Limits,
    RequestKind,
    Route,
    ServerRecord,
    Service,
    Share,
)
from boragetrail.direct.ports import Decoder
from boragetrail.events import Event, log_event
from boragetrail.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    KINDS_BY_WORD,
    READY_WORD,
)
from boragetrail.utils import split_address

__all__ = ["PlatformDecoder"]

LOWEST_PRIORITY = 9


class PlatformDecoder(Decoder):
    """Decode the rows of the tables ``op`` and ``servers``."""

    def configuration(self, row):
        """Return the configuration, or ``None`` if it can't be read."""
        return _read(row, _configuration)

    def server(self, row):
        """Return the server, or ``None`` if it can't be read."""
        return _read(row, lambda data: _server(row.key, data))

    def is_configuration(self, key):
        """Return whether a key holds the configuration."""
        return key == CONFIGURATION_KEY

    def evacuated_zone(self, key):
        """Return the zone that a key takes out of service, or ``None``."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)


def _read(row, decode):
    try:
        return decode(json.loads(row.data))
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        log_event(
            Event.ROW_UNREADABLE,
            key=row.key,
            row_version=row.version,
            error=repr(exc),
        )
        return None


def _configuration(data):
    customers = {}
    for each in data.get("tenants") or []:
        customer = Customer(each["name"], each.get("priority"))
        for key in each["apiKeys"]:
            customers[key] = customer
    return Configuration(
        data["version"],
        [_route(each) for each in data["routes"]],
        [_service(each) for each in data["services"]],
        customers,
        _limits(data["limits"]),
        data.get("tenants") is not None,
    )


def _route(data):
    kind = KINDS_BY_WORD[data["routeType"]]
    # A split route lists its services under ``backends``.
    if data.get("backends"):
        shares = [Share(e["service"], e["weight"]) for e in data["backends"]]
    else:
        shares = [Share(data["service"], 1)]
    timeout_s = data["timeoutMs"] / 1000.0
    return Route(
        name=data["name"],
        host=data["host"].lower(),
        prefix=data["pathPrefix"],
        kind=kind,
        shares=shares,
        timeout_s=timeout_s,
        goal_s=data.get("goalMs", data["timeoutMs"]) / 1000.0,
        attempts=data.get("maxAttempts", 1),
        priority=data.get("priority", LOWEST_PRIORITY),
        public=bool(data.get("public", False)),
        affine=bool(data.get("sticky", False)),
        resumable=(
            kind is RequestKind.STREAM and bool(data.get("resumable", False))
        ),
    )


def _service(data):
    return Service(
        name=data["name"],
        connections=data["maxConns"],
        cold_rate=data.get("coldPerS", 0.0),
        # Here ``backend`` describes the service's model engines.
        is_model=bool(data.get("backend")),
    )


def _limits(data):
    return Limits(
        header_bytes=data["maxHeaderBytes"],
        body_bytes=data["maxBodyBytes"],
        header_timeout_s=data["headerTimeoutMs"] / 1000.0,
        idle_timeout_s=data["idleTimeoutMs"] / 1000.0,
    )


def _server(key, data):
    host, port = split_address(data["address"])
    service = data["service"]
    zone = data["zone"]
    if not all(isinstance(each, str) and each for each in (service, zone)):
        raise ValueError("service and zone must be texts")
    cold_ms = data.get("coldLeftMs", 0)
    return ServerRecord(
        id=key,
        service=service,
        address=(host, port),
        zone=zone,
        slots=int(data.get("slots", 1)),
        ready=data["state"] == READY_WORD,
        cold_s=max(0.0, float(cold_ms)) / 1000.0,
        born_ms=data.get("born", 0),
    )
