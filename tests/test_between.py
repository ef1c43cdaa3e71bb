"""The fault injection between members delivers each frame whole, however the connection is slowed."""

import socket
import time

from ternquay.rig.between import Between

BODY = 300


def parse_frames(text: bytes) -> list[bytes]:
    """Returns the bodies of the length-prefixed frames."""
    bodies = []
    while text:
        length = int.from_bytes(text[:4], "big")
        bodies.append(text[4 : 4 + length])
        text = text[4 + length :]
    return bodies


def test_a_delayed_frame_is_not_written_into_the_middle_of_a_dripping_one() -> None:
    """Interleaved frames corrupt the stream: the receiver reads body bytes as a length and waits for that many."""
    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as other:
        between = Between({"a": one.getsockname(), "b": other.getsockname()})
        direction = between.ways["a", "b"]
        direction.delay = 0.05
        sent = [bytes([n]) * BODY for n in range(40)]
        with socket.create_connection(between.told["a", "b"]) as source:
            for n, body in enumerate(sent):
                if n == 20:
                    between.heal()
                    direction.drip = 64
                source.sendall(len(body).to_bytes(4, "big") + body)
                time.sleep(0.006)
            sink, _ = other.accept()
            with sink:
                sink.settimeout(10)
                received = b""
                while len(received) < len(sent) * (4 + BODY):
                    received += sink.recv(1 << 16)
        between.end()
    assert sorted(parse_frames(received)) == sent
