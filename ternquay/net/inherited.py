"""The clients' listening socket where the platform holds it: adopted as it is, never shut down and never bound anew."""

import os
import socket
import stat
from collections.abc import Mapping
from typing import Any

from ternquay.net.config import SOCKET_FD_VARIABLE, ConfigError
from ternquay.net.listing import Address


def inherited_socket(where: Address, env: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The socket that the environment names, None where it names none. Raises ConfigError."""
    told = env.get(SOCKET_FD_VARIABLE, "")
    if not told:
        return None
    if not (told.isascii() and told.isdigit() and len(told) < 8):
        raise ConfigError(f"{SOCKET_FD_VARIABLE}: a descriptor is wanted, not {told!r:.40}")
    number = int(told)
    try:
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {number} is no socket")
        held = socket.socket(fileno=number)
    except OSError as fault:
        raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {number} can't be used: {fault.strerror}") from fault
    try:
        stream = held.family in (socket.AF_INET, socket.AF_INET6) and held.type & socket.SOCK_STREAM
        if not stream or not held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {number} is no listening TCP socket")
        host, port = held.getsockname()[:2]
        if (host, port) != (where.host, where.port):
            raise ConfigError(
                f"{SOCKET_FD_VARIABLE}: descriptor {number} listens on {host}:{port}, and listen says {where}"
            )
    except BaseException:
        held.detach()  # it is not ours to close
        raise
    held.setblocking(False)
    held.set_inheritable(False)
    return held


def adopt_socket(reactor: Any, listener: Any, held: socket.socket, factory: Any) -> Any:
    """The library's listener on it; of two descriptors for one socket the library's stays."""
    port = listener._fromListeningDescriptor(reactor, held.fileno(), held.family, factory)
    held.close()
    port.startListening()
    return port
