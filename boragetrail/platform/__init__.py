"""Adapter to the platform: names, data formats and clients."""

from boragetrail.platform.decode import PlatformRowDecoder
from boragetrail.platform.engines import PlatformEngineClient
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.platform.store import PlatformStoreClient

__all__ = [
    "HEADER_NAMES",
    "PlatformRowDecoder",
    "PlatformEngineClient",
    "PlatformStoreClient",
]
