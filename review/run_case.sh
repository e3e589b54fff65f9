#!/bin/sh
# Runs one case: run_case.sh NUMBER. Exits with 0, 1 or 2, see REPORT.md.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/app ] || [ ! -d target/deps ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 \
    python3 "review/$1/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
