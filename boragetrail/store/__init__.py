"""HTTP clients of the platform's services."""

from boragetrail.store.objects import ObjectClient
from boragetrail.store.table import Put, Row, TableClient
from boragetrail.store.vms import Vm, VmClient
from boragetrail.store.weights import ModelWeightClient

__all__ = [
    "ObjectClient",
    "Put",
    "Row",
    "TableClient",
    "Vm",
    "VmClient",
    "ModelWeightClient",
]
