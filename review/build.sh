#!/usr/bin/env bash
# Nothing is compiled: the stand-ins in review/standins need Python 3.11 and its standard library
# only. The cases start target/release/hornbeamrock, the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -x target/release/hornbeamrock || cargo build --release --locked --offline -p hornbeamrock
