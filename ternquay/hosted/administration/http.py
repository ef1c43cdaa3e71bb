"""The listener of the administration API, built on net/http.py, with a rate limit and TLS.

Calls beyond the rate get status 429 and their connection is closed. New connections are accepted at the same rate.
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

MAX_QUERY_LENGTH = 1024
MAX_PATH_LENGTH = 512


def parse_call(request: IncomingRequest) -> Call | Reply:
    """Returns the call of a request, or the problem with it."""
    path, _, query = request.uri.decode("latin-1").partition("?")
    if len(path) > MAX_PATH_LENGTH or len(query) > MAX_QUERY_LENGTH:
        return problem(400, "the path is too long")
    headers = {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    try:
        parameters = dict(parse_qsl(query, max_num_fields=16, errors="strict"))
    except ValueError:
        return problem(400, "the query can't be read")
    body = request.content.read() if request.content is not None else b""
    peer = getattr(request.getClientAddress(), "host", "")
    return Call(request.method.decode("latin-1"), path, parameters, headers, body, peer)


def encode_reply(reply: Reply) -> tuple[bytes, dict[str, str]]:
    """Returns the body and the headers of the reply."""
    body = orjson.dumps(reply.body) if reply.body is not None else b""
    return body, {"content-type": "application/json", "cache-control": "no-store", **reply.headers}


def send_reply(request: IncomingRequest, reply: Reply) -> None:
    body, headers = encode_reply(reply)
    request.reply(reply.status, body, headers)


def request_limits_from(api: ApiDocument) -> RequestLimits:
    return RequestLimits(
        body_bytes=api.body_bytes, connections=api.connections, idle_seconds=max(1, api.idle_ms // 1000)
    )


class ApiPort(RequestPort):
    """Accepts connections and hands their calls to the executor."""

    def __init__(self, reactor: Any, service: ServiceConfig, executor: ChangeExecutor) -> None:
        assert service.api is not None
        super().__init__(request_limits_from(service.api))
        self.reactor, self.service, self.executor = reactor, service, executor
        self.api: ApiDocument = service.api
        self.call_rate = TokenBucket(self.api.calls_a_second, float(self.api.burst))
        self.connection_rate = TokenBucket(self.api.calls_a_second, float(self.api.burst))  # accepted connections
        self.certificate: Any = None
        self.port: Any = None

    def buildProtocol(self, addr: Any) -> Any:
        wait = self.connection_rate.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # Accepts this connection and pauses before the next.
            self.port.stopReading()
            self.reactor.callLater(wait / SECOND, self._resume_accepting)
        return super().buildProtocol(addr)

    def channel_opened(self, channel: Channel) -> None:
        super().channel_opened(channel)
        if len(self.channels) > self.request_limits.connections:
            channel.reject(503, "too many connections")

    def _resume_accepting(self) -> None:
        if self.port.connected and not self.port.disconnecting:
            self.port.startReading()

    def error_response(self, status: int, detail: str) -> tuple[bytes, Mapping[str, str]]:
        return encode_reply(problem(status, detail, headers={"retry-after": "1"} if status == 503 else None))

    def begin(self) -> None:
        """Starts listening. Raises InvalidField for the address and ServiceConfigError for the certificate."""
        endpoint = self.service.listen
        assert endpoint is not None
        try:
            if self.api.tls is not None:
                from ternquay.hosted.administration.tls import Certificate

                self.certificate = Certificate(self.api, Path(self.service.path).parent)
                self.port = self.reactor.listenSSL(endpoint.port, self, self.certificate, 64, endpoint.host)
            else:
                self.port = self.reactor.listenTCP(endpoint.port, self, 64, endpoint.host)
        except CannotListenError as error:
            raise InvalidField("api.listen", f"can't be bound: {error.socketError}") from error
        logger.info("the administration API listens on {}", format_endpoint(endpoint))

    def reload(self, service: ServiceConfig) -> None:
        """Applies new settings. Raises ServiceConfigError, and changes nothing, if the certificate is unusable."""
        assert service.api is not None
        if self.certificate is not None and service.api.tls is not None:
            self.certificate.reload(service.api)
        self.api, self.request_limits = service.api, request_limits_from(service.api)
        self.call_rate.change(int(self.reactor.seconds() * SECOND), self.api.calls_a_second, float(self.api.burst))

    def end(self) -> None:
        self.port.stopListening()

    # ---- calls ----

    def request_received(self, request: IncomingRequest) -> None:
        wait = self.call_rate.take(int(self.reactor.seconds() * SECOND))
        if wait:
            # Closing stops pipelined calls, all of which would otherwise be read and answered in one turn of the loop.
            channel = request.channel  # the library clears it once the reply is sent
            request.setHeader(b"connection", b"close")
            send_reply(request, problem(429, "too many calls", headers={"retry-after": str(wait // SECOND + 1)}))
            channel.loseConnection()
            return
        call = parse_call(request)
        if isinstance(call, Reply):
            return send_reply(request, call)
        self.executor.call(call).addCallback(lambda reply: send_reply(request, reply)).addErrback(
            lambda failure: logger.error("could not send a reply: {}", failure.getTraceback())
        )
