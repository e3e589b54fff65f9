"""Memory and speed of servers, as this router and its peers know them."""

from boragetrail.direct.capacity.heldtokens import HeldTokens
from boragetrail.direct.capacity.loadheader import LoadFigures, parse_figures
from boragetrail.direct.capacity.memoryfilter import MemoryFilter
from boragetrail.direct.capacity.metrics import CapacityMetrics
from boragetrail.direct.capacity.monitor import CapacityMonitor
from boragetrail.direct.capacity.speedexchange import SpeedExchange
from boragetrail.direct.capacity.speeds import SpeedTable

__all__ = [
    "CapacityMetrics",
    "CapacityMonitor",
    "HeldTokens",
    "LoadFigures",
    "MemoryFilter",
    "SpeedExchange",
    "SpeedTable",
    "parse_figures",
]
