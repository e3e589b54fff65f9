"""Run a router of the direct path with ``python -m boragetrail.direct``."""

import sys

from boragetrail.direct.command import main

sys.exit(main(sys.argv[1:]))
