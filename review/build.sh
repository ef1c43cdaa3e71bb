#!/bin/sh
# Builds what the cases start beside the balancer: the stand-ins of review/lib, which need the standard library alone,
# and for case 2 what `ternquay host` needs beyond the balancer (requirements-hosted.txt of the project).
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import cryptography, msgspec, OpenSSL, service_identity" 2>/dev/null ||
  .venv/bin/pip -q install -r requirements-hosted.txt ||
  echo "without requirements-hosted.txt case 2 can't run" >&2
.venv/bin/python -m compileall -q review
