"""The operators' address: is this process ready, take it out of service, take it in again.

    GET  /control/ready            POST /control/out-of-service            POST /control/in-service
    GET  /control/metrics          GET  /control/events

The table of calls is pure; the port is a thin driver. Callers that send nothing, or half a call, hold up nobody: at the
bound of connections the oldest that has sent no whole call is closed for the one that comes.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.error import CannotListenError

from ternquay.net.config import ConfigError
from ternquay.net.http import Channel, IncomingRequest, RequestLimits, RequestPort
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address

PATH_MOST = 512
PLAIN = {"content-type": "text/plain; charset=utf-8", "cache-control": "no-store"}


class Managed(Protocol):
    """The service as operators see it. Each tells why not, or nothing."""

    def not_ready_reason(self) -> str: ...

    def out_of_service(self) -> str: ...

    def in_service(self) -> str: ...

    def metrics(self) -> str:
        """Counts of closes, refusals, retries and violations, a line each."""
        ...

    def events(self) -> str:
        """The latest of these, a line each."""
        ...


def calls(service: Managed) -> dict[str, tuple[str, Callable[[], str], str, int]]:
    """By path: the method, the step, what is said when it is done, and the status when it is not."""
    return {
        "/control/ready": ("GET", service.not_ready_reason, "ready", 503),
        "/control/out-of-service": ("POST", service.out_of_service, "out of service", 409),
        "/control/in-service": ("POST", service.in_service, "in service", 409),
    }


def reports(service: Managed) -> dict[str, Callable[[], str]]:
    """By path: what is read and changes nothing."""
    return {"/control/metrics": service.metrics, "/control/events": service.events}


def answered(service: Managed, method: str, target: str) -> tuple[int, str, dict[str, str]]:
    """Status, line and headers for one call."""
    path = target.partition("?")[0]
    if len(target) > PATH_MOST:
        return 414, "the path is too long", {}
    report = reports(service).get(path)
    if report is not None:
        return (200, report(), {}) if method == "GET" else (405, "GET is wanted", {"allow": "GET"})
    known = calls(service).get(path)
    if known is None:
        return 404, "no such call", {}
    wanted, step, done, otherwise = known
    if method != wanted:
        return 405, f"{wanted} is wanted", {"allow": wanted}
    why = step()
    return (otherwise, why, {}) if why else (200, done, {})


class ManagementPort(RequestPort):
    def __init__(self, reactor: Any, service: Managed, limits: Limits) -> None:
        # The two that may be accepted in one step beyond the bound are closed in the next.
        super().__init__(
            RequestLimits(
                body_bytes=1024, connections=limits.management_connections, idle_seconds=2, single_request=True
            )
        )
        self.reactor, self.service, self.request_timeout = reactor, service, limits.management_timeout
        self.port: Any = None

    def begin(self, where: Address) -> None:
        """Raises ConfigError."""
        try:
            self.port = self.reactor.listenTCP(where.port, self, 64, where.host)
        except CannotListenError as fault:
            raise ConfigError(f"management: {where}: {fault.socketError}") from fault
        self.port.accept_limit = lambda: 2

    def channel_opened(self, channel: Channel) -> None:
        super().channel_opened(channel)
        # By its age and not its silence: a byte a second is no call either.
        self.reactor.callLater(self.request_timeout / SECOND, self._overdue, channel)
        if len(self.channels) > self.request_limits.connections:
            oldest = next(iter(self.channels))
            del self.channels[oldest]
            oldest.transport.abortConnection()

    def _overdue(self, channel: Channel) -> None:
        if self.channels.pop(channel, self) is None:
            channel.transport.abortConnection()

    def request_received(self, request: IncomingRequest) -> None:
        status, line, headers = answered(self.service, request.method.decode("latin-1"), request.uri.decode("latin-1"))
        request.reply(status, line.encode() + b"\n", {**PLAIN, **headers})

    def error_response(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        return detail.encode() + b"\n", PLAIN

    def end(self) -> Any:
        return self.port.stopListening()
