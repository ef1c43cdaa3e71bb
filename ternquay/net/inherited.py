"""The listening socket for clients that the platform holds. It is adopted as it is, never shut down or bound again."""

import os
import socket
import stat
from collections.abc import Mapping
from typing import Any

from ternquay.net.config import SOCKET_FD_VARIABLE, ConfigError
from ternquay.net.listing import Address


def inherited_socket(address: Address, env: Mapping[str, str] = os.environ) -> socket.socket | None:
    """Returns the listening socket that the environment names, or None if it names none. Raises ConfigError."""
    text = env.get(SOCKET_FD_VARIABLE, "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 8):
        raise ConfigError(f"{SOCKET_FD_VARIABLE}: a descriptor is wanted, not {text!r:.40}")
    descriptor = int(text)
    try:
        if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {descriptor} is no socket")
        inherited = socket.socket(fileno=descriptor)
    except OSError as fault:
        raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {descriptor} can't be used: {fault.strerror}") from fault
    try:
        is_tcp = inherited.family in (socket.AF_INET, socket.AF_INET6) and inherited.type & socket.SOCK_STREAM
        if not is_tcp or not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise ConfigError(f"{SOCKET_FD_VARIABLE}: descriptor {descriptor} is no listening TCP socket")
        host, port = inherited.getsockname()[:2]
        if (host, port) != (address.host, address.port):
            raise ConfigError(
                f"{SOCKET_FD_VARIABLE}: descriptor {descriptor} listens on {host}:{port}, and listen says {address}"
            )
    except BaseException:
        inherited.detach()  # the socket belongs to the platform, so it is not closed
        raise
    inherited.setblocking(False)
    inherited.set_inheritable(False)
    return inherited


def adopt_socket(reactor: Any, listener: Any, inherited: socket.socket, factory: Any) -> Any:
    """Returns a listening port on the socket. Twisted duplicates the descriptor; the original one is closed."""
    port = listener._fromListeningDescriptor(reactor, inherited.fileno(), inherited.family, factory)
    inherited.close()
    port.startListening()
    return port
