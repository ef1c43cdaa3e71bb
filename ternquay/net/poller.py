"""An epoll object that retries registrations which the operating system refuses for lack of resources.

epoll_ctl(2) fails with ENOMEM, or with ENOSPC beyond the user's limit on watches. Twisted passes the exception to the
code that wanted to read or write, which permanently costs that connection, or an event of the balancer.
"""

from errno import ENOMEM, ENOSPC
from typing import Any

RETRY_SECONDS = 0.01  # the longest poll while registrations are pending
TRANSIENT_ERRORS = frozenset({ENOMEM, ENOSPC})


class RetryingPoller:
    """Wraps an epoll object, with the methods that Twisted uses."""

    def __init__(self, real: Any) -> None:
        self.real = real
        self.close = real.close
        self.unregistered: dict[int, int] = {}  # events by descriptor: not registered yet
        self.unmodified: dict[int, int] = {}  # events by descriptor: registered with other events

    def register(self, descriptor: int, events: int) -> None:
        """Registers a descriptor, now or as soon as possible."""
        try:
            self.real.register(descriptor, events)
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRORS:
                raise
            self.unregistered[descriptor] = events

    def modify(self, descriptor: int, events: int) -> None:
        """Changes the events of a descriptor, now or as soon as possible."""
        if descriptor in self.unregistered:
            self.unregistered[descriptor] = events
            return
        try:
            self.real.modify(descriptor, events)
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRORS:
                raise
            self.unmodified[descriptor] = events
        else:
            self.unmodified.pop(descriptor, None)

    def unregister(self, descriptor: int) -> None:
        """Unregisters a descriptor."""
        self.unmodified.pop(descriptor, None)
        if self.unregistered.pop(descriptor, None) is None:
            self.real.unregister(descriptor)

    def poll(self, timeout: float, *args: Any) -> Any:
        """Waits for events, with a shorter timeout while registrations are pending."""
        if self.unregistered or self.unmodified:
            self._retry()
            timeout = RETRY_SECONDS if timeout < 0 else min(RETRY_SECONDS, timeout)
        return self.real.poll(timeout, *args)

    def _retry(self) -> None:
        unregistered, self.unregistered = self.unregistered, {}
        unmodified, self.unmodified = self.unmodified, {}
        for descriptor, events in unregistered.items():
            self.register(descriptor, events)
        for descriptor, events in unmodified.items():
            self.modify(descriptor, events)
