"""Settings of routers and agents, and their validation."""

import importlib.resources
import json
import os

import jsonschema

from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = ["ListenAddresses", "Platform", "Settings", "load_settings"]

OPERATOR_TOKEN_VARIABLE = "BORAGETRAIL_OPERATOR_TOKEN"
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 32 * 1024
# Longest time for which the load balancer still sends new requests to a router
# that reports that it is not ready.
DEFAULT_BALANCER_LAG_S = 2.0
DEFAULT_DRAIN_LIMIT_S = 60.0


class ListenAddresses:
    """Listening addresses of a process.

    An address that the process does not use is empty.
    """

    __slots__ = ("callers", "operators", "link", "admin", "gossip")

    def __init__(self, data):
        for name in self.__slots__:
            setattr(self, name, data.get(name, ""))


class Platform:
    """Base URLs of the platform's services."""

    __slots__ = ("table", "objects", "vms", "weights")

    def __init__(self, data):
        for name in self.__slots__:
            setattr(self, name, data[name])


class Settings:
    """Settings of one router or agent; times in seconds, sizes in bytes.

    :ivar body_bytes: largest body of a request
    :ivar header_bytes: largest header of a request
    :ivar balancer_lag_s: longest time for which the load balancer still sends
        new requests to a router that reports that it is not ready
    :ivar drain_limit_s: longest time for draining after a stop signal
    """

    __slots__ = (
        "role",
        "name",
        "zone",
        "service",
        "backend",
        "listen",
        "platform",
        "seeds",
        "operator_token",
        "log_format",
        "log_level",
        "body_bytes",
        "header_bytes",
        "balancer_lag_s",
        "drain_limit_s",
    )

    def __init__(self, data):
        log = data.get("log", {})
        limits = data.get("limits", {})
        drain = data.get("drain", {})
        self.role = data["role"]
        self.name = data["name"]
        self.zone = data["zone"]
        self.service = data.get("service", "")
        self.backend = data.get("backend", "")
        self.listen = ListenAddresses(data["listen"])
        self.platform = Platform(data["platform"])
        self.seeds = data.get("seeds", [])
        token = data.get("operator_token", "")
        self.operator_token = os.environ.get(OPERATOR_TOKEN_VARIABLE, token)
        self.log_format = log.get("format", "json")
        self.log_level = log.get("level", "INFO")
        self.body_bytes = limits.get("body_bytes", DEFAULT_MAX_BODY_BYTES)
        self.header_bytes = limits.get(
            "header_bytes", DEFAULT_MAX_HEADER_BYTES
        )
        lag_s = drain.get("balancer_lag_s", DEFAULT_BALANCER_LAG_S)
        self.balancer_lag_s = lag_s
        self.drain_limit_s = drain.get("limit_s", DEFAULT_DRAIN_LIMIT_S)


def load_settings(path):
    """Load a settings file.

    :param path: path of the file
    :returns: (:class:`Settings` or ``None``, list of
        :class:`SettingsError`)
    """
    data, error = read_settings(path)
    if error is not None:
        return None, [error]
    errors = check_settings(data)
    return (None, errors) if errors else (Settings(data), [])


def check_settings(data):
    """Return a list of the errors in decoded settings.

    :param data: decoded content of a settings file
    :returns: list of :class:`SettingsError`, empty if there are none
    """
    if not isinstance(data, dict):
        return [SettingsError("$", "must be an object")]
    schema = _schema()
    roles = {each["title"]: each for each in schema["oneOf"]}
    role = data.get("role")
    if role not in roles:
        names = ", ".join(sorted(roles))
        return [SettingsError("role", f"must be one of: {names}")]
    role_schema = {**roles[role], "$defs": schema["$defs"]}
    validator = jsonschema.Draft202012Validator(role_schema)
    errors = sorted(validator.iter_errors(data), key=lambda e: e.json_path)
    return [
        SettingsError(error.json_path.removeprefix("$."), error.message)
        for error in errors
    ]


def _schema():
    files = importlib.resources.files("boragetrail.settings")
    return json.loads(files.joinpath("schema.json").read_text())
