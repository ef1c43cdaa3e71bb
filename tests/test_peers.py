"""Frames, members and founding by themselves, and the peers' section of the file."""

from pathlib import Path
from random import Random

import msgspec
import pytest

from ternquay.consensus.founding import Founding
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


def dropped(text: bytes, **terms: str) -> str:
    told = {"fleet": "f", "me": "b", "fleet_id": "id"} | terms
    with pytest.raises(FrameRejected) as found:
        open_frame(text, KEY, **told)
    return str(found.value)


def test_a_frame_is_taken_whole_or_dropped_for_a_reason() -> None:
    text = seal(FRAME, KEY)
    assert open_frame(text, KEY, "f", "b", "id") == open_frame(text, KEY, "f", "b", "") == FRAME
    assert dropped(seal(FRAME, OTHER)) == "digest"
    assert dropped(text, fleet="g") == "fleet" and dropped(text, fleet_id="other") == "fleet"
    assert dropped(text, me="c") == "address" and dropped(text, me="a") == "address"
    assert dropped(b"") == dropped(text[:DIGEST_BYTES]) == dropped(b"x" * (MAX_FRAME_BYTES + 1)) == "size"
    assert dropped(seal(msgspec.structs.replace(FRAME, version=2), KEY)) == "version"
    for at in range(len(text)):
        assert dropped(text[:at] + bytes([text[at] ^ 1]) + text[at + 1 :]) == "digest"


def test_what_has_a_digest_and_is_no_frame_ends_nothing() -> None:
    import hmac

    drawn = Random(3)
    for n in range(300):
        body = drawn.randbytes(drawn.randrange(1, 60)) if n % 2 else msgspec.msgpack.encode([1, "f", n, {}])
        text = hmac.digest(KEY, body, "sha256")[:DIGEST_BYTES] + body
        assert dropped(text) in ("form", "version")
        with pytest.raises(ValueError):
            decode_message(body)


def heard(peers: PeerTable, boot: int, durable: DurableState, disk: str = "disk", now: int = 0) -> str:
    frame = msgspec.structs.replace(FRAME, boot_id=boot, durable=durable, disk_id=disk)
    try:
        peers.record(frame, now)
    except FrameRejected as fault:
        return str(fault)
    return ""


def test_a_disk_that_holds_less_than_it_told_is_set_back_and_a_start_that_is_over_is_not_heard() -> None:
    peers, boot = PeerTable(("a",), 100), [n << BOOT_RANDOM_BITS | n for n in range(9)]
    assert heard(peers, boot[1], DurableState(3, False, 2, 10)) == ""
    assert heard(peers, boot[1], DurableState(2, False, 2, 9)) == ""  # of one start: a message that was overtaken
    assert heard(peers, boot[2], DurableState(3, False, 2, 10)) == ""  # came back with all
    assert heard(peers, boot[1], DurableState(3, False, 2, 10)) == "start"
    for durable in (DurableState(2, True, 2, 10), DurableState(3, False, 1, 50), DurableState(3, False, 2, 9)):
        assert heard(peers, boot[3], durable) == "set back"
    assert heard(peers, boot[3], DurableState(9, True, 9, 99)) == "set back"  # whatever that start says later
    assert heard(peers, boot[2] + 1, DurableState(3, False, 2, 10)) == "set back"  # the counter's copy too
    assert heard(peers, boot[1], DurableState(), "another") == ""
    assert heard(PeerTable(("b",), 100), boot[1], DurableState()) == "stranger"


def test_suspicion_is_taken_back_by_a_late_word() -> None:
    peers = PeerTable(("a",), 100)
    assert peers.reachability(0) == {"a": "never heard"}
    heard(peers, 1, DurableState(), now=10)
    assert peers.reachability(109) == {"a": "alive"} and peers.reachability(110) == {"a": "suspected"}
    heard(peers, 1, DurableState(), now=300)
    assert peers.reachability(301) == {"a": "alive"}


def test_a_fleet_is_founded_once_all_are_heard_and_one_may_bring_a_registry() -> None:
    names = ("a", "b", "c")
    found = [Founding(Member(name, f"d{name}"), names, 5 if name == "b" else 0) for name in names]
    for one in found:
        assert one.heard("b", "db", 5) is None and one.heard("nobody", "dx", 0) is None
    ids = []
    for one in found:
        one.heard("a", "da", 0)
        told = one.heard("c", "dc", 0)
        assert told is not None and told[2] == "b" and [m.name for m in told[1].members] == ["a", "b", "c"]
        ids.append(told[0])
    assert len(set(ids)) == 1
    two = Founding(Member("a", "da"), ("a", "b"), 3)
    assert two.heard("b", "db", 4) is None and "a and b each have a registry" in two.conflict


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
def test_what_the_file_says_of_peers_and_can_not_be_used_is_told_by_its_field(
    text: str, field: str, tmp_path: Path
) -> None:
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
