"""Settings files of routers and agents."""

import importlib

from boragetrail.settings.errors import SettingsError
from boragetrail.settings.file import read_settings

__all__ = [
    "DirectSettings",
    "Settings",
    "SettingsError",
    "load_any_settings",
    "load_direct_settings",
    "load_settings",
]

_MODULES_BY_NAME = {
    "DirectSettings": "boragetrail.settings.direct",
    "load_direct_settings": "boragetrail.settings.direct",
    "Settings": "boragetrail.settings.load",
    "load_settings": "boragetrail.settings.load",
}


def load_any_settings(path):
    """Load a settings file of any role.

    :param path: path of the file
    :returns: (settings or ``None``, list of :class:`SettingsError`)
    """
    data, _ = read_settings(path)
    is_direct = isinstance(data, dict) and data.get("role") == "direct"
    name = "load_direct_settings" if is_direct else "load_settings"
    return __getattr__(name)(path)


def __getattr__(name):
    # The two settings modules use different validators. A lazy import loads
    # just the validator that the role needs.
    if name in _MODULES_BY_NAME:
        return getattr(importlib.import_module(_MODULES_BY_NAME[name]), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
