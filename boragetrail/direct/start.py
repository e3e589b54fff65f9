"""Start a router without the libraries that it never uses.

No connection of a router uses TLS. OpenSSL takes a tenth of the memory of an
idle router, and asyncio, aiohttp and hashlib do without it where it cannot be
imported.
"""

import importlib
import sys

__all__ = ["start"]

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


def start(arguments):
    """Run a router; returns the exit status.

    To be called before anything else is imported.

    :param arguments: see :func:`boragetrail.direct.command.main`
    """
    # Imports of a module that is None fail.
    sys.modules.update(dict.fromkeys(OPENSSL_MODULES))
    command = importlib.import_module("boragetrail.direct.command")
    return command.main(arguments)
