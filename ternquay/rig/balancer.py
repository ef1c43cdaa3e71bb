"""The process of a balancer that is not the product: `python -m ternquay.rig.balancer NAME CONFIG`.

The name is a baseline's, whose decisions it has, or a wrong twin's, which follows its list wrongly.
"""

import sys

from ternquay.net import discovery
from ternquay.net.config import read_config
from ternquay.net.serve import run
from ternquay.rig.baselines import load
from ternquay.rig.twins import TWINS

if __name__ == "__main__":
    if sys.argv[1] in TWINS:
        setattr(discovery, "WatchSchedule", TWINS[sys.argv[1]])  # noqa: B010
    run(read_config(sys.argv[2]), load("pat" if sys.argv[1] in TWINS else sys.argv[1]))
