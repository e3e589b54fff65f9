"""Settings of a router that connects to backend servers directly.

These routers run on VMs with little memory. Their settings are validated with
``fastjsonschema``, which needs a tenth of the memory of ``jsonschema``.
"""

import importlib.resources
import json

import fastjsonschema

from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = [
    "Bounds",
    "DirectSettings",
    "RolloutBounds",
    "ZoneCosts",
    "load_direct_settings",
]

SCHEMA_FILE = "direct.json"
# In Mbit/s.
DEFAULT_LINK_BANDWIDTH_MBPS = 1000.0


class Bounds:
    """Limits that all routers together must not exceed.

    In each window a service gets at most ``retry_ratio`` retries per request
    plus ``retry_extra`` retries. A cold server gets at most
    ``cold_factor * r + cold_margin`` requests per second, where ``r`` is the
    number of requests per second that a cold server of the service can take.

    :ivar retry_ratio: largest number of retries per request
    :ivar retry_window_s: length of the window in seconds
    :ivar retry_extra: largest number of further retries in a window
    :ivar cold_factor: multiple of the rate ``r``
    :ivar cold_margin: further requests per second to a cold server
    """

    __slots__ = (
        "retry_ratio",
        "retry_window_s",
        "retry_extra",
        "cold_factor",
        "cold_margin",
    )

    def __init__(self, data):
        for name in self.__slots__:
            setattr(self, name, data[name])


class RolloutBounds:
    """Limits on the requests that a bad version gets in a rollout.

    :ivar exposure_ratio: largest part of the service's requests between the
        order and its end
    :ivar exposure_margin: further requests in the same time
    :ivar rollback_s: time in seconds after which a bad version gets no request
    """

    __slots__ = ("exposure_ratio", "exposure_margin", "rollback_s")

    def __init__(self, data):
        self.exposure_ratio = data["exposure_ratio"]
        self.exposure_margin = data["exposure_margin"]
        self.rollback_s = data["rollback_ms"] / 1000.0


class ZoneCosts:
    """Costs of traffic to another zone, as time that a caller may wait.

    :ivar crossing_s: seconds that one request to another zone costs
    :ivar s_per_mb: seconds that each megabyte to or from it costs
    """

    __slots__ = ("crossing_s", "s_per_mb")

    def __init__(self, data):
        self.crossing_s = data["crossing_ms"] / 1000.0
        self.s_per_mb = data["ms_per_mb"] / 1000.0


class DirectSettings:
    """Settings of one router; times in seconds.

    :ivar role: ``direct``
    :ivar name: name of the router
    :ivar zone: availability zone of the router
    :ivar callers: listening address for requests of callers
    :ivar health: listening address for the load balancer's health checks
    :ivar gossip: listening address for datagrams of other routers
    :ivar relay: listening address at which other routers fetch rows; also
        serves the state dump and metrics
    :ivar metrics: optional second listening address, which serves the same
        paths as ``relay``; empty if there is none
    :ivar store: address of the platform's store
    :ivar seed_hosts: hosts of some other routers, contacted at the start
    :ivar bounds: :class:`Bounds`
    :ivar rules: names of the platform's rules that are in force; they switch
        on :class:`~boragetrail.direct.features.Feature`
    :ivar rollout: :class:`RolloutBounds`, or ``None``
    :ivar zones: :class:`ZoneCosts`, or ``None``
    :ivar first_start: whether the whole system starts for the first time
    :ivar link_mbps: bandwidth of the VM's network link in Mbit/s
    :ivar grace_s: time from the stop signal until the process is killed
    """

    __slots__ = (
        "role",
        "name",
        "zone",
        "callers",
        "health",
        "gossip",
        "relay",
        "metrics",
        "store",
        "seed_hosts",
        "bounds",
        "rules",
        "rollout",
        "zones",
        "grace_s",
        "first_start",
        "link_mbps",
        "log_format",
        "log_level",
    )

    def __init__(self, data):
        listen = data["listen"]
        log = data.get("log", {})
        self.role = data["role"]
        self.name = data["name"]
        self.zone = data["zone"]
        self.callers = listen["callers"]
        self.health = listen["health"]
        self.gossip = listen["gossip"]
        self.relay = listen["relay"]
        self.metrics = listen.get("metrics", "")
        self.store = data["store"]
        seeds = data.get("seeds", [])
        self.seed_hosts = [seed.partition(":")[0] for seed in seeds]
        self.bounds = Bounds(data["bounds"])
        self.rules = data.get("rules", [])
        rollout, zones = data.get("rollout"), data.get("zones")
        self.rollout = RolloutBounds(rollout) if rollout else None
        self.zones = ZoneCosts(zones) if zones else None
        self.grace_s = data["grace_s"]
        self.first_start = data.get("first_start", False)
        self.link_mbps = data.get("link_mbps", DEFAULT_LINK_BANDWIDTH_MBPS)
        self.log_format = log.get("format", "json")
        self.log_level = log.get("level", "INFO")


def load_direct_settings(path):
    """Load a settings file.

    :param path: path of the file
    :returns: (:class:`DirectSettings` or ``None``, list of
        :class:`~boragetrail.settings.errors.SettingsError`)
    """
    data, error = read_settings(path)
    if error is None:
        error = check_direct_settings(data)
    return (None, [error]) if error else (DirectSettings(data), [])


def check_direct_settings(data):
    """Return the first error in decoded settings.

    :param data: decoded content of a settings file
    :returns: :class:`~boragetrail.settings.errors.SettingsError` or ``None``
    """
    files = importlib.resources.files("boragetrail.settings")
    schema = json.loads(files.joinpath(SCHEMA_FILE).read_text())
    validate = fastjsonschema.compile(schema, use_default=False)
    try:
        validate(data)
    except fastjsonschema.JsonSchemaValueException as exc:
        path = ".".join(str(part) for part in exc.path[1:]) or "$"
        return SettingsError(path, exc.message)
    return None
