#!/bin/sh
# Puts the program into target/app and compiles it, so that a start on a
# read-only machine does not compile it again.
set -eu
rm -rf target/app
mkdir -p target/app
cp -R boragetrail target/app/
cp boragetrail/direct/__main__.py target/app/__main__.py
python3 -m compileall -q target/app
