"""The process of a balancer with a baseline's decisions: `python -m ternquay.rig.balancer NAME CONFIG`."""

import sys

from ternquay.net.launch import read_launch
from ternquay.net.serve import run
from ternquay.rig.baselines import load

if __name__ == "__main__":
    run(read_launch(sys.argv[2]), load(sys.argv[1]))
