"""The layer between members by itself: what comes out on a connection is frames, each whole, whatever is slowed."""

import socket
import time

from ternquay.rig.between import Between

BODY = 300


def frames(text: bytes) -> list[bytes]:
    found = []
    while text:
        length = int.from_bytes(text[:4], "big")
        found.append(text[4 : 4 + length])
        text = text[4 + length :]
    return found


def test_a_frame_that_was_held_back_does_not_come_in_the_midst_of_one_that_drips() -> None:
    """Against a stream that can be read no more: its receiver takes some bytes for a length, and waits for so many."""
    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as other:
        between = Between({"a": one.getsockname(), "b": other.getsockname()})
        way = between.ways["a", "b"]
        way.delay = 0.05
        said = [bytes([n]) * BODY for n in range(40)]
        with socket.create_connection(between.told["a", "b"]) as source:
            for n, body in enumerate(said):
                if n == 20:
                    between.heal()
                    way.drip = 64
                source.sendall(len(body).to_bytes(4, "big") + body)
                time.sleep(0.006)
            sink, _ = other.accept()
            with sink:
                sink.settimeout(10)
                got = b""
                while len(got) < len(said) * (4 + BODY):
                    got += sink.recv(1 << 16)
        between.end()
    assert sorted(frames(got)) == said
