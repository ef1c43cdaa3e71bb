"""Frames, the table of peers and the bootstrap of a fleet, and the peers section of the configuration file."""

from pathlib import Path
from random import Random

import msgspec
import pytest

from ternquay.consensus.bootstrap import Bootstrap
from ternquay.consensus.messages import Member, decode_message
from ternquay.hosted.service import ServiceConfigError, read_service
from ternquay.peers.frames import (
    DIGEST_BYTES,
    MAX_FRAME_BYTES,
    DurableState,
    Frame,
    FrameKind,
    FrameRejected,
    open_frame,
    seal,
)
from ternquay.peers.peer_table import BOOT_RANDOM_BITS, PeerTable

KEY, OTHER = b"k" * 32, b"o" * 32
FRAME = Frame(
    1, "f", "id", "a", "disk", 1 << BOOT_RANDOM_BITS | 7, "b", DurableState(1, True, 1, 5), FrameKind.PING, b"body"
)


def rejection_of(text: bytes, **terms: str) -> str:
    """The reason for which the frame is rejected."""
    arguments = {"fleet": "f", "me": "b", "fleet_id": "id"} | terms
    with pytest.raises(FrameRejected) as found:
        open_frame(text, KEY, **arguments)
    return str(found.value)


def test_a_frame_is_accepted_unchanged_or_rejected_with_a_reason() -> None:
    text = seal(FRAME, KEY)
    assert open_frame(text, KEY, "f", "b", "id") == open_frame(text, KEY, "f", "b", "") == FRAME
    assert rejection_of(seal(FRAME, OTHER)) == "digest"
    assert rejection_of(text, fleet="g") == "fleet" and rejection_of(text, fleet_id="other") == "fleet"
    assert rejection_of(text, me="c") == "address" and rejection_of(text, me="a") == "address"
    assert (
        rejection_of(b"") == rejection_of(text[:DIGEST_BYTES]) == rejection_of(b"x" * (MAX_FRAME_BYTES + 1)) == "size"
    )
    assert rejection_of(seal(msgspec.structs.replace(FRAME, version=2), KEY)) == "version"
    for at in range(len(text)):
        assert rejection_of(text[:at] + bytes([text[at] ^ 1]) + text[at + 1 :]) == "digest"


def test_authenticated_bytes_that_are_no_frame_are_rejected() -> None:
    import hmac

    random = Random(3)
    for n in range(300):
        body = random.randbytes(random.randrange(1, 60)) if n % 2 else msgspec.msgpack.encode([1, "f", n, {}])
        text = hmac.digest(KEY, body, "sha256")[:DIGEST_BYTES] + body
        assert rejection_of(text) in ("form", "version")
        with pytest.raises(ValueError):
            decode_message(body)


def record(peers: PeerTable, boot: int, durable: DurableState, disk: str = "disk", now: int = 0) -> str:
    """Records a frame and returns the reason for which it is rejected, "" if it is not."""
    frame = msgspec.structs.replace(FRAME, boot_id=boot, durable=durable, disk_id=disk)
    try:
        peers.record(frame, now)
    except FrameRejected as rejected:
        return str(rejected)
    return ""


def test_rolled_back_disks_and_superseded_starts_are_rejected() -> None:
    peers, boot = PeerTable(("a",), 100), [n << BOOT_RANDOM_BITS | n for n in range(9)]
    assert record(peers, boot[1], DurableState(3, False, 2, 10)) == ""
    assert record(peers, boot[1], DurableState(2, False, 2, 9)) == ""  # same start: a reordered frame
    assert record(peers, boot[2], DurableState(3, False, 2, 10)) == ""  # restarted with everything
    assert record(peers, boot[1], DurableState(3, False, 2, 10)) == "start"
    for durable in (DurableState(2, True, 2, 10), DurableState(3, False, 1, 50), DurableState(3, False, 2, 9)):
        assert record(peers, boot[3], durable) == "set back"
    assert record(peers, boot[3], DurableState(9, True, 9, 99)) == "set back"  # whatever that start reports later
    # A copy of the disk that was started with the same start counter.
    assert record(peers, boot[2] + 1, DurableState(3, False, 2, 10)) == "set back"
    assert record(peers, boot[1], DurableState(), "another") == ""
    assert record(PeerTable(("b",), 100), boot[1], DurableState()) == "stranger"


def test_a_late_frame_ends_a_suspicion() -> None:
    peers = PeerTable(("a",), 100)
    assert peers.reachability(0) == {"a": "never heard"}
    record(peers, 1, DurableState(), now=10)
    assert peers.reachability(109) == {"a": "alive"} and peers.reachability(110) == {"a": "suspected"}
    record(peers, 1, DurableState(), now=300)
    assert peers.reachability(301) == {"a": "alive"}


def test_a_fleet_bootstraps_once_all_members_reported_and_at_most_one_has_a_registry() -> None:
    names = ("a", "b", "c")
    bootstraps = [Bootstrap(Member(name, f"d{name}"), names, 5 if name == "b" else 0) for name in names]
    for one in bootstraps:
        assert one.record("b", "db", 5) is None and one.record("nobody", "dx", 0) is None
    ids = []
    for one in bootstraps:
        one.record("a", "da", 0)
        result = one.record("c", "dc", 0)
        assert result is not None and result[2] == "b" and [m.name for m in result[1].members] == ["a", "b", "c"]
        ids.append(result[0])
    assert len(set(ids)) == 1
    two = Bootstrap(Member("a", "da"), ("a", "b"), 3)
    assert two.record("b", "db", 4) is None and "a and b each have a registry" in two.conflict


MEMBERS = "".join(
    f'[[peers.members]]\nname = "{name}"\nplace = "127.0.0.1:{n}"\n' for n, name in enumerate("abc", 9001)
)
HEAD = '[store]\npath = "r.db"\n[peers]\nfleet = "f"\nme = "a"\nkey_file = "key"\n'


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (HEAD.replace('"a"', '"x"') + MEMBERS, "peers.me"),
        (HEAD + MEMBERS + MEMBERS, r"peers.members\[3\].name"),
        (HEAD + MEMBERS + '[[peers.members]]\nname = "d"\nplace = "127.0.0.1:9001"\n', r"peers.members\[3\].place"),
        (HEAD + MEMBERS.replace("9002", "99999"), r"peers.members\[1\].place"),
        (HEAD + 'alone = "guess"\n' + MEMBERS, "peers.alone"),
        (HEAD + "lease_ms = 1\n" + MEMBERS, "peers.lease_ms"),
        (HEAD + "colour = 1\n" + MEMBERS, "peers"),
        (HEAD + 'address = "here"\n' + MEMBERS, "peers.address"),
        (HEAD.replace('"key"', '"none"') + MEMBERS, "peers.key_file"),
        (HEAD.replace('"key"', '"short"') + MEMBERS, "peers.key_file"),
        (HEAD.partition("[peers]")[1] + HEAD.partition("[peers]")[2] + MEMBERS, "peers: a store"),
        ("[process]\nbalancers = 3\n" + HEAD + MEMBERS, "process.balancers"),
        (HEAD, "peers: .*members"),
    ],
)
def test_an_invalid_peers_section_is_reported_with_its_field(text: str, field: str, tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "short").write_bytes(b"k" * 15)
    file = tmp_path / "service.toml"
    file.write_text(text + "[end]\n")
    with pytest.raises(ServiceConfigError, match=f"{field}"):
        read_service(file)
    file.write_text(HEAD + MEMBERS + "[end]\n")
    service = read_service(file)
    assert service.fellows is not None and list(service.fellows.endpoints) == ["a", "b", "c"]
    assert (service.process.balancers, service.process.number) == (3, 0)
