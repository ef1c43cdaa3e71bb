"""The administration API on sockets: HTTP/1.1 by the library, with bounds of our own on all that a caller may send.

Connections, header lines, bodies, calls a second and the time that a half call may take are bounded. Who is over the
rate is told so and cut off, and connections are accepted at that rate; bodies too large are turned away by their
length, before they come.
"""

from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import orjson
from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from ternquay.hosted.api import Call, Reply, problem
from ternquay.hosted.changes import Keeper
from ternquay.hosted.documents import place_text
from ternquay.hosted.fairness import SECOND, Bucket
from ternquay.hosted.service import ApiDocument, Service
from ternquay.hosted.tenant import Unfit

HEADERS_MOST, LINES_MOST, QUERY_MOST = 8192, 64, 1024
PATH_MOST = 512


class CallIn(http.Request):
    """One call as it comes in; the library reads it."""

    channel: Any
    turned: Reply | None = None

    def gotLength(self, length: int | None) -> None:
        most = self.channel.port.api.body_bytes
        if length is not None and length > most:
            self.turned = problem(413, f"a body has up to {most} bytes")
            self.channel.port.turn_away(self.channel, self.turned)
            return
        self.came = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        # One without a length, in chunks, is cut off where it passes the bound.
        if self.turned is not None:
            return
        self.came += len(data)
        most = self.channel.port.api.body_bytes
        if self.came > most:
            self.turned = problem(413, f"a body has up to {most} bytes")
            self.channel.port.turn_away(self.channel, self.turned)
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        if self.turned is not None:
            return
        self.channel.port.called(self)

    def call(self) -> Call | Reply:
        path, _, query = self.uri.decode("latin-1").partition("?")
        if len(path) > PATH_MOST or len(query) > QUERY_MOST:
            return problem(400, "the path is too long")
        headers = {name.decode("latin-1").lower(): values[-1].decode("latin-1")
                   for name, values in self.requestHeaders.getAllRawHeaders()}
        try:
            told = dict(parse_qsl(query, max_num_fields=16, errors="strict"))
        except ValueError:
            return problem(400, "the query can't be read")
        body = self.content.read() if self.content is not None else b""
        peer = getattr(self.getClientAddress(), "host", "")
        return Call(self.method.decode("latin-1"), path, told, headers, body, peer)

    def answer(self, reply: Reply) -> None:
        if self._disconnected or self.finished:
            return
        body = orjson.dumps(reply.body) if reply.body is not None else b""
        self.setResponseCode(reply.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"cache-control", b"no-store")
        for name, value in reply.headers.items():
            self.setHeader(name.encode(), value.encode())
        self.setHeader(b"content-length", b"%d" % len(body))
        if self.method != b"HEAD":
            self.write(body)
        self.finish()


class Channel(http.HTTPChannel):
    """One connection of a caller."""

    requestFactory = CallIn
    totalHeadersSize = HEADERS_MOST
    maxHeaders = LINES_MOST

    def __init__(self, port: "ApiPort") -> None:
        super().__init__()
        self.port = port
        self.timeOut = max(1, port.api.idle_ms // 1000)

    def connectionMade(self) -> None:
        super().connectionMade()
        self.port.all.add(self)
        if len(self.port.all) > self.port.api.connections:
            self.port.turn_away(self, problem(503, "too many connections", headers={"retry-after": "1"}))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.port.all.discard(self)
        super().connectionLost(reason)


class ApiPort(http.HTTPFactory):
    """The listener of the API."""

    noisy = False
    reactor: Any

    def __init__(self, reactor: Any, service: Service, keeper: Keeper) -> None:
        super().__init__(reactor=reactor)
        assert service.api is not None
        self.service, self.keeper = service, keeper
        self.api: ApiDocument = service.api
        self.all: set[Channel] = set()
        self.calls = Bucket(self.api.calls_a_second, float(self.api.burst))
        self.comers = Bucket(self.api.calls_a_second, float(self.api.burst))  # connections, at the same rate
        self.certificate: Any = None
        self.port: Any = None

    def buildProtocol(self, addr: Any) -> Any:
        wait = self.comers.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # This one still comes in; the next wait to be accepted.
            self.port.stopReading()
            self.reactor.callLater(wait / SECOND, self._open)
        channel = Channel(self)
        channel.factory = self
        return channel

    def _open(self) -> None:
        if self.port.connected and not self.port.disconnecting:
            self.port.startReading()

    def log(self, request: Any) -> None:
        """The library's line for each call; ours are the audit log's."""

    def begin(self) -> None:
        where = self.service.listen
        assert where is not None
        try:
            if self.api.tls is not None:
                from ternquay.hosted.tls import Certificate
                self.certificate = Certificate(self.api, Path(self.service.path).parent)
                self.port = self.reactor.listenSSL(where.port, self, self.certificate, 64, where.host)
            else:
                self.port = self.reactor.listenTCP(where.port, self, 64, where.host)
        except CannotListenError as fault:
            raise Unfit("api.listen", f"can't be bound: {fault.socketError}") from fault
        logger.info("the administration API listens on {}", place_text(where))

    def reload(self, service: Service) -> None:
        """Raises ServiceError where the certificate can't be used; then the old one stays."""
        assert service.api is not None
        if self.certificate is not None and service.api.tls is not None:
            self.certificate.reload(service.api)
        self.api = service.api
        self.calls.change(int(self.reactor.seconds() * SECOND), self.api.calls_a_second, float(self.api.burst))

    def end(self) -> None:
        self.port.stopListening()

    # ---- calls ----

    def called(self, call_in: CallIn) -> None:
        wait = self.calls.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # Against calls that were written in advance: each of them would be read and answered in one go.
            channel = call_in.channel  # the library takes it away with the answer
            call_in.setHeader(b"connection", b"close")
            call_in.answer(problem(429, "too many calls", headers={"retry-after": str(wait // SECOND + 1)}))
            channel.loseConnection()
            return
        call = call_in.call()
        if isinstance(call, Reply):
            return call_in.answer(call)
        self.keeper.call(call).addCallback(call_in.answer).addErrback(
            lambda failure: logger.error("an answer failed: {}", failure.getTraceback()))

    def turn_away(self, channel: Any, reply: Reply) -> None:
        """Before a call is whole: answered, and the connection closed."""
        body = orjson.dumps(reply.body)
        head = b"HTTP/1.1 %d %b\r\n" % (reply.status, http.RESPONSES.get(reply.status, b"Turned away"))
        lines = {**reply.headers, "content-length": str(len(body)), "connection": "close"}
        told = b"".join(b"%b: %b\r\n" % (name.encode(), value.encode()) for name, value in lines.items())
        channel.transport.write(head + told + b"\r\n" + body)
        channel.transport.loseConnection()


