"""Tests of the start of a router."""

import subprocess
import sys

from boragetrail.direct.command import EXIT_BAD_SETTINGS

PROGRAM = """
import sys
from boragetrail.direct.start import start
status = start([])
loaded = [name for name in ("ssl", "_ssl", "_hashlib") if sys.modules[name]]
print(status, "asyncio" in sys.modules, loaded)
"""


class TestStart:
    """A router does not load modules that it never uses."""

    def test_router_does_not_load_openssl(self):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.split("\n")[0] == f"{EXIT_BAD_SETTINGS} True []"
