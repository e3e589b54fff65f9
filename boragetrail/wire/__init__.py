"""Messages and datagrams between processes, and their encoding."""

from boragetrail.wire.codec import decode, encode

__all__ = ["decode", "encode"]
