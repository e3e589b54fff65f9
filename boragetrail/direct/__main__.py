"""Run a direct router with ``python -m boragetrail.direct``."""

import sys

from boragetrail.direct.start import start

sys.exit(start(sys.argv[1:]))
