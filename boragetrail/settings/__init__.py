"""Settings of a process."""

import importlib

from boragetrail.settings.errors import SettingsError

__all__ = [
    "DirectSettings",
    "Settings",
    "SettingsError",
    "load_direct_settings",
    "load_settings",
]

_MODULES_BY_NAME = {
    "DirectSettings": "boragetrail.settings.direct",
    "load_direct_settings": "boragetrail.settings.direct",
    "Settings": "boragetrail.settings.load",
    "load_settings": "boragetrail.settings.load",
}


def __getattr__(name):
    # Each kind of settings brings a checker that the other does not need.
    if name in _MODULES_BY_NAME:
        return getattr(importlib.import_module(_MODULES_BY_NAME[name]), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
