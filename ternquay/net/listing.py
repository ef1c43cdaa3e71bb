"""The list of cache hosts in discovery's form, read whole before any of it is kept; and addresses as they are told."""

from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from ternquay import model as m
from ternquay.facts import parse_choice, parse_number
from ternquay.net.limits import MS

STATUS_BY_PHASE = {"up": m.HostStatus.READY, "draining": m.HostStatus.DRAINING, "removed": m.HostStatus.GONE}
MAX_REVISION = 2**53  # what any reader of JSON still tells apart
MAX_TIME_MS = 253_402_300_799_999  # the year 9999, in milliseconds


class FieldError(ValueError):
    """What was told from outside can't be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class HostEntry:
    """One line of the list of cache hosts, by its names."""

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
    """Raises FieldError."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    # More digits than a port has are not even converted, which would take long and may raise.
    good = port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536
    try:
        # Against a name: it would be looked up in a thread, where there is no DNS.
        ip_address(host)
    except ValueError:
        good = False
    if not good:
        raise FieldError(f"{field}: an address and a port are wanted, not {text!r:.60}")
    return Address(host, int(port))


def parse_host_entry(told: Any, at: str, clock_offset: int) -> HostEntry:
    """Raises FieldError, KeyError or ValueError."""
    if not isinstance(told, dict):
        raise FieldError(f"{at}: an object is wanted, not {told!r:.40}")
    name = told.get("id")
    if not isinstance(name, str) or not name:
        raise FieldError(f"{at}.id: a name is wanted, not {name!r:.40}")
    started_ms = int(parse_number(told, "up_since_ms", at, 0, MAX_TIME_MS, 0))
    return HostEntry(
        id=name,
        address=parse_address(told.get("host_port"), f"{at}.host_port"),
        zone=str(told.get("locality", "")),
        kind=str(told.get("flavor", "")),
        cell=int(parse_number(told, "cell", at, 0, MAX_REVISION, 0)),
        status=parse_choice(told, "phase", at, STATUS_BY_PHASE),
        weight=float(parse_number(told, "size", at, 0, 1e6, 0.0)),
        started_at=started_ms * MS - clock_offset if started_ms else 0,
    )


def parse_list(told: Any, clock_offset: int) -> tuple[int, bool, tuple[HostEntry, ...]]:
    """The revision, whether the list is whole, and its members. Raises FieldError."""
    if not isinstance(told, dict) or not isinstance(told.get("members"), list):
        raise FieldError("members: a list is wanted")
    if not isinstance(told.get("complete"), bool):
        # Against a word that counts as true: the list would seem whole, and all that it lacks gone.
        raise FieldError(f"complete: true or false is wanted, not {told.get('complete')!r:.40}")
    try:
        revision = int(parse_number(told, "revision", "", 0, MAX_REVISION))
        members = tuple(parse_host_entry(one, f"members[{i}]", clock_offset) for i, one in enumerate(told["members"]))
    except KeyError as fault:
        raise FieldError(f"{fault.args[0]}: is missing") from fault
    except ValueError as fault:
        raise FieldError(str(fault)) from fault
    seen: dict[str, int] = {}
    for i, member in enumerate(members):
        if seen.setdefault(member.id, i) != i:
            # Which of the two counts nobody can tell, and one of them may be a drain.
            raise FieldError(f"members[{i}].id: {member.id!r:.40} is members[{seen[member.id]}] already")
    return revision, told["complete"], members
