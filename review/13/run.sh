#!/bin/sh
# Runs the case on what deploy/build.sh and review/build-3.sh have built.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/app ] && [ -d target/review-3 ] || exit 2
export PYTHONPATH=target/deps:target/review-3
timeout -k 5 118 python3 review/13/case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
