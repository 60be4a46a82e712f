#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are in review/harness2 and need Python 3.11 and its standard
# library only; nothing is compiled for them. The cases start target/release/hornbeamrock, the
# program of the deploy file, which is built here if it is not there yet.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -B -c 'import ast; ast.parse(open("review/harness2/world.py").read())'
test -x target/release/hornbeamrock || cargo build --release --locked --offline -p hornbeamrock
