"""Parsing and formatting of ``host:port`` addresses."""

__all__ = ["split_address", "join_address"]


def split_address(text):
    """Split ``host:port`` into the host and the port as an integer.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def join_address(host, port):
    """Join host and port into ``host:port``."""
    return f"{host}:{port}"
