#!/bin/sh
# Builds the stand-ins that the cases start: this folder's and the project's.
# They are Python modules; the libraries come with the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
