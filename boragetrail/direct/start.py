"""Start of a router without loading OpenSSL.

A router uses no TLS, and OpenSSL would take a tenth of the memory of an idle
router. asyncio, aiohttp and hashlib work without OpenSSL if it cannot be
imported.
"""

import importlib
import sys

__all__ = ["start"]

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


def start(arguments):
    """Run a router; returns the exit status.

    Call this before any other module is imported.

    :param arguments: see :func:`boragetrail.direct.command.main`
    """
    # An import fails if the entry in ``sys.modules`` is ``None``.
    sys.modules.update(dict.fromkeys(OPENSSL_MODULES))
    command = importlib.import_module("boragetrail.direct.command")
    return command.main(arguments)
