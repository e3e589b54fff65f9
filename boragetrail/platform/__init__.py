"""Adapter to the users' platform: names, formats and calls."""

from boragetrail.platform.decode import PlatformDecoder
from boragetrail.platform.engines import PlatformEngines
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.platform.store import PlatformStore

__all__ = [
    "HEADER_NAMES",
    "PlatformDecoder",
    "PlatformEngines",
    "PlatformStore",
]
