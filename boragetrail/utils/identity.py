"""Random identifiers."""

import secrets

__all__ = ["new_incarnation"]


def new_incarnation():
    """Return a random 64-bit id in hexadecimal, for one run of a process."""
    return secrets.token_hex(8)
