#!/bin/sh
# Builds the stand-ins of the cases of review 3, next to the build of
# deploy/system.toml: the project's own store and the small deployment.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -R standins target/review-3/
cp review/lib3/*.py target/review-3/
python3 -m compileall -q target/review-3
