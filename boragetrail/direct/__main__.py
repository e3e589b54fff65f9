"""Run a router of the direct path with ``python -m boragetrail.direct``."""

import sys

from boragetrail.direct.start import start

sys.exit(start(sys.argv[1:]))
