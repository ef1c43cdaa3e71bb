"""Two processes of one balancer during an upgrade: notes, slots, shared limits, and a kill at every step."""

import errno
import fcntl
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing, suppress
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from ternquay import model as m
from ternquay.balance import SECOND, Balancer
from ternquay.handover.notes import (
    InvalidNoteError,
    Note,
    SocketCeilings,
    decode_learned,
    decode_note,
    encode_learned,
    encode_note,
)
from ternquay.handover.slots import SLOT_NAMES, Slots
from ternquay.net.listing import Address, HostEntry
from tests.helper import CONFIG, T0, Net, listed_host, member
from tests.test_flow import Store
from tests.test_management import OUT, READY, hello_reply, http_status
from tests.test_net import mg, va
from tests.test_review_links import wait_until
from tests.test_upgrade import platform

LISTED = HostEntry("h1", Address("127.0.0.1", 9), "a", "k", 2, m.HostStatus.DRAINING, 1.5, 77)
NOTE = Note(5, 100, True, "127.0.0.1:8500", 41, (LISTED,), {"usual": 1.5, "hosts": {}})


def test_a_note_is_decoded_as_encoded_or_rejected() -> None:
    data = encode_note(NOTE)
    assert decode_note(data) == NOTE
    for cut in range(len(data)):
        with pytest.raises(InvalidNoteError):
            decode_note(data[:cut])
    random = Random(3)
    for _ in range(300):
        corrupt = bytearray(data)
        corrupt[random.randrange(len(data))] ^= 1 << random.randrange(8)
        with pytest.raises(InvalidNoteError):
            decode_note(bytes(corrupt))
    with pytest.raises(InvalidNoteError, match="version"):
        decode_note(data.replace(b"handover 1", b"handover 2"))
    with pytest.raises(InvalidNoteError, match="mismatch"):
        decode_note(data + b"x")
    with pytest.raises(InvalidNoteError, match="not a note"):
        decode_note(b"#!/bin/sh\n")
    with pytest.raises(InvalidNoteError, match="more than"):
        encode_note(replace(NOTE, learned={"x": "y" * (1 << 20)}))


def test_unusable_files_in_the_folder_do_not_prevent_a_start(tmp_path: Path) -> None:
    first, second, third = Slots(tmp_path), Slots(tmp_path), Slots(tmp_path)
    assert first.acquire() and not first.other_held()
    assert second.acquire() and first.other_held() and second.other_held() and not third.acquire()
    assert second.read(0) is None
    first.write(NOTE)
    assert second.read(5) == NOTE and second.read(6) is None  # not an older one
    (tmp_path / f"{SLOT_NAMES[0]}.note").write_bytes(encode_note(NOTE)[:-3])
    assert second.read(0) is None
    (tmp_path / f"{SLOT_NAMES[0]}.note").unlink()
    (tmp_path / f"{SLOT_NAMES[0]}.note").mkdir()
    assert second.read(0) is None
    first.write(NOTE)  # the rename onto a folder fails: ignored, and no temporary file is left
    assert not list(tmp_path.glob("*.new"))
    (tmp_path / f"{SLOT_NAMES[0]}.note").rmdir()
    first.write(NOTE)
    first.release()
    assert not second.other_held() and third.acquire() and second.other_held()
    assert second.read(0) is None  # the note of the slot's former process is gone


def test_a_lock_ends_with_its_process_even_if_that_is_killed(tmp_path: Path) -> None:
    code = (
        "import sys; sys.path.insert(0, '.'); from pathlib import Path; import time\n"
        "from ternquay.handover.slots import Slots\n"
        f"assert Slots(Path({str(tmp_path)!r})).acquire(); print('here', flush=True); time.sleep(60)"
    )
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE) as other:
        assert other.stdout is not None and other.stdout.readline() == b"here\n"
        mine = Slots(tmp_path)
        assert mine.acquire() and mine.index == 1 and mine.other_held()
        other.send_signal(signal.SIGKILL)
        other.wait()
        assert not mine.other_held()


def test_the_two_ceilings_never_add_up_to_more_than_the_total() -> None:
    """Each process acts on what it last read of the other one, and they read in any order."""
    random = Random(7)
    for _ in range(300):
        ceilings = SocketCeilings(random.randrange(60, 900), 24)
        first, second, written = ceilings.alone(), ceilings.successor(None), None
        used, ending = random.randrange(ceilings.alone()), False
        for _ in range(40):
            if random.random() < 0.5:
                first = ceilings.predecessor(first, used, ending)
                written = first  # only now can the successor read it
            elif random.random() < 0.7:
                second = ceilings.successor(written)
            used = min(first, max(0, used + random.randrange(-30, 10)))
            ending = ending or random.random() < 0.05
            assert first + second <= ceilings.total


def test_measurements_are_handed_over_by_host_name_and_shared_rates_by_half() -> None:
    net = Net(hosts=2)
    client = net.client()
    for number in range(30):
        client.feed(mg(number, key=f"k{number}"))
        host = (
            net.accept()
            if net.reactor.tcpClients
            else [w for w in net.wires if w.name.startswith("host") and w.protocol.hops][-1]
        )
        net.run(20)
        host.feed(va(number))
    old = net.dispatcher.balancer
    names = {index: name for name, index in net.dispatcher.host_indices.items()}
    encoded = encode_learned(old.learned(), names)
    learned = decode_learned(
        encoded | {"hosts": encoded["hosts"] | {"unknown": encoded["hosts"]["h1"]}}, {"h1": 7, "h2": 3}
    )
    assert learned is not None and {h.host for h in learned.hosts} == {7, 3}
    new = Balancer(replace(CONFIG, balancer_count=2))
    new.decide(T0, m.ListChanged(True, (listed_host(7), listed_host(3))))
    new.decide(T0, learned)
    assert (
        new.mean_duration == old.mean_duration > 0
        and new.rate_per_weight == old.rate_per_weight / 2
        and new.hit_ratio == old.hit_ratio > 0.5
    )
    assert new.origin_limit == max(new.min_origin_limit, old.origin_limit / 2)
    assert {h.mean_duration for h in new.hosts.values()} == {h.mean_duration for h in old.hosts.values()}
    assert decode_learned({"hosts": 3}, {}) is None and decode_learned(encoded | {"more": 1}, {}) is None


def test_an_ejected_host_stays_ejected_for_the_remaining_time() -> None:
    new = Balancer(CONFIG)
    new.decide(T0, m.ListChanged(True, (listed_host(1), listed_host(2))))
    out = m.LearnedHost(1, 5e6, 0.0, 0, SECOND, SECOND // 2, True)
    new.decide(T0, m.Learned(4e6, 10.0, 2.0, 0.5, 20.0, 9e6, (out,)))
    new.decide(T0, m.TxArrived(1, 0, -1, "a", SECOND, False, False))
    assert not new._usable(new.hosts[1]) and new._usable(new.hosts[2])


def test_a_cold_host_takes_half_its_load_from_each_of_two_processes() -> None:
    net = Net(hosts=1)
    net.list(member(2, since=1_000_000))
    net.dispatcher.set_cold_fraction(0.5)
    assert [h.cold_fraction for h in net.dispatcher.balancer.hosts.values()] == [0.5, 0.5]
    net.list(member(3, since=1_000_000))
    net.list(member(1, "removed"))
    net.dispatcher.set_cold_fraction(1.0)
    assert [h.cold_fraction for h in net.dispatcher.balancer.hosts.values()] == [1.0, 1.0] and set(
        net.dispatcher.host_entries
    ) == {
        "h2",
        "h3",
    }


def test_the_successor_takes_over_the_host_list_and_a_third_process_waits(tmp_path: Path) -> None:
    with platform(tmp_path) as held:
        first = held.start(known={"revision": 9, "complete": True, "members": [member(1), member(2, "draining")]})
        wait_until(first.ready)
        # Its configured list is older and has no hosts: the predecessor's list takes precedence.
        second = held.start(known={"revision": 3, "complete": True, "members": []})
        wait_until(second.ready)
        assert "another process of this balancer is running" in second.text() and "wrote no note" not in second.text()
        third = held.start()
        wait_until(lambda: "this one waits" in third.text())
        assert (
            http_status(third.at, READY) == 503
            and third.process.poll() is None
            and hello_reply(held.listen) == b"MN\r\n"
        )
        first.process.terminate()
        assert first.process.wait(10) == 0
        wait_until(third.ready)
        # Two upgrades in a row: the second process is now the predecessor.
        second.process.terminate()
        assert second.process.wait(10) == 0 and hello_reply(held.listen) == b"MN\r\n"
        third.process.terminate()
        assert third.process.wait(10) == 0


def test_either_process_may_be_killed_at_any_time(tmp_path: Path) -> None:
    with platform(tmp_path) as held:
        old = held.start()
        wait_until(old.ready)
        for wait in (0.0, 0.2, 0.5, 0.8, 1.2):
            new = held.start()
            time.sleep(wait)
            new.process.kill()
            new.process.wait()
            assert old.ready() and hello_reply(held.listen) == b"MN\r\n"
        for wait in (0.1, 0.6, 1.0):
            new = held.start()
            time.sleep(wait)
            old.process.kill()
            old.process.wait()
            wait_until(new.ready)
            assert hello_reply(held.listen) == b"MN\r\n" and "Traceback" not in new.text()
            old = new


def test_a_draining_process_answers_no_health_checks_while_another_one_serves(tmp_path: Path) -> None:
    with platform(tmp_path) as held:
        old = held.start()
        wait_until(old.ready)
        assert http_status(old.at, OUT) == 200
        new = held.start()
        wait_until(new.ready)
        wait_until(lambda: all(hello_reply(held.listen) == b"MN\r\n" for _ in range(10)))
        assert http_status(old.at, READY) == 503
        # The new process ends: the draining one answers again, with a refusal.
        new.process.kill()
        new.process.wait()
        wait_until(lambda: hello_reply(held.listen).startswith(b"SERVER_ERROR"))


def test_an_upgrade_under_load_loses_nothing(tmp_path: Path) -> None:
    """Clients with persistent connections and with one connection per request get each response exactly once."""
    store = Store(5)
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    known = {"revision": 1, "complete": True, "members": [where]}
    wrong: list[object] = []
    stop = threading.Event()
    with platform(tmp_path) as held:

        def use_persistent_connection(number: int) -> None:
            client, count = socket.create_connection(("127.0.0.1", held.listen), timeout=10), 0
            while not stop.is_set():
                count += 1
                text = b"mg k9 v O%d.%d Pc=read,d=800\r\n" % (number, count)
                for _ in range(2):  # if the connection was closed between two transactions, a retry on a new one
                    try:
                        client.sendall(text)
                        reply = client.recv(1000)
                    except OSError:
                        reply = b""
                    if reply:
                        break
                    client.close()
                    client = socket.create_connection(("127.0.0.1", held.listen), timeout=10)
                if reply != b"VA 9 O%d.%d\r\nk9.k9.k9.\r\n" % (number, count) and not reply.startswith(
                    b"SERVER_ERROR busy"
                ):
                    wrong.append((text, reply))
                time.sleep(0.01)
            client.close()

        def use_new_connections(number: int) -> None:
            count = 0
            while not stop.is_set():
                count += 1
                try:
                    with closing(socket.create_connection(("127.0.0.1", held.listen), timeout=10)) as client:
                        client.sendall(b"mg k9 v O%d-%d Pc=read,d=800\r\n" % (number, count))
                        reply = client.recv(1000)
                    if not reply.startswith((b"VA 9 O%d-%d\r\n" % (number, count), b"SERVER_ERROR busy")):
                        wrong.append(reply)
                except OSError as fault:
                    wrong.append(fault)
                time.sleep(0.01)

        one = held.start(known=known)
        wait_until(one.ready)
        clients = [threading.Thread(target=use_persistent_connection, args=(n,)) for n in range(8)]
        clients += [threading.Thread(target=use_new_connections, args=(n,)) for n in range(8, 12)]
        for each in clients:
            each.start()
        max_descriptors = 0
        for _ in range(2):
            other = held.start(known=known)
            wait_until(other.ready)
            one.process.terminate()
            while one.process.poll() is None:
                with suppress(OSError):
                    max_descriptors = max(
                        max_descriptors, sum(len(os.listdir(f"/proc/{x.process.pid}/fd")) for x in (one, other))
                    )
                time.sleep(0.02)
            assert one.process.returncode == 0
            one = other
        time.sleep(0.3)
        stop.set()
        for each in clients:
            each.join()
    assert not wrong, wrong[:3]
    assert max_descriptors <= 128  # the limit of one balancer, for both processes


def test_checking_a_lock_does_not_acquire_it(tmp_path: Path) -> None:
    mine, other = Slots(tmp_path), Slots(tmp_path)
    assert mine.acquire()
    assert not mine.other_held() and not mine.other_held()
    assert other.acquire()
    handle = os.open(tmp_path / SLOT_NAMES[other.index], os.O_RDWR)
    with pytest.raises(BlockingIOError):
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    os.close(handle)


def test_failing_lock_calls_do_not_change_the_known_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = Slots(tmp_path), Slots(tmp_path)
    assert first.acquire() and second.acquire() and first.other_held()

    def refused(handle: int, what: int) -> None:
        raise OSError(errno.ENOLCK, "No locks available")

    with monkeypatch.context() as broken:
        broken.setattr("ternquay.handover.slots.fcntl.flock", refused)
        assert first.other_held() and not Slots(tmp_path).acquire()
    second.release()
    assert not first.other_held()
    with monkeypatch.context() as broken:
        broken.setattr("ternquay.handover.slots.fcntl.flock", refused)
        assert not first.other_held()
    first.release()
