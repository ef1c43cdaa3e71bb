"""Parses the host list of discovery, and addresses. A list is parsed completely before any of it is used."""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from ternquay import model as m
from ternquay.facts import parse_choice, parse_number
from ternquay.net.limits import MS

STATUS_BY_PHASE = {"up": m.HostStatus.READY, "draining": m.HostStatus.DRAINING, "removed": m.HostStatus.GONE}
MAX_REVISION = 2**53  # every JSON parser represents integers up to this one exactly
MAX_TIME_MS = 253_402_300_799_999  # the end of the year 9999


class FieldError(ValueError):
    """A document from outside is invalid. The message names the field."""


@dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One entry of the host list. Zone and kind are names, the weight and the start as in model.ListedHost."""

    id: str
    address: Address
    zone: str
    kind: str
    cell: int
    status: m.HostStatus
    weight: float
    started_at: int
    cold_fraction: float = 1.0


def parse_address(text: Any, field: str) -> Address:
    """Parses `host:port`, where the host is an IP address. Raises FieldError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    # Longer digit strings are rejected before the conversion, which would be slow and may raise.
    valid = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536
    try:
        # Host names are rejected: Twisted would resolve them in a thread, and the platform has no DNS.
        ip_address(host)
    except ValueError:
        valid = False
    if not valid:
        raise FieldError(f"{field}: an address and a port are wanted, not {text!r:.60}")
    return Address(host, int(port))


def parse_host_entry(document: Any, at: str, clock_offset: int) -> HostEntry:
    """Parses one entry; `at` is its path for messages. Raises FieldError, KeyError or ValueError."""
    if not isinstance(document, dict):
        raise FieldError(f"{at}: an object is wanted, not {document!r:.40}")
    name = document.get("id")
    if not isinstance(name, str) or not name:
        raise FieldError(f"{at}.id: a name is wanted, not {name!r:.40}")
    started_ms = int(parse_number(document, "up_since_ms", at, 0, MAX_TIME_MS, 0))
    return HostEntry(
        id=name,
        address=parse_address(document.get("host_port"), f"{at}.host_port"),
        zone=str(document.get("locality", "")),
        kind=str(document.get("flavor", "")),
        cell=int(parse_number(document, "cell", at, 0, MAX_REVISION, 0)),
        status=parse_choice(document, "phase", at, STATUS_BY_PHASE),
        weight=float(parse_number(document, "size", at, 0, 1e6, 0.0)),
        started_at=started_ms * MS - clock_offset if started_ms else 0,
    )


def parse_list(document: Any, clock_offset: int) -> tuple[int, bool, tuple[HostEntry, ...]]:
    """Returns the revision, whether the list is complete, and its entries. Raises FieldError.

    `clock_offset` is subtracted from the start times.
    """
    if not isinstance(document, dict) or not isinstance(document.get("members"), list):
        raise FieldError("members: a list is wanted")
    if not isinstance(document.get("complete"), bool):
        # Any other value that counts as true would make the list complete, and all hosts that it lacks would be gone.
        raise FieldError(f"complete: true or false is wanted, not {document.get('complete')!r:.40}")
    try:
        revision = int(parse_number(document, "revision", "", 0, MAX_REVISION))
        members = tuple(
            parse_host_entry(entry, f"members[{i}]", clock_offset) for i, entry in enumerate(document["members"])
        )
    except KeyError as fault:
        raise FieldError(f"{fault.args[0]}: is missing") from fault
    except ValueError as fault:
        raise FieldError(str(fault)) from fault
    seen: dict[str, int] = {}
    for i, member in enumerate(members):
        if seen.setdefault(member.id, i) != i:
            # It is unknown which of the two entries is right, and one of them may be a drain.
            raise FieldError(f"members[{i}].id: {member.id!r:.40} is members[{seen[member.id]}] already")
    return revision, document["complete"], members
