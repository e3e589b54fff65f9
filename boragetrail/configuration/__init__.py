"""Fleet configuration: its document, changes, history and freshness."""

from boragetrail.configuration.document import Change, Document
from boragetrail.configuration.document import check_change, subset_for_service
from boragetrail.configuration.freshness import Freshness
from boragetrail.configuration.history import History

__all__ = [
    "Change",
    "Document",
    "Freshness",
    "History",
    "check_change",
    "subset_for_service",
]
