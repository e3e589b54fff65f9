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
from boragetrail.direct.interfaces import RowDecoder
from boragetrail.events import Event, log_event
from boragetrail.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    KINDS_BY_WORD,
    READY_WORD,
)
from boragetrail.utils import split_address

__all__ = ["PlatformRowDecoder"]

LOWEST_PRIORITY = 9
MOST_NUMBER = 2**63
UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class PlatformRowDecoder(RowDecoder):
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
    except UNREADABLE as exc:
        log_event(
            Event.ROW_INVALID,
            key=row.key,
            row_version=row.version,
            error=repr(exc),
        )
        return None


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text")
    return value


def _number(value):
    is_number = isinstance(value, (int, float)) and value is not True
    if not is_number or value is False or not 0 <= value <= MOST_NUMBER:
        raise ValueError(f"{value!r} is no number in range")
    return value


def _whole(value):
    if _number(value) != int(value):
        raise ValueError(f"{value!r} is no whole number")
    return int(value)


def _customer(data):
    priority = data.get("priority")
    if priority is not None:
        priority = _whole(priority)
    return Customer(_text(data["name"]), priority)


def _configuration(data):
    customers = {}
    for each in data.get("tenants") or []:
        customer = _customer(each)
        for key in each["apiKeys"]:
            customers[_text(key)] = customer
    return Configuration(
        _whole(data["version"]),
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
        shares = [
            Share(_text(each["service"]), _number(each["weight"]))
            for each in data["backends"]
        ]
    else:
        shares = [Share(_text(data["service"]), 1)]
    timeout_s = _number(data["timeoutMs"]) / 1000.0
    return Route(
        name=_text(data["name"]),
        host=_text(data["host"]).lower(),
        prefix=_text(data["pathPrefix"]),
        kind=kind,
        shares=shares,
        timeout_s=timeout_s,
        goal_s=_number(data.get("goalMs", data["timeoutMs"])) / 1000.0,
        max_attempts=_whole(data.get("maxAttempts", 1)),
        priority=_whole(data.get("priority", LOWEST_PRIORITY)),
        public=bool(data.get("public", False)),
        prefix_affinity=bool(data.get("sticky", False)),
        resumable=(
            kind is RequestKind.STREAM and bool(data.get("resumable", False))
        ),
    )


def _service(data):
    return Service(
        name=_text(data["name"]),
        max_connections=_whole(data["maxConns"]),
        cold_rate_per_s=_number(data.get("coldPerS", 0.0)),
        # Here ``backend`` describes the service's model engines.
        is_model=bool(data.get("backend")),
    )


def _limits(data):
    return Limits(
        header_bytes=_whole(data["maxHeaderBytes"]),
        body_bytes=_whole(data["maxBodyBytes"]),
        header_timeout_s=_number(data["headerTimeoutMs"]) / 1000.0,
        idle_timeout_s=_number(data["idleTimeoutMs"]) / 1000.0,
    )


def _server(key, data):
    host, port = split_address(data["address"])
    service = _text(data["service"])
    zone = _text(data["zone"])
    if not service or not zone:
        raise ValueError("service and zone must not be empty")
    cold_ms = _number(max(0, data.get("coldLeftMs", 0)))
    return ServerRecord(
        id=key,
        service=service,
        address=(host, port),
        zone=zone,
        slots=_whole(data.get("slots", 1)),
        ready=data["state"] == READY_WORD,
        cold_s=cold_ms / 1000.0,
        started_ms=_number(data.get("born", 0)),
    )
