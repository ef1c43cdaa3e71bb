"""Calls of the administration API from the command line, over HTTP or TLS; blocking, one at a time."""

import http.client
import json
import ssl
import time
from collections.abc import Mapping
from dataclasses import dataclass
from secrets import token_hex
from typing import Any
from urllib.parse import urlsplit

TRIES, PAUSE = 4, 0.5
# What scripts may tell apart.
BAD, DENIED, NOT_THERE, CONFLICT, NOT_NOW = 2, 3, 4, 5, 6
CODES = {
    400: BAD,
    401: DENIED,
    403: DENIED,
    404: NOT_THERE,
    405: BAD,
    409: CONFLICT,
    412: CONFLICT,
    413: BAD,
    415: BAD,
    422: BAD,
    428: CONFLICT,
    429: NOT_NOW,
    500: NOT_NOW,
    503: NOT_NOW,
    504: NOT_NOW,
    507: NOT_NOW,
}


class CallFailed(Exception):
    """The call was not answered, or with a problem; `code` is the command's exit code."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code


@dataclass(slots=True, frozen=True)
class Target:
    url: str
    token: str
    ca: str = ""
    certificate: str = ""
    key: str = ""
    timeout: float = 75.0


@dataclass(slots=True)
class Answer:
    status: int
    body: Any
    version: int  # by its entity tag, 0 without one


class Caller:
    def __init__(self, target: Target) -> None:
        self.target = target
        parts = urlsplit(target.url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise CallFailed(f"--url: http://ADDRESS:PORT or https://... is wanted, not {target.url!r}", BAD)
        self.secure, self.host, self.port = parts.scheme == "https", parts.hostname, parts.port
        self.connection: http.client.HTTPConnection | None = None

    def _connect(self) -> http.client.HTTPConnection:
        if not self.secure:
            return http.client.HTTPConnection(self.host, self.port, timeout=self.target.timeout)
        try:
            context = ssl.create_default_context(cafile=self.target.ca or None)
            if self.target.certificate:
                context.load_cert_chain(self.target.certificate, self.target.key or None)
        except (OSError, ssl.SSLError) as fault:
            raise CallFailed(f"--ca, --certificate, --key: {fault}", BAD) from fault
        return http.client.HTTPSConnection(self.host, self.port, timeout=self.target.timeout, context=context)

    def close(self) -> None:
        """The next call makes a connection anew."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def call(self, method: str, path: str, body: Any = None, version: int = 0, key: str = "") -> Answer:
        """One call. A changing one has an Idempotency-Key of its own, so that it may be repeated when its answer was
        lost; what is told to come back later is, a few times."""
        headers = {"authorization": f"Bearer {self.target.token}", "accept": "application/json"}
        if method != "GET":
            headers["idempotency-key"] = key or token_hex(16)
        if version:
            headers["if-match"] = f'"{version}"' if version > 0 else "*"
        text = json.dumps(body) if body is not None else None
        if text is not None:
            headers["content-type"] = "application/json"
        for last in (False,) * (TRIES - 1) + (True,):
            try:
                status, found, told = self._send_once(method, path, text, headers)
            except (OSError, http.client.HTTPException) as fault:
                self.close()
                if last or isinstance(fault, ssl.SSLCertVerificationError):
                    raise CallFailed(f"{self.target.url}: {fault or type(fault).__name__}", NOT_NOW) from fault
                time.sleep(PAUSE)
                continue
            if status in (429, 503, 504) and not last:
                time.sleep(min(5.0, float(told.get("retry-after", 1))))
                continue
            return _read(status, found, told)
        raise AssertionError

    def _send_once(
        self, method: str, path: str, text: str | None, headers: Mapping[str, str]
    ) -> tuple[int, bytes, dict[str, str]]:
        if self.connection is None:
            self.connection = self._connect()
        self.connection.request(method, path, text, dict(headers))
        answer = self.connection.getresponse()
        body = answer.read()
        if answer.will_close:
            self.close()
        return answer.status, body, {name.lower(): value for name, value in answer.getheaders()}

    def pages(self, path: str, name: str) -> list[Any]:
        """All pages of a list."""
        found: list[Any] = []
        cursor = ""
        while True:
            body = self.call("GET", f"{path}?limit=200" + (f"&cursor={cursor}" if cursor else "")).body
            found += body[name]
            cursor = body.get("next", "")
            if not cursor:
                return found


def _read(status: int, body: bytes, told: Mapping[str, str]) -> Answer:
    try:
        found = json.loads(body) if body else None
    except ValueError:
        found = None
    if status >= 400:
        detail = found if isinstance(found, dict) else {}
        at = f"{detail['field']}: " if detail.get("field") else ""
        raise CallFailed(f"{status}: {at}{detail.get('detail', 'no reason given')}", CODES.get(status, NOT_NOW))
    tag = told.get("etag", "").strip('"')
    return Answer(status, found, int(tag) if tag.isdigit() else 0)
