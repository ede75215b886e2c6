#!/bin/sh
# The stand-ins of this review's scripts are Python of the standard library (3.11, as Debian 12 has it):
# nothing is built. The gateways come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null
python3 -c 'import sys, tomllib; sys.dont_write_bytecode = True; sys.path.insert(0, "kit-2"); import kit'
