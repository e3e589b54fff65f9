"""Base class and controllers that routers and agents share."""

from boragetrail.process.base import Process

__all__ = ["Process"]
