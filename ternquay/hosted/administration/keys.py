"""Bearer tokens of the administration API: made once, kept as a digest, compared in constant time.

A token names whose it is, so that it is found without comparing secrets: `tq1.TENANT.KEY.SECRET`, with a dash for
TENANT where it is an operator's. The secret has 256 bits from the system's generator; the digest is SHA-256 of the
whole token, which needs no stretching at that length.
"""

import re
from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from secrets import token_urlsafe

from ternquay.hosted.tenants.registry import Registry
from ternquay.hosted.tenants.tenant import ApiKey, Scope

TOKEN_PATTERN = re.compile(r"tq1\.(-|[a-z][a-z0-9-]{0,47})\.([a-z][a-z0-9-]{0,47})\.([A-Za-z0-9_-]{43})")
NOBODY = bytes(32)


@dataclass(slots=True, frozen=True)
class Principal:
    """Whose call it is; an operator's has no tenant."""

    scope: Scope
    tenant: str
    key: str

    def __str__(self) -> str:
        return f"{self.tenant or 'operator'}/{self.key}"


class AccessDenied(Exception):
    """No such token, or no longer, or it does not allow that; the text says which without telling more."""

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.reason, self.status = reason, status


def digest_of(token: str) -> bytes:
    return sha256(token.encode()).digest()


def generate_token(tenant: str, name: str) -> str:
    """A new token; it is shown once and kept nowhere."""
    return f"tq1.{tenant or '-'}.{name}.{token_urlsafe(32)}"


def authenticate(token: str, registry: Registry, operators: tuple[ApiKey, ...], now: int) -> Principal:
    """Whose token it is at `now`, in wall-clock nanoseconds. Raises Denied."""
    found = TOKEN_PATTERN.fullmatch(token)
    tenant, name = (found[1], found[2]) if found else ("-", "")
    entry = registry.tenants.get(tenant)
    keys = operators if tenant == "-" else entry.tenant.keys if entry is not None else ()
    key = next((one for one in keys if one.name == name), None)
    # Compared whether there is such a key or not, as the time taken would tell.
    same = compare_digest(digest_of(token), key.digest if key is not None else NOBODY)
    if key is None or not same:
        raise AccessDenied("no such token", 401)
    if now < key.since:
        raise AccessDenied("the token is not valid yet", 401)
    if key.until and now >= key.until:
        raise AccessDenied("the token has expired", 401)
    return Principal(key.scope, "" if tenant == "-" else tenant, name)
