"""Run the command line with ``python -m boragetrail``."""

from boragetrail.cli import main

main()
