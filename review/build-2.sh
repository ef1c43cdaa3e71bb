#!/bin/sh
# Builds what the scripts of review/6 to review/8 start beyond the build of the deploy file. The stand-ins in
# review/stage need the standard library alone; `ternquay host` (review/7) needs the hosted service's libraries.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import cryptography, msgspec, OpenSSL, service_identity" 2>/dev/null ||
  .venv/bin/pip -q install -r requirements-hosted.txt
.venv/bin/python -m compileall -q review/stage
