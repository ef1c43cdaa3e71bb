"""Calls over HTTP/1.1 by the library, with bounds of our own on all that a caller may send.

Lines, headers, bodies, connections and the time of a half call are bounded; what passes a bound is told so and
closed, a body by its length before it comes. Who stands behind the calls, and what an answer looks like, is the
port's: the operators' address (net/management.py), the administration API (hosted/administration/http.py).
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web import http


@dataclass(slots=True, frozen=True)
class CallLimits:
    """Sizes in bytes, times in seconds."""

    body: int
    connections: int
    idle: int  # without a byte, and from the first byte of a call to its last
    one_call: bool = False  # to a connection
    headers: int = 8192
    lines: int = 64


class CallIn(http.Request):
    """One call as it comes in; the library reads it."""

    channel: Any
    turned = False
    came = 0

    def gotLength(self, length: int | None) -> None:
        if length is not None and length > self.channel.port.call_limits.body:
            self._too_large()
        else:
            super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        # One without a length, in chunks, is cut off where it passes the bound.
        if self.turned:
            return
        self.came += len(data)
        if self.came > self.channel.port.call_limits.body:
            self._too_large()
        else:
            super().handleContentChunk(data)

    def _too_large(self) -> None:
        self.turned = True
        self.channel.turn_away(413, f"a body has up to {self.channel.port.call_limits.body} bytes")

    def process(self) -> None:
        if not self.turned:
            self.channel.whole()
            self.channel.port.called(self)

    def reply(self, status: int, body: bytes, headers: Mapping[str, str]) -> None:
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
    """One connection of a caller."""

    requestFactory = CallIn
    transport: Any

    def __init__(self, port: "CallPort") -> None:
        super().__init__()
        self.port, limits = port, port.call_limits
        self.factory = port
        self.timeOut, self.totalHeadersSize, self.maxHeaders = limits.idle, limits.headers, limits.lines
        self.MAX_LENGTH = limits.headers
        self.called = False  # a whole call has come
        self.answering = False  # a call is whole and has no answer yet; the library takes one at a time
        self.overdue: Any = None  # the timer of a call that is not whole

    def connectionMade(self) -> None:
        super().connectionMade()
        self.port.came(self)

    def dataReceived(self, data: bytes) -> None:
        # The library's own time begins anew with each byte: a byte a second would hold a place for ever.
        if self.overdue is None and not self.answering:
            self.overdue = self.port.reactor.callLater(self.port.call_limits.idle, self.forceAbortClient)
        super().dataReceived(data)

    def whole(self) -> None:
        """A call has come whole."""
        self.called = self.answering = True
        self._in_time()

    def requestDone(self, request: Any) -> None:
        self.answering = False
        super().requestDone(request)

    def _in_time(self) -> None:
        if self.overdue is not None and self.overdue.active():
            self.overdue.cancel()
        self.overdue = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._in_time()
        self.port.all.pop(self, None)
        super().connectionLost(reason)

    def checkPersistence(self, request: Any, version: bytes) -> bool:
        if not self.port.call_limits.one_call:
            return bool(super().checkPersistence(request, version))
        request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        return False

    def lineLengthExceeded(self, line: bytes) -> None:
        # Against the library, which closes without a word.
        self.turn_away(431, f"a line has up to {self.MAX_LENGTH} bytes")

    def turn_away(self, status: int, detail: str) -> None:
        """Before a call is whole: answered, and the connection closed."""
        body, headers = self.port.told(status, detail)
        head = b"HTTP/1.1 %d %b\r\n" % (status, http.RESPONSES.get(status, b"Turned away"))
        lines = {**headers, "content-length": str(len(body)), "connection": "close"}
        self.transport.write(
            head
            + b"".join(b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in lines.items())
            + b"\r\n"
            + body
        )
        self.transport.loseConnection()


class CallPort(ServerFactory):
    """A listener for calls."""

    noisy = False
    reactor: Any

    def __init__(self, limits: CallLimits) -> None:
        self.call_limits = limits
        self.all: dict[Channel, None] = {}  # the oldest first

    def buildProtocol(self, addr: Any) -> Any:
        return Channel(self)

    def came(self, channel: Channel) -> None:
        self.all[channel] = None

    def called(self, call: CallIn) -> None:
        """A call is whole."""
        raise NotImplementedError

    def told(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        """The body and the headers of an answer to what was turned away."""
        raise NotImplementedError

    def log(self, request: Any) -> None:
        """The library's line for each call."""
