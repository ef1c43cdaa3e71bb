"""`python -m ternquay.net`: serves with the configuration file that EDGE_CONFIG names.

deploy/balancer.toml uses this entry point. It takes 6 MB less memory than `ternquay serve`, as it loads no command-line
library. A process may have as little as 40 MB, and during an upgrade two processes share one limit.
"""

import sys

from ternquay.net.config import ConfigError, read_config


def serve(config: str = "") -> str:
    """Serves until SIGTERM. Returns the error of the configuration as one line, or an empty string."""
    # Twisted would load 5 MB for TLS if OpenSSL is installed, and no port of this process uses TLS.
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
