"""What the operating system does with connection requests that reach a listening socket: socket filters for it.

Closing a listening socket resets the connections in its accept queue, whose clients may have sent requests. A filter
that drops connection requests (TCP segments with SYN) ends the supply while the queue is emptied: a client that
connects meanwhile has no connection, and its system asks again after a second. Source: socket(7), SO_ATTACH_FILTER and
SO_ATTACH_REUSEPORT_CBPF; the numbers of the options and instructions are those of Linux on x86-64 and arm64.
"""

from array import array
from socket import SO_REUSEPORT, SOL_SOCKET, socket
from struct import pack
from typing import NamedTuple

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
SO_ATTACH_REUSEPORT_CBPF = 51
LOAD_BYTE = 0x30  # BPF_LD | BPF_B | BPF_ABS
JUMP_IF_SET = 0x45  # BPF_JMP | BPF_JSET | BPF_K
RETURN = 0x06  # BPF_RET | BPF_K
TCP_FLAGS_OFFSET = 13
TCP_SYN = 0x02
WHOLE_PACKET = 0xFFFFFFFF


class Instruction(NamedTuple):
    """One instruction of a classic BPF program, in the order of the fields of struct sock_filter."""

    code: int
    jump_true: int = 0
    jump_false: int = 0
    operand: int = 0


DROP_CONNECTION_REQUESTS = (
    Instruction(LOAD_BYTE, operand=TCP_FLAGS_OFFSET),
    Instruction(JUMP_IF_SET, jump_false=1, operand=TCP_SYN),
    Instruction(RETURN, operand=0),
    Instruction(RETURN, operand=WHOLE_PACKET),
)


def block_connection_requests(listener: socket) -> bool:
    """Has connection requests ignored. Returns whether the operating system does so."""
    return _attach(listener, SO_ATTACH_FILTER, DROP_CONNECTION_REQUESTS)


def allow_connection_requests(listener: socket) -> None:
    """Has connection requests answered again. Raises OSError if the system can't."""
    listener.setsockopt(SOL_SOCKET, SO_DETACH_FILTER, 0)


def share_address(listener: socket) -> None:
    """Lets another socket of this user listen on the same address, if that asks for it too. Raises OSError."""
    listener.setsockopt(SOL_SOCKET, SO_REUSEPORT, 1)


def direct_connection_requests(listener: socket, position: int) -> bool:
    """Has all connection requests for a shared address go to one of its listeners, counted from 0 by their start.

    Returns whether the operating system does so; else it spreads them.
    """
    return _attach(listener, SO_ATTACH_REUSEPORT_CBPF, (Instruction(RETURN, operand=position),))


def _attach(listener: socket, option: int, program: tuple[Instruction, ...]) -> bool:
    code = array("B", b"".join(pack("HBBI", *instruction) for instruction in program))
    address, _ = code.buffer_info()
    try:
        listener.setsockopt(SOL_SOCKET, option, pack("@HP", len(program), address))
    except OSError:
        return False
    return True
