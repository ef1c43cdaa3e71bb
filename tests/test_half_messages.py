"""Incomplete messages of HTTP callers and of fleet members, the peers of docs/incidents/stopped-clients.md."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.protocol import connectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from ternquay.net.http import IncomingRequest, RequestLimits, RequestPort
from ternquay.peers.links import IncomingLink, LinkListener


class Port(RequestPort):
    """Records requests and answers none by itself."""

    def __init__(self, reactor: Any) -> None:
        super().__init__(RequestLimits(body_bytes=100, connections=4, idle_seconds=2))
        self.reactor = reactor
        self.requests: list[IncomingRequest] = []

    def request_received(self, request: IncomingRequest) -> None:
        self.requests.append(request)


def opened(protocol: Any) -> Any:
    transport: Any = StringTransport()  # type: ignore[no-untyped-call]
    protocol.makeConnection(transport)
    return transport


@pytest.mark.parametrize(
    "text", [b"GET /x HTTP/1.1\r\nHost: somewhere\r\n", b"POST /x HTTP/1.1\r\nContent-Length: 99\r\n\r\n" + b"x" * 50]
)
def test_a_caller_that_sends_its_request_too_slowly_is_closed_and_one_that_waits_for_an_answer_is_not(
    text: bytes,
) -> None:
    clock: Any = Clock()
    port = Port(clock)
    drips, waits = port.buildProtocol(None), port.buildProtocol(None)
    drips.callLater = waits.callLater = clock.callLater
    ended, kept = opened(drips), opened(waits)
    waits.dataReceived(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
    for at in range(0, len(text), 5):
        drips.dataReceived(text[at : at + 5])
        clock.advance(0.4)
    assert ended.disconnecting or ended.disconnected
    assert not kept.disconnecting and len(port.requests) == 1
    port.requests[0].reply(200, b"", {})
    waits.dataReceived(b"GET /y HTTP/1.1\r\n")
    clock.advance(1.0)
    waits.dataReceived(b"Host: y\r\n\r\n")
    assert len(port.requests) == 2 and not kept.disconnecting


def test_a_link_between_members_with_a_stalled_incomplete_frame_is_closed() -> None:
    clock: Any = Clock()
    dropped: Counter[str] = Counter()
    listener = LinkListener(clock, lambda text: True, dropped)
    listener.check_stalls()
    links = [IncomingLink() for _ in range(3)]
    transports = []
    for one in links:
        one.factory = listener
        transports.append(opened(one))
    whole, half, steps = b"\0\0\0\x02ab", b"\0\x0f\0\0ab", b"\0\0\0\x64" + b"x" * 100
    for second in range(8):
        links[0].dataReceived(whole)
        if second == 1:
            links[1].dataReceived(whole + half)
        links[2].dataReceived(steps[second : second + 1])
        clock.advance(1.0)
    assert [bool(one.disconnecting or one.disconnected) for one in transports] == [False, True, True]
    assert dropped["half a frame"] >= 2
    for one in links:
        one.connectionLost(connectionDone)
    listener.stop()
    assert not clock.getDelayedCalls()
