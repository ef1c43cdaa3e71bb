"""`python -m ternquay.net`: serves with the configuration file that EDGE_CONFIG names.

deploy/balancer.toml uses this entry point. It takes less memory than `ternquay serve`, as it loads no command-line
library and none of the modules that net/slim_imports.py names.
"""

import sys

from ternquay.net import slim_imports


def serve(config: str = "") -> str:
    """Serves until SIGTERM. Returns the error of the configuration as one line, or an empty string."""
    slim_imports.install()
    from ternquay.net.config import ConfigError, read_config

    try:
        loaded = read_config(config)
        from ternquay.net.serve import run  # the reactor is chosen as it starts

        run(loaded)
    except ConfigError as fault:
        return str(fault)
    return ""


if __name__ == "__main__" and (why := serve()):
    print(f"ternquay: {why}", file=sys.stderr)
    sys.exit(2)
