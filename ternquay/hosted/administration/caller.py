"""A blocking client of the administration API over HTTP or TLS, for the command line."""

import http.client
import json
import ssl
import time
from collections.abc import Mapping
from dataclasses import dataclass
from secrets import token_hex
from typing import Any
from urllib.parse import urlsplit

MAX_TRIES = 4
RETRY_DELAY_SECONDS = 0.5
# The command's exit codes, which scripts rely on.
EXIT_BAD_INPUT = 2
EXIT_DENIED = 3
EXIT_NOT_FOUND = 4
EXIT_CONFLICT = 5
EXIT_UNAVAILABLE = 6
EXIT_CODES = {
    400: EXIT_BAD_INPUT,
    401: EXIT_DENIED,
    403: EXIT_DENIED,
    404: EXIT_NOT_FOUND,
    405: EXIT_BAD_INPUT,
    409: EXIT_CONFLICT,
    412: EXIT_CONFLICT,
    413: EXIT_BAD_INPUT,
    415: EXIT_BAD_INPUT,
    422: EXIT_BAD_INPUT,
    428: EXIT_CONFLICT,
    429: EXIT_UNAVAILABLE,
    500: EXIT_UNAVAILABLE,
    503: EXIT_UNAVAILABLE,
    504: EXIT_UNAVAILABLE,
    507: EXIT_UNAVAILABLE,
}


class CallFailed(Exception):
    """The call got no response, or a problem. `code` is the command's exit code."""

    def __init__(self, payload: str, code: int) -> None:
        super().__init__(payload)
        self.code = code


@dataclass(slots=True, frozen=True)
class Target:
    """The API and the credentials for it. `ca`, `certificate` and `key` are PEM files; `timeout` is in seconds."""

    url: str
    token: str
    ca: str = ""
    certificate: str = ""
    key: str = ""
    timeout: float = 75.0


@dataclass(slots=True)
class Answer:
    """The response to a call."""

    status: int
    body: Any
    version: int  # from the entity tag, 0 without one


class Caller:
    """Makes calls one at a time over a persistent connection. Raises CallFailed for an invalid URL."""

    def __init__(self, target: Target) -> None:
        self.target = target
        parts = urlsplit(target.url)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise CallFailed(f"--url: http://ADDRESS:PORT or https://... is wanted, not {target.url!r}", EXIT_BAD_INPUT)
        self.secure, self.host, self.port = parts.scheme == "https", parts.hostname, parts.port
        self.connection: http.client.HTTPConnection | None = None

    def _connect(self) -> http.client.HTTPConnection:
        if not self.secure:
            return http.client.HTTPConnection(self.host, self.port, timeout=self.target.timeout)
        try:
            context = ssl.create_default_context(cafile=self.target.ca or None)
            if self.target.certificate:
                context.load_cert_chain(self.target.certificate, self.target.key or None)
        except (OSError, ssl.SSLError) as error:
            raise CallFailed(f"--ca, --certificate, --key: {error}", EXIT_BAD_INPUT) from error
        return http.client.HTTPSConnection(self.host, self.port, timeout=self.target.timeout, context=context)

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def call(self, method: str, path: str, body: Any = None, version: int = 0, key: str = "") -> Answer:
        """Makes a call and retries it a few times after lost connections and responses that ask to retry later.

        A change carries an idempotency key, which makes the retry safe when the response was lost. `version` goes as
        If-Match: 0 omits it, a negative one matches any version. Raises CallFailed.
        """
        headers = {"authorization": f"Bearer {self.target.token}", "accept": "application/json"}
        if method != "GET":
            headers["idempotency-key"] = key or token_hex(16)
        if version:
            headers["if-match"] = f'"{version}"' if version > 0 else "*"
        payload = json.dumps(body) if body is not None else None
        if payload is not None:
            headers["content-type"] = "application/json"
        for is_last_try in (False,) * (MAX_TRIES - 1) + (True,):
            try:
                status, content, response_headers = self._send_once(method, path, payload, headers)
            except (OSError, http.client.HTTPException) as error:
                self.close()
                if is_last_try or isinstance(error, ssl.SSLCertVerificationError):
                    raise CallFailed(f"{self.target.url}: {error or type(error).__name__}", EXIT_UNAVAILABLE) from error
                time.sleep(RETRY_DELAY_SECONDS)
                continue
            if status in (429, 503, 504) and not is_last_try:
                time.sleep(min(5.0, float(response_headers.get("retry-after", 1))))
                continue
            return _read(status, content, response_headers)
        raise AssertionError

    def _send_once(
        self, method: str, path: str, payload: str | None, headers: Mapping[str, str]
    ) -> tuple[int, bytes, dict[str, str]]:
        if self.connection is None:
            self.connection = self._connect()
        self.connection.request(method, path, payload, dict(headers))
        response = self.connection.getresponse()
        body = response.read()
        if response.will_close:
            self.close()
        return response.status, body, {name.lower(): value for name, value in response.getheaders()}

    def pages(self, path: str, name: str) -> list[Any]:
        """Returns the items of all pages of a list."""
        content: list[Any] = []
        cursor = ""
        while True:
            body = self.call("GET", f"{path}?limit=200" + (f"&cursor={cursor}" if cursor else "")).body
            content += body[name]
            cursor = body.get("next", "")
            if not cursor:
                return content


def _read(status: int, body: bytes, response_headers: Mapping[str, str]) -> Answer:
    try:
        value = json.loads(body) if body else None
    except ValueError:
        value = None
    if status >= 400:
        detail = value if isinstance(value, dict) else {}
        field = f"{detail['field']}: " if detail.get("field") else ""
        raise CallFailed(
            f"{status}: {field}{detail.get('detail', 'no reason given')}", EXIT_CODES.get(status, EXIT_UNAVAILABLE)
        )
    etag = response_headers.get("etag", "").strip('"')
    return Answer(status, value, int(etag) if etag.isdigit() else 0)
