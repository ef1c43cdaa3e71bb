"""python -m ternquay serve"""

from ternquay.cli import app

app()
