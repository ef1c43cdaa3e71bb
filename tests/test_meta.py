"""The protocol parsers: data split at arbitrary points, without sockets."""

import pytest

from ternquay.net import meta
from ternquay.net.limits import MIB
from tests.helper import check_trace

ID = b"O9b1f03aa5c7e2d41"
READ = b"mg k1 v " + ID + b" Pc=read,d=480\r\n"
WRITE = b"ms k2 5 " + ID + b" Pc=once,d=480,k=5c0f\r\nhello\r\n"
CUTS = (1, 2, 3, 5, 64, MIB)


def split(data: bytes, cut: int) -> list[bytes]:
    return [data[at : at + cut] for at in range(0, len(data), cut)]


def client(data: bytes, cut: int) -> list[str]:
    parser, found = meta.RequestParser(400, 70), []
    for piece in split(data, cut):
        found += parser.feed(piece)
    return [f"{x.forward(77)!r}" if isinstance(x, meta.Command) else repr(x) for x in found]


def host(data: bytes, cut: int, *asked: bytes) -> list[str]:
    parser, found = meta.ResponseParser(200, 70), list[meta.Answer]()
    reader = meta.RequestParser(200, 70)
    for command in reader.feed(b"".join(asked)):
        assert isinstance(command, meta.Command)
        parser.expect(command)
    for piece in split(data, cut):
        found += [x for x in parser.feed(piece) if isinstance(x, meta.Answer)]
    fault = [f"fault: {parser.fault}"] if parser.fault else []
    return [f"{x.outcome.name} {x.body!r} note {x.cache_result}" for x in found] + fault


def test_commands_parse_the_same_however_the_data_is_split() -> None:
    data = READ + b"mn\r\n" + WRITE + b"ms k3 0 " + ID + b" Pc=mark,d=9,r=1,size=3\r\n\r\n" + READ
    assert len({tuple(client(data, cut)) for cut in CUTS}) == 1
    check_trace("net_commands", client(data, 7))


@pytest.mark.parametrize("size", [0, 65536])
def test_the_smallest_and_the_largest_value_are_passed_on_unchanged(size: int) -> None:
    value = bytes(range(256)) * (size // 256)
    parser = meta.RequestParser(2048, 65536)
    sent = b"ms k %d " % size + ID + b" Pc=once,d=480\r\n" + value + b"\r\n"
    found = [x for piece in split(sent, 1000) for x in parser.feed(piece)]
    assert isinstance(found[0], meta.Command) and found[0].value == value and parser.is_idle()
    assert found[0].forward(480) == sent
    responses = meta.ResponseParser(2048, 65536)
    command = meta.RequestParser(2048, 65536).feed(READ)[0]
    assert isinstance(command, meta.Command)
    responses.expect(command)
    answer = b"VA %d " % size + ID + b" h1\r\n" + value + b"\r\n"
    got = [x for piece in split(answer, 999) for x in responses.feed(piece)]
    assert (
        [x.body for x in got if isinstance(x, meta.Answer)] == [value] and not responses.fault and not responses.buffer
    )
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


def test_an_invalid_command_is_reported_and_parsing_goes_on_where_possible() -> None:
    trace = []
    for data in BAD:
        results = {tuple(client(data + READ, cut)) for cut in CUTS}
        assert len(results) == 1
        trace += [f"{data[:60]!r}", *(f"    {x}" for x in results.pop())]
    check_trace("net_bad_commands", trace)


def test_answers_parse_the_same_however_the_data_is_split() -> None:
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


def test_an_invalid_answer_is_a_fault_after_the_complete_answers_before_it() -> None:
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
        results = {tuple(host(whole + bad, cut, READ, READ)) for cut in CUTS}
        assert len(results) == 1
        trace += [f"{bad[:60]!r}", *(f"    {x}" for x in results.pop())]
    check_trace("net_bad_answers", trace)
