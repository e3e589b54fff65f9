#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need the libraries that the
# build of the deploy file puts into target/deps, and no others.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] && [ -d target/app ] || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH=target/deps:. python3 -m compileall -q standins review/lib2
PYTHONPATH=target/deps:. python3 -c "import review.lib2.harness, review.lib2.engine"
