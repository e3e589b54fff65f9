"""Start of a router from its settings file.

The command ``boragetrail direct`` does the same. This module imports no
command-line libraries, so that a router restarts faster after a power
failure.
"""

import asyncio
import sys

from boragetrail.direct.daemon import DirectDaemon
from boragetrail.events import start_log
import boragetrail.platform as platform
from boragetrail.settings.direct import load_direct_settings

__all__ = ["EXIT_BAD_SETTINGS", "main", "run_router"]

EXIT_BAD_SETTINGS = 2


def main(arguments):
    """Run a router; returns the exit status.

    :param arguments: the path of the settings file
    """
    if len(arguments) != 1:
        print("usage: python -m boragetrail.direct SETTINGS", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run_router(arguments[0])


def run_router(path):
    """Run a router until SIGTERM or SIGINT; returns the exit status.

    :param path: path of the settings file
    """
    settings, errors = load_direct_settings(path)
    if settings is None:
        for error in errors:
            print(f"{path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    start_log(settings.log_format, settings.log_level)

    def reload():
        return load_direct_settings(path)

    async def run():
        await DirectDaemon(settings, platform, reload).run()

    asyncio.run(run())
    return 0
