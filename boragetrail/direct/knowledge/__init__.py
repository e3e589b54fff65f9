"""What routers know of backend servers, from their own words or others'."""

from boragetrail.direct.knowledge.crasharchive import CrashArchive
from boragetrail.direct.knowledge.leaving import Leaving
from boragetrail.direct.knowledge.servers import ServerKnowledge

__all__ = ["CrashArchive", "Leaving", "ServerKnowledge"]
