"""Serves the bench on standard input and output; started as `python -m ternquay.wirehost`."""

import sys

from ternquay.wirehost.serve import WireError, serve

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except WireError as fault:
    sys.exit(f"ternquay.wirehost: {fault}")
