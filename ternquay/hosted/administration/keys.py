"""Bearer tokens of the administration API: shown once, stored as a digest, compared in constant time.

A token has the form `tq1.TENANT.KEY.SECRET`, with a dash for TENANT in an operator's token. It names its key, so that
the key is found without comparing secrets. The secret has 256 bits from the system's random generator. The digest is
the SHA-256 of the whole token; a secret of that length needs no key stretching.
"""

import re
from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from secrets import token_urlsafe

from ternquay.hosted.tenants.registry import Registry
from ternquay.hosted.tenants.tenant import ApiKey, Scope

TOKEN_PATTERN = re.compile(r"tq1\.(-|[a-z][a-z0-9-]{0,47})\.([a-z][a-z0-9-]{0,47})\.([A-Za-z0-9_-]{43})")
UNKNOWN_KEY_DIGEST = bytes(32)


@dataclass(slots=True, frozen=True)
class Principal:
    """The authenticated key of a call. `tenant` is empty for an operator's key."""

    scope: Scope
    tenant: str
    key: str

    def __str__(self) -> str:
        return f"{self.tenant or 'operator'}/{self.key}"


class AccessDenied(Exception):
    """The token is missing, unknown, expired, or lacks the permission. `reason` reveals no more than which of these."""

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.reason, self.status = reason, status


def digest_of(token: str) -> bytes:
    """Returns the digest under which the token is stored."""
    return sha256(token.encode()).digest()


def generate_token(tenant: str, name: str) -> str:
    """Returns a new token, which is not stored."""
    return f"tq1.{tenant or '-'}.{name}.{token_urlsafe(32)}"


def authenticate(token: str, registry: Registry, operators: tuple[ApiKey, ...], now: int) -> Principal:
    """Returns the principal of the token. `now` is in wall-clock nanoseconds. Raises AccessDenied."""
    match = TOKEN_PATTERN.fullmatch(token)
    tenant, name = (match[1], match[2]) if match else ("-", "")
    entry = registry.tenants.get(tenant)
    keys = operators if tenant == "-" else entry.tenant.keys if entry is not None else ()
    key = next((candidate for candidate in keys if candidate.name == name), None)
    # Compares even if there is no such key, because the time taken would otherwise reveal which keys exist.
    equal = compare_digest(digest_of(token), key.digest if key is not None else UNKNOWN_KEY_DIGEST)
    if key is None or not equal:
        raise AccessDenied("no such token", 401)
    if now < key.since:
        raise AccessDenied("the token is not valid yet", 401)
    if key.until and now >= key.until:
        raise AccessDenied("the token has expired", 401)
    return Principal(key.scope, "" if tenant == "-" else tenant, name)
