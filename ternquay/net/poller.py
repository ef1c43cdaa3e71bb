"""An epoll object that keeps what the system refuses to register, and registers it as soon as it can.

epoll_ctl(2) fails with ENOMEM, or with ENOSPC past the limit on watches of a user. The library lets the error through
to whoever was about to read or write, which costs that connection, or an event of the decisions, for good.
"""

from errno import ENOMEM, ENOSPC
from typing import Any

AGAIN = 0.01  # seconds that a poll waits at most while something is to be registered
PASSING = frozenset({ENOMEM, ENOSPC})


class RetryingPoller:
    """Has the methods of an epoll object that the library uses."""

    def __init__(self, real: Any) -> None:
        self.real = real
        self.close = real.close
        self.unregistered: dict[int, int] = {}  # events by descriptor: the system does not know these
        self.unmodified: dict[int, int] = {}  # it has other events for these

    def register(self, descriptor: int, events: int) -> None:
        """Has the events of a new descriptor told, from now or from soon on."""
        try:
            self.real.register(descriptor, events)
        except OSError as fault:
            if fault.errno not in PASSING:
                raise
            self.unregistered[descriptor] = events

    def modify(self, descriptor: int, events: int) -> None:
        """Has other events of a descriptor told, from now or from soon on."""
        if descriptor in self.unregistered:
            self.unregistered[descriptor] = events
            return
        try:
            self.real.modify(descriptor, events)
        except OSError as fault:
            if fault.errno not in PASSING:
                raise
            self.unmodified[descriptor] = events
        else:
            self.unmodified.pop(descriptor, None)

    def unregister(self, descriptor: int) -> None:
        """Has nothing of a descriptor told any more."""
        self.unmodified.pop(descriptor, None)
        if self.unregistered.pop(descriptor, None) is None:
            self.real.unregister(descriptor)

    def poll(self, timeout: float, *args: Any) -> Any:
        """Waits for events; sooner over while something is to be registered."""
        if self.unregistered or self.unmodified:
            self._again()
            timeout = AGAIN if timeout < 0 else min(AGAIN, timeout)
        return self.real.poll(timeout, *args)

    def _again(self) -> None:
        unregistered, self.unregistered = self.unregistered, {}
        unmodified, self.unmodified = self.unmodified, {}
        for descriptor, events in unregistered.items():
            self.register(descriptor, events)
        for descriptor, events in unmodified.items():
            self.modify(descriptor, events)
