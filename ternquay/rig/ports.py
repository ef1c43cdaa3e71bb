"""Ports for the processes of a play, or of a test, that nobody else gets before they are bound."""

import socket
from pathlib import Path
from random import SystemRandom

DRAW, TOLD = SystemRandom(), set[tuple[str, int]]()  # of free_place, and what it has told


def drawn_from() -> int:
    """The first of the ports that the system gives by itself, to who connects and who binds none."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return 32768


def free_place(address: str) -> str:
    """A port that is free on TCP and UDP, and stays so until it is bound: it was told once, and the system gives it to
    nobody. Against one of the system's own, which whoever connects or binds next may get meanwhile."""
    above = drawn_from()
    ports = range(1024, above) if above > 2048 else range(1024, 65536)
    while True:
        port = DRAW.choice(ports)
        if (address, port) in TOLD:
            continue
        try:
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind((address, port))
                datagrams.bind((address, port))
        except OSError:
            continue
        TOLD.add((address, port))
        return f"{address}:{port}"
