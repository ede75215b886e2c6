#!/bin/sh
# The stand-ins of the cases 11 and up are Python of the standard library (3.11): there is nothing to compile.
# The gateways come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys, tomllib; sys.path.insert(0, "kit-3"); import kit'
