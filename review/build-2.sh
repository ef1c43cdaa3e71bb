#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beyond the build of the deploy file. The stand-ins in
# review/stage need the standard library alone; `ternquay host` (review/7) needs the hosted service's libraries.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-hosted.txt
