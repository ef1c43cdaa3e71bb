"""An HTTP/1.1 server based on Twisted's, with limits on everything that a caller may send.

Lines, headers, bodies, connections and the time for a request are limited. A caller that exceeds a limit gets an error
response and is closed; a body that is too long by its content-length is rejected before it arrives. Subclasses of
RequestPort handle the requests and format errors: the management address (net/management.py) and the administration
API (hosted/administration/http.py).
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web import http


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """The limits of a port."""

    body_bytes: int
    connections: int
    idle_seconds: int  # without a byte, and from the first byte of a request to its last
    single_request: bool = False  # per connection
    header_bytes: int = 8192
    header_lines: int = 64


class IncomingRequest(http.Request):
    """A request, which Twisted parses."""

    channel: Any
    rejected = False
    body_received = 0

    def gotLength(self, length: int | None) -> None:
        if length is not None and length > self.channel.port.request_limits.body_bytes:
            self._too_large()
        else:
            super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        # A chunked body has no length in advance, so it is cut off where it exceeds the limit.
        if self.rejected:
            return
        self.body_received += len(data)
        if self.body_received > self.channel.port.request_limits.body_bytes:
            self._too_large()
        else:
            super().handleContentChunk(data)

    def _too_large(self) -> None:
        self.rejected = True
        self.channel.reject(413, f"a body has up to {self.channel.port.request_limits.body_bytes} bytes")

    def process(self) -> None:
        if not self.rejected:
            self.channel.request_complete()
            self.channel.port.request_received(self)

    def reply(self, status: int, body: bytes, headers: Mapping[str, str]) -> None:
        """Sends the response, unless the caller has gone or already has one."""
        if self._disconnected or self.finished:
            return
        self.setResponseCode(status)
        for name, value in headers.items():
            self.setHeader(name.encode(), value.encode())
        self.setHeader(b"content-length", b"%d" % len(body))
        if self.method != b"HEAD":
            self.write(body)
        self.finish()


class Channel(http.HTTPChannel):
    """A connection of a caller."""

    requestFactory = IncomingRequest
    transport: Any

    def __init__(self, port: "RequestPort") -> None:
        super().__init__()
        self.port, limits = port, port.request_limits
        self.factory = port
        self.timeOut, self.totalHeadersSize, self.maxHeaders = (
            limits.idle_seconds,
            limits.header_bytes,
            limits.header_lines,
        )
        self.MAX_LENGTH = limits.header_bytes
        self.has_request = False  # a complete request has arrived
        self.answering = False  # a complete request has no response yet; Twisted handles one at a time
        self.request_timer: Any = None  # limits the time of a request that is not complete

    def connectionMade(self) -> None:
        super().connectionMade()
        self.port.channel_opened(self)

    def dataReceived(self, data: bytes) -> None:
        # Twisted's own timeout restarts with each byte, so one byte per second would hold a connection for ever.
        if self.request_timer is None and not self.answering:
            self.request_timer = self.port.reactor.callLater(
                self.port.request_limits.idle_seconds, self.forceAbortClient
            )
        super().dataReceived(data)

    def request_complete(self) -> None:
        """A complete request has arrived."""
        self.has_request = self.answering = True
        self._cancel_timer()

    def requestDone(self, request: Any) -> None:
        self.answering = False
        super().requestDone(request)

    def _cancel_timer(self) -> None:
        if self.request_timer is not None and self.request_timer.active():
            self.request_timer.cancel()
        self.request_timer = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._cancel_timer()
        self.port.channels.pop(self, None)
        super().connectionLost(reason)

    def checkPersistence(self, request: Any, version: bytes) -> bool:
        if not self.port.request_limits.single_request:
            return bool(super().checkPersistence(request, version))
        request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        return False

    def lineLengthExceeded(self, line: bytes) -> None:
        # Twisted would close without a response.
        self.reject(431, f"a line has up to {self.MAX_LENGTH} bytes")

    def reject(self, status: int, detail: str) -> None:
        """Sends an error response before the request is complete, and closes the connection."""
        body, headers = self.port.error_response(status, detail)
        head = b"HTTP/1.1 %d %b\r\n" % (status, http.RESPONSES.get(status, b"Turned away"))
        lines = {**headers, "content-length": str(len(body)), "connection": "close"}
        self.transport.write(
            head
            + b"".join(b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in lines.items())
            + b"\r\n"
            + body
        )
        self.transport.loseConnection()


class RequestPort(ServerFactory):
    """A factory of the connections of one listening port."""

    noisy = False
    reactor: Any

    def __init__(self, limits: RequestLimits) -> None:
        self.request_limits = limits
        self.channels: dict[Channel, None] = {}  # open connections, the oldest first

    def buildProtocol(self, addr: Any) -> Any:
        return Channel(self)

    def channel_opened(self, channel: Channel) -> None:
        """Called for each new connection."""
        self.channels[channel] = None

    def request_received(self, request: IncomingRequest) -> None:
        """Handles a complete request."""
        raise NotImplementedError

    def error_response(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        """Returns the body and the headers of an error response."""
        raise NotImplementedError

    def log(self, request: Any) -> None:
        """Suppresses Twisted's access log."""
