"""Frames, members and founding by themselves, and the peers' section of the file."""

from pathlib import Path
from random import Random

import msgspec
import pytest

from ternquay.consensus.founding import Founding
from ternquay.consensus.messages import Member, decoded
from ternquay.hosted.service import ServiceConfigError, read_service
from ternquay.peers.frames import DIGEST, FRAME_MOST, Dropped, Frame, Marks, What, opened, sealed
from ternquay.peers.members import COUNTER, Members

KEY, OTHER = b"k" * 32, b"o" * 32
FRAME = Frame(1, "f", "id", "a", "disk", 1 << COUNTER | 7, "b", Marks(1, True, 1, 5), What.PING, b"body")


def dropped(text: bytes, **terms: str) -> str:
    told = {"fleet": "f", "me": "b", "founded": "id"} | terms
    with pytest.raises(Dropped) as found:
        opened(text, KEY, **told)
    return str(found.value)


def test_a_frame_is_taken_whole_or_dropped_for_a_reason() -> None:
    text = sealed(FRAME, KEY)
    assert opened(text, KEY, "f", "b", "id") == opened(text, KEY, "f", "b", "") == FRAME
    assert dropped(sealed(FRAME, OTHER)) == "digest"
    assert dropped(text, fleet="g") == "fleet" and dropped(text, founded="other") == "fleet"
    assert dropped(text, me="c") == "address" and dropped(text, me="a") == "address"
    assert dropped(b"") == dropped(text[:DIGEST]) == dropped(b"x" * (FRAME_MOST + 1)) == "size"
    assert dropped(sealed(msgspec.structs.replace(FRAME, version=2), KEY)) == "version"
    for at in range(len(text)):
        assert dropped(text[:at] + bytes([text[at] ^ 1]) + text[at + 1 :]) == "digest"


def test_what_has_a_digest_and_is_no_frame_ends_nothing() -> None:
    import hmac

    drawn = Random(3)
    for n in range(300):
        body = drawn.randbytes(drawn.randrange(1, 60)) if n % 2 else msgspec.msgpack.encode([1, "f", n, {}])
        text = hmac.digest(KEY, body, "sha256")[:DIGEST] + body
        assert dropped(text) in ("form", "version")
        with pytest.raises(ValueError):
            decoded(body)


def heard(members: Members, boot: int, marks: Marks, disk: str = "disk", now: int = 0) -> str:
    frame = msgspec.structs.replace(FRAME, boot=boot, marks=marks, disk=disk)
    try:
        members.heard(frame, now)
    except Dropped as fault:
        return str(fault)
    return ""


def test_a_disk_that_holds_less_than_it_told_is_set_back_and_a_start_that_is_over_is_not_heard() -> None:
    members, boot = Members(("a",), 100), [n << COUNTER | n for n in range(9)]
    assert heard(members, boot[1], Marks(3, False, 2, 10)) == ""
    assert heard(members, boot[1], Marks(2, False, 2, 9)) == ""  # of one start: a message that was overtaken
    assert heard(members, boot[2], Marks(3, False, 2, 10)) == ""  # came back with all
    assert heard(members, boot[1], Marks(3, False, 2, 10)) == "start"
    for marks in (Marks(2, True, 2, 10), Marks(3, False, 1, 50), Marks(3, False, 2, 9)):
        assert heard(members, boot[3], marks) == "set back"
    assert heard(members, boot[3], Marks(9, True, 9, 99)) == "set back"  # whatever that start says later
    assert heard(members, boot[2] + 1, Marks(3, False, 2, 10)) == "set back"  # the counter's copy too
    assert heard(members, boot[1], Marks(), "another") == ""
    assert heard(Members(("b",), 100), boot[1], Marks()) == "stranger"


def test_suspicion_is_taken_back_by_a_late_word() -> None:
    members = Members(("a",), 100)
    assert members.believed(0) == {"a": "never heard"}
    heard(members, 1, Marks(), now=10)
    assert members.believed(109) == {"a": "alive"} and members.believed(110) == {"a": "suspected"}
    heard(members, 1, Marks(), now=300)
    assert members.believed(301) == {"a": "alive"}


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
