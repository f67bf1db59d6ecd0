#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 after the build of the deploy file. They are Python and start with the
# environment of that build; this compiles them and the project's own, so that a missing file shows here.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q brookhinge review/second review/6 review/7 review/8 review/9 review/10
