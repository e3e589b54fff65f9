"""Decoder of the rows of the platform's store."""

import ipaddress
import json

import xxhash

from boragetrail.direct.model import (
    Configuration,
    Customer,
    Limits,
    RequestKind,
    RolloutOrder,
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
    KINDS_BY_ROUTE_TYPE,
    READY_STATE,
    ROLLOUT_PREFIX,
)
from boragetrail.utils import split_address

__all__ = ["DECODE_ERRORS", "ENTRY_DECODERS", "PlatformRowDecoder"]

LOWEST_PRIORITY = 9
# Larger numbers in a row make it invalid.
MAX_NUMBER = 2**63
MAX_PORT = 65535
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class PlatformRowDecoder(RowDecoder):
    """Decoder of the rows of the platform's tables ``op`` and ``servers``."""

    def configuration(self, row):
        """Decode a row with the configuration.

        :returns: :class:`~boragetrail.direct.model.Configuration`, or ``None``
            if the row is invalid
        """
        return _decode_row(row, _configuration)

    def server(self, row):
        """Decode a row with a server's entry.

        :returns: :class:`~boragetrail.direct.model.ServerRecord`, or ``None``
            if the row is invalid
        """
        return _decode_row(row, lambda data: _server(row.key, data))

    def is_configuration(self, key):
        """Return whether a key is that of the row with the configuration."""
        return key == CONFIGURATION_KEY

    def evacuated_zone(self, key):
        """Return the zone that a row takes out of service.

        :param key: key of the row
        :returns: name of the zone, or ``None`` if the row is for another
            purpose
        """
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)

    def rollout_service(self, key):
        """Return the service whose rollout a row orders.

        :param key: key of the row
        :returns: name of the service, or ``None`` if the row is for another
            purpose
        """
        if not key.startswith(ROLLOUT_PREFIX):
            return None
        return key.removeprefix(ROLLOUT_PREFIX)

    def rollout_order(self, row, epoch):
        """Decode a row with the order of a rollout.

        :param epoch: epoch of the store in which the row was written
        :returns: :class:`~boragetrail.direct.model.RolloutOrder`, or ``None``
            if the row is invalid
        """
        return _decode_row(row, lambda data: _rollout(row, epoch, data))


def _decode_row(row, decode):
    try:
        return decode(json.loads(row.data))
    except DECODE_ERRORS as exc:
        log_event(
            Event.ROW_INVALID,
            key=row.key,
            row_version=row.version,
            error=repr(exc),
        )
        return None


def _string(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _number(value):
    is_number = isinstance(value, (int, float)) and value is not True
    if not is_number or value is False or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r} is not a number in the valid range")
    return value


def _integer(value):
    if _number(value) != int(value):
        raise ValueError(f"{value!r} is not an integer")
    return int(value)


def _customer(data):
    priority = data.get("priority")
    if priority is not None:
        priority = _integer(priority)
    return Customer(_string(data["name"]), priority)


def _configuration(data):
    customers_by_key = {}
    for tenant in data.get("tenants") or []:
        customer = _customer(tenant)
        for key in tenant["apiKeys"]:
            customers_by_key[_string(key)] = customer
    return Configuration(
        _integer(data["version"]),
        [_route(route) for route in data["routes"]],
        [_service(service) for service in data["services"]],
        customers_by_key,
        _limits(data["limits"]),
        data.get("tenants") is not None,
    )


def _route(data):
    kind = KINDS_BY_ROUTE_TYPE[data["routeType"]]
    # A route that splits its requests between services lists the services
    # under ``backends``.
    if data.get("backends"):
        shares = [
            Share(_string(each["service"]), _number(each["weight"]))
            for each in data["backends"]
        ]
    else:
        shares = [Share(_string(data["service"]), 1)]
    timeout_s = _number(data["timeoutMs"]) / 1000.0
    return Route(
        name=_string(data["name"]),
        host=_string(data["host"]).lower(),
        prefix=_string(data["pathPrefix"]),
        kind=kind,
        shares=shares,
        timeout_s=timeout_s,
        goal_s=_number(data.get("goalMs", data["timeoutMs"])) / 1000.0,
        max_attempts=_integer(data.get("maxAttempts", 1)),
        priority=_integer(data.get("priority", LOWEST_PRIORITY)),
        public=bool(data.get("public", False)),
        prefix_affinity=bool(data.get("sticky", False)),
        resumable=(
            kind is RequestKind.STREAM and bool(data.get("resumable", False))
        ),
    )


def _service(data):
    backend = data.get("backend") or {}
    return Service(
        name=_string(data["name"]),
        max_connections=_integer(data["maxConns"]),
        cold_rate_per_s=_number(data.get("coldPerS", 0.0)),
        # ``backend`` is set only for services with model engines.
        is_model=bool(backend),
        token_capacity=_token_capacity(backend),
    )


def _token_capacity(backend):
    """Return the tokens for which an engine has memory; 0 if unknown.

    An invalid number counts as unknown, since the configuration of all
    services must not depend on it.
    """
    try:
        return _integer(backend["kvCapacity"])
    except DECODE_ERRORS:
        return 0


def _limits(data):
    return Limits(
        header_bytes=_integer(data["maxHeaderBytes"]),
        body_bytes=_integer(data["maxBodyBytes"]),
        header_timeout_s=_number(data["headerTimeoutMs"]) / 1000.0,
        idle_timeout_s=_number(data["idleTimeoutMs"]) / 1000.0,
    )


# Decoders of the entries of each section of the configuration.
ENTRY_DECODERS = {
    "version": _integer,
    "routes": _route,
    "services": _service,
    "tenants": _customer,
    "limits": _limits,
}


def _address(text):
    """Return an address to which a connection can be opened."""
    host, port = split_address(_string(text))
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"{port} is not a port")
    return str(ipaddress.IPv4Address(host)), port


def _server(key, data):
    service = _string(data["service"])
    zone = _string(data["zone"])
    if not service or not zone:
        raise ValueError("service and zone must not be empty")
    cold_ms = _number(max(0, data.get("coldLeftMs", 0)))
    return ServerRecord(
        id=key,
        service=service,
        address=_address(data["address"]),
        zone=zone,
        slots=_integer(data.get("slots", 0)),
        ready=data["state"] == READY_STATE,
        cold_s=cold_ms / 1000.0,
        started_ms=_number(data.get("born", 0)),
        version=_string(data.get("version", "")),
    )


def _rollout(row, epoch, data):
    service, version = _string(data["service"]), _string(data["to"])
    if row.key != ROLLOUT_PREFIX + service or not version:
        raise ValueError("the service is not that of the key, or no version")
    duration_s = _number(data["durationS"])
    if not duration_s:
        raise ValueError("the rollout has no duration")
    # The store gives versions out again after its return from a copy.
    identity = f"{row.key}/{row.version}/".encode() + row.data
    return RolloutOrder(
        service,
        version,
        duration_s,
        row.version,
        epoch,
        xxhash.xxh64_intdigest(identity),
        row.key,
    )
