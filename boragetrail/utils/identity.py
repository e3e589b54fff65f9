"""Random identifiers."""

import secrets

__all__ = ["new_incarnation"]


def new_incarnation():
    """Return a random 64-bit id for one run of a process, in hexadecimal."""
    return secrets.token_hex(8)
