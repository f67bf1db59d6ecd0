#!/bin/sh
# Builds the stand-ins of the cases. They are Python that the build of the deploy file has made ready to run; this
# checks that they load. Run after the build of the deploy file; needs no network.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=. exec .venv/bin/python -B -c "import review.deployment, review.thrift_client"
