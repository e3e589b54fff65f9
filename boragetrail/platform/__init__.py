"""Adapters that connect the direct path to the platform.

They hold the platform's names and data formats, and clients of its services.
"""

from boragetrail.platform.decode import PlatformRowDecoder
from boragetrail.platform.engines import PlatformEngineClient
from boragetrail.platform.names import HEADER_NAMES, features
from boragetrail.platform.store import PlatformStoreClient

__all__ = [
    "HEADER_NAMES",
    "PlatformRowDecoder",
    "PlatformEngineClient",
    "PlatformStoreClient",
    "features",
]
