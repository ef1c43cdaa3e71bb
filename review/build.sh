#!/bin/sh
# Builds what the cases start beside the balancer: the stand-ins of review/lib, which need the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
