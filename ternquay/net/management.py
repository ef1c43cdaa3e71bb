"""The management address: readiness, drain, and reports for operators.

    GET  /control/ready            POST /control/out-of-service            POST /control/in-service
    GET  /control/metrics          GET  /control/events

The table of requests performs no I/O; the port only connects it with the HTTP server. Callers that send nothing or an
incomplete request block nobody: at the limit of connections the oldest without a complete request is closed.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.error import CannotListenError

from ternquay.net.config import ConfigError
from ternquay.net.http import Channel, IncomingRequest, RequestLimits, RequestPort
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address

MAX_PATH_LENGTH = 512
TEXT_HEADERS = {"content-type": "text/plain; charset=utf-8", "cache-control": "no-store"}


class ManagedService(Protocol):
    """The interface of the service for operators. The first three return why not, or an empty string."""

    def not_ready_reason(self) -> str: ...

    def out_of_service(self) -> str: ...

    def in_service(self) -> str: ...

    def metrics(self) -> str:
        """Returns counts of closes, refusals, retries and violations, one per line."""
        ...

    def events(self) -> str:
        """Returns the latest of these events, one per line."""
        ...


def actions(service: ManagedService) -> dict[str, tuple[str, Callable[[], str], str, int]]:
    """Returns for each path the method, the action, the body on success and the status on failure."""
    return {
        "/control/ready": ("GET", service.not_ready_reason, "ready", 503),
        "/control/out-of-service": ("POST", service.out_of_service, "out of service", 409),
        "/control/in-service": ("POST", service.in_service, "in service", 409),
    }


def reports(service: ManagedService) -> dict[str, Callable[[], str]]:
    """Returns for each path the report to read."""
    return {"/control/metrics": service.metrics, "/control/events": service.events}


def respond(service: ManagedService, method: str, target: str) -> tuple[int, str, dict[str, str]]:
    """Handles one request. Returns the status, the line of the body and the headers."""
    path = target.partition("?")[0]
    if len(target) > MAX_PATH_LENGTH:
        return 414, "the path is too long", {}
    report = reports(service).get(path)
    if report is not None:
        return (200, report(), {}) if method == "GET" else (405, "GET is wanted", {"allow": "GET"})
    action = actions(service).get(path)
    if action is None:
        return 404, "no such call", {}
    allowed, run, done, failure_status = action
    if method != allowed:
        return 405, f"{allowed} is wanted", {"allow": allowed}
    reason = run()
    return (failure_status, reason, {}) if reason else (200, done, {})


class ManagementPort(RequestPort):
    """The listener of the management address."""

    def __init__(self, reactor: Any, service: ManagedService, limits: Limits) -> None:
        # Two more callers than the limit may be accepted at once; channel_opened() closes the oldest ones.
        super().__init__(
            RequestLimits(
                body_bytes=1024, connections=limits.management_connections, idle_seconds=2, single_request=True
            )
        )
        self.reactor, self.service, self.request_timeout = reactor, service, limits.management_timeout
        self.port: Any = None

    def begin(self, address: Address) -> None:
        """Listens. Raises ConfigError."""
        try:
            self.port = self.reactor.listenTCP(address.port, self, 64, address.host)
        except CannotListenError as fault:
            raise ConfigError(f"management: {address}: {fault.socketError}") from fault
        self.port.accept_limit = lambda: 2

    def channel_opened(self, channel: Channel) -> None:
        super().channel_opened(channel)
        # The limit is on the age of the connection and not on its silence, which a byte per second would evade.
        self.reactor.callLater(self.request_timeout / SECOND, self._close_if_incomplete, channel)
        if len(self.channels) > self.request_limits.connections:
            oldest = next(iter(self.channels))
            del self.channels[oldest]
            oldest.transport.abortConnection()

    def _close_if_incomplete(self, channel: Channel) -> None:
        if self.channels.pop(channel, self) is None:
            channel.transport.abortConnection()

    def request_received(self, request: IncomingRequest) -> None:
        status, line, headers = respond(self.service, request.method.decode("latin-1"), request.uri.decode("latin-1"))
        request.reply(status, line.encode() + b"\n", {**TEXT_HEADERS, **headers})

    def error_response(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        return detail.encode() + b"\n", TEXT_HEADERS

    def end(self) -> Any:
        """Stops listening."""
        return self.port.stopListening()
