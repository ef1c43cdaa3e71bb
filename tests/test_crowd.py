"""Connections that never send a whole command, beside true ones that take their time."""

from ternquay.net.limits import SECOND
from tests.helper import Net
from tests.test_net import mg, ms, va


def test_who_never_sends_a_whole_command_goes_by_age_and_not_before_a_true_one_could_have_ended() -> None:
    net = Net(sockets=192, limits={"clients": 6, "proof": 2 * SECOND})
    crowd = [net.client() for _ in range(3)]
    for one in crowd[:2]:
        one.feed(b"mg k v")
    slow, large = net.client(), net.client()
    large.feed(ms(9)[:-4])  # its command line has come: the value may take its time
    for at in range(19):
        net.run(100)
        slow.feed(mg(1)[at:at + 1])
        crowd[0].feed(b" ")  # it moves, and gets nowhere
    slow.feed(mg(1)[19:])
    assert not any(one.lost for one in crowd)
    net.accept().feed(va(1))
    assert b"VA 3 O1" in net.trace[-1].encode()
    net.run(400)
    assert all(one.lost for one in crowd) and not slow.lost and not large.lost


def test_while_there_is_room_nobody_is_closed_before_it_has_stood_still() -> None:
    net = Net(sockets=192, limits={"proof": SECOND})
    half = net.client()
    half.feed(b"mg k v")
    net.run(4500)
    assert not half.lost
    net.run(1000)
    assert half.lost


def test_a_place_that_is_wanted_comes_from_the_oldest_that_got_nowhere() -> None:
    net = Net(sockets=192, limits={"clients": 2, "proof": SECOND, "sweep": 60 * SECOND})
    first, second = net.client(), net.client()
    first.feed(b"mg k")
    net.run(500)
    second.feed(b"mg k")
    third = net.client()
    assert third.protocol.crowded and not first.lost  # no place: the oldest could still end
    third.end()
    net.run(600)
    fourth = net.client()
    assert first.lost and not second.lost and not fourth.protocol.crowded
    fourth.feed(mg(4))
    net.accept().feed(va(4))
    assert not fourth.lost
    assert net.sockets.clients == 2 and not net.front.kept - len(b"mg k")
