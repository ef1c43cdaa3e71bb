"""`python -m ternquay.net`: serves by the configuration that EDGE_CONFIG names, and does nothing else.

How deploy/balancer.toml starts it. Beside `ternquay serve` it is 6 MB lighter, as no command line is loaded: a process
has as little as 40 MB, and during an upgrade there are two of them in one limit.
"""

import sys

from ternquay.net.config import ConfigError, read_config


def serve(config: str = "") -> str:
    """Serves until SIGTERM; what is wrong with the configuration comes back as one line."""
    # Against 5 MB that the library takes for TLS where it is installed: no address of this process has any.
    sys.modules.setdefault("OpenSSL", None)  # type: ignore[arg-type]
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
