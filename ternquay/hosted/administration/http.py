"""The administration API on sockets: the calls of net/http.py, with a rate, a certificate and documents.

Who is over the rate is told so and cut off, and connections are accepted at that rate.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

import orjson
from loguru import logger
from twisted.internet.error import CannotListenError

from ternquay.hosted.administration.api import Call, Reply, problem
from ternquay.hosted.administration.changes import ChangeExecutor
from ternquay.hosted.service import ApiDocument, ServiceConfig
from ternquay.hosted.shared.fairness import SECOND, TokenBucket
from ternquay.hosted.tenants.documents import format_endpoint
from ternquay.hosted.tenants.tenant import InvalidField
from ternquay.net.http import Channel, IncomingRequest, RequestLimits, RequestPort

QUERY_MOST = 1024
PATH_MOST = 512


def call_of(call_in: IncomingRequest) -> Call | Reply:
    path, _, query = call_in.uri.decode("latin-1").partition("?")
    if len(path) > PATH_MOST or len(query) > QUERY_MOST:
        return problem(400, "the path is too long")
    headers = {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in call_in.requestHeaders.getAllRawHeaders()
    }
    try:
        told = dict(parse_qsl(query, max_num_fields=16, errors="strict"))
    except ValueError:
        return problem(400, "the query can't be read")
    body = call_in.content.read() if call_in.content is not None else b""
    peer = getattr(call_in.getClientAddress(), "host", "")
    return Call(call_in.method.decode("latin-1"), path, told, headers, body, peer)


def written(reply: Reply) -> tuple[bytes, dict[str, str]]:
    """Its body and headers."""
    body = orjson.dumps(reply.body) if reply.body is not None else b""
    return body, {"content-type": "application/json", "cache-control": "no-store", **reply.headers}


def answer(call_in: IncomingRequest, reply: Reply) -> None:
    body, headers = written(reply)
    call_in.reply(reply.status, body, headers)


def limits_of(api: ApiDocument) -> RequestLimits:
    return RequestLimits(
        body_bytes=api.body_bytes, connections=api.connections, idle_seconds=max(1, api.idle_ms // 1000)
    )


class ApiPort(RequestPort):
    """The listener of the API."""

    def __init__(self, reactor: Any, service: ServiceConfig, executor: ChangeExecutor) -> None:
        assert service.api is not None
        super().__init__(limits_of(service.api))
        self.reactor, self.service, self.executor = reactor, service, executor
        self.api: ApiDocument = service.api
        self.calls = TokenBucket(self.api.calls_a_second, float(self.api.burst))
        self.comers = TokenBucket(self.api.calls_a_second, float(self.api.burst))  # connections, at the same rate
        self.certificate: Any = None
        self.port: Any = None

    def buildProtocol(self, addr: Any) -> Any:
        wait = self.comers.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # This one still comes in; the next wait to be accepted.
            self.port.stopReading()
            self.reactor.callLater(wait / SECOND, self._open)
        return super().buildProtocol(addr)

    def channel_opened(self, channel: Channel) -> None:
        super().channel_opened(channel)
        if len(self.channels) > self.request_limits.connections:
            channel.reject(503, "too many connections")

    def _open(self) -> None:
        if self.port.connected and not self.port.disconnecting:
            self.port.startReading()

    def error_response(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        return written(problem(status, detail, headers={"retry-after": "1"} if status == 503 else None))

    def begin(self) -> None:
        where = self.service.listen
        assert where is not None
        try:
            if self.api.tls is not None:
                from ternquay.hosted.administration.tls import Certificate

                self.certificate = Certificate(self.api, Path(self.service.path).parent)
                self.port = self.reactor.listenSSL(where.port, self, self.certificate, 64, where.host)
            else:
                self.port = self.reactor.listenTCP(where.port, self, 64, where.host)
        except CannotListenError as fault:
            raise InvalidField("api.listen", f"can't be bound: {fault.socketError}") from fault
        logger.info("the administration API listens on {}", format_endpoint(where))

    def reload(self, service: ServiceConfig) -> None:
        """Raises ServiceConfigError where the certificate can't be used; then the old one stays."""
        assert service.api is not None
        if self.certificate is not None and service.api.tls is not None:
            self.certificate.reload(service.api)
        self.api, self.request_limits = service.api, limits_of(service.api)
        self.calls.change(int(self.reactor.seconds() * SECOND), self.api.calls_a_second, float(self.api.burst))

    def end(self) -> None:
        self.port.stopListening()

    # ---- calls ----

    def request_received(self, call_in: IncomingRequest) -> None:
        wait = self.calls.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # Against calls that were written in advance: each of them would be read and answered in one go.
            channel = call_in.channel  # the library takes it away with the answer
            call_in.setHeader(b"connection", b"close")
            answer(call_in, problem(429, "too many calls", headers={"retry-after": str(wait // SECOND + 1)}))
            channel.loseConnection()
            return
        call = call_of(call_in)
        if isinstance(call, Reply):
            return answer(call_in, call)
        self.executor.call(call).addCallback(lambda reply: answer(call_in, reply)).addErrback(
            lambda failure: logger.error("an answer failed: {}", failure.getTraceback())
        )
