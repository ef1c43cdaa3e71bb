"""The protocol's machines: bytes in odd cuts, no sockets."""

import pytest

from ternquay.net import meta
from ternquay.net.limits import MIB
from tests.helper import check_trace

ID = b"O9b1f03aa5c7e2d41"
READ = b"mg k1 v " + ID + b" Pc=read,d=480\r\n"
WRITE = b"ms k2 5 " + ID + b" Pc=once,d=480,k=5c0f\r\nhello\r\n"
CUTS = (1, 2, 3, 5, 64, MIB)


def pieces(data: bytes, cut: int) -> list[bytes]:
    return [data[at : at + cut] for at in range(0, len(data), cut)]


def client(data: bytes, cut: int) -> list[str]:
    side, found = meta.RequestParser(400, 70), []
    for piece in pieces(data, cut):
        found += side.feed(piece)
    return [f"{x.forward(77)!r}" if isinstance(x, meta.Command) else repr(x) for x in found]


def host(data: bytes, cut: int, *asked: bytes) -> list[str]:
    side, found = meta.ResponseParser(200, 70), list[meta.Answer]()
    reader = meta.RequestParser(200, 70)
    for command in reader.feed(b"".join(asked)):
        assert isinstance(command, meta.Command)
        side.expect(command)
    for piece in pieces(data, cut):
        found += [x for x in side.feed(piece) if isinstance(x, meta.Answer)]
    fault = [f"fault: {side.fault}"] if side.fault else []
    return [f"{x.outcome.name} {x.body!r} note {x.cache_result}" for x in found] + fault


def test_commands_are_read_alike_however_they_are_cut() -> None:
    data = READ + b"mn\r\n" + WRITE + b"ms k3 0 " + ID + b" Pc=mark,d=9,r=1,size=3\r\n\r\n" + READ
    assert len({tuple(client(data, cut)) for cut in CUTS}) == 1
    check_trace("net_commands", client(data, 7))


@pytest.mark.parametrize("size", [0, 65536])
def test_the_smallest_and_the_largest_value_pass_whole(size: int) -> None:
    value = bytes(range(256)) * (size // 256)
    side = meta.RequestParser(2048, 65536)
    sent = b"ms k %d " % size + ID + b" Pc=once,d=480\r\n" + value + b"\r\n"
    found = [x for piece in pieces(sent, 1000) for x in side.feed(piece)]
    assert isinstance(found[0], meta.Command) and found[0].value == value and side.is_idle()
    assert found[0].forward(480) == sent
    back = meta.ResponseParser(2048, 65536)
    command = meta.RequestParser(2048, 65536).feed(READ)[0]
    assert isinstance(command, meta.Command)
    back.expect(command)
    answer = b"VA %d " % size + ID + b" h1\r\n" + value + b"\r\n"
    got = [x for piece in pieces(answer, 999) for x in back.feed(piece)]
    assert [x.body for x in got if isinstance(x, meta.Answer)] == [value] and not back.fault and not back.buffer
    assert meta.committed(command, value) == answer.replace(b" h1", b"")


BAD = [
    b"get k1\r\n",
    b"\r\n",
    b"mg\r\n",
    b"mg " + b"k" * 251 + b" v " + ID + b" Pc=read,d=4\r\n",
    b"mg k v Pc=read,d=4\r\n",
    b"mg k v O Pc=read,d=4\r\n",
    b"mg k v O1\r\n",
    b"mg k v O1 Pread\r\n",
    b"mg k v O1 Pd=4\r\n",
    b"mg k v O1 Pc=read\r\n",
    b"mg k v O1 Pc=read,d=-4\r\n",
    b"mg k v O1 Pc=read,d=0\r\n",
    b"mg k v O1 Pc=read,d=4,d=5\r\n",
    b"mg k v O1 Pc=r\xff,d=4\r\n",
    b"ms k 5 O1\r\nhello\r\n",
    b"ms k five O1 Pc=once,d=4\r\n",
    b"ms k 71 O1 Pc=once,d=4\r\n",
    b"ms k -1 O1 Pc=once,d=4\r\n",
    b"ms k 5 O1 Pc=once,d=4\r\nhello!!\r\n",
    b"m" * 450,
    b"mg k\x01 v O1 Pc=read,d=4\r\n",
    b"mg k v q O1 Pc=read,d=4\r\n",
    b"mg k O1 Pc=read,d=4\r\n",
    b"mg k v O1 Pc=read,d=4,k=\x7f\r\n",
    b"ms k 5 v O1 Pc=once,d=4\r\nhello\r\n",
]


def test_what_is_no_command_is_told_and_what_follows_is_read_where_it_can_be() -> None:
    trace = []
    for data in BAD:
        said = {tuple(client(data + READ, cut)) for cut in CUTS}
        assert len(said) == 1
        trace += [f"{data[:60]!r}", *(f"    {x}" for x in said.pop())]
    check_trace("net_bad_commands", trace)


def test_answers_are_read_alike_however_they_are_cut() -> None:
    data = (
        b"VA 2 "
        + ID
        + b" h0 Z\r\n\r\n\r\nSERVER_ERROR busy 30\r\nHD "
        + ID
        + b" cabc\r\nSERVER_ERROR failed\r\nVA 0 "
        + ID
        + b"\r\n\r\n"
    )
    asked = (READ, READ, WRITE, WRITE, READ)
    assert len({tuple(host(data, cut, *asked)) for cut in CUTS}) == 1
    check_trace("net_answers", host(data, 7, *asked))


def test_what_is_no_answer_is_a_fault_after_the_whole_answers_before_it() -> None:
    whole, trace = b"VA 1 " + ID + b" h1\r\nx\r\n", []
    for bad in (
        b"EN\r\n",
        b"HD " + ID + b" c1\r\n",
        b"VA 1 O2\r\nx\r\n",
        b"VA 99 " + ID + b"\r\n",
        b"\r\n",
        b"VA x " + ID + b"\r\n",
        b"VA 1 " + ID + b"\r\nxyz\r\n",
        b"CLIENT_ERROR no\r\n",
        b"V" * 250,
        whole + b"more\r\n",
    ):
        said = {tuple(host(whole + bad, cut, READ, READ)) for cut in CUTS}
        assert len(said) == 1
        trace += [f"{bad[:60]!r}", *(f"    {x}" for x in said.pop())]
    check_trace("net_bad_answers", trace)
