"""Follows the list of cache hosts: one watch after the other, at once; a failed call ends the watching.

When the next call goes out, and how long it may take, is decided in net/follow.py.
"""

from typing import Any

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from ternquay.net.door import Door
from ternquay.net.follow import Failure as Kind
from ternquay.net.follow import Follow
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.listing import Address, ToldWrong, read_list


class CallFailed(Exception):
    """Discovery answered something else than a list."""


class Spoilt(Exception):
    """What discovery told can't be used; the text names the field."""


class Silent(Exception):
    """Nothing came, or not all of it, in the time that a call may take."""


def silent(_: Any, patience: float) -> None:
    raise Silent(f"silent, {patience:.2f} s after the call")


@implementer(IAgentEndpointFactory)
class Straight:
    """Connects to an address. Against the library's own way, which looks even an address up in a thread."""

    def __init__(self, reactor: Any, where: Address) -> None:
        self.reactor, self.where = reactor, where

    def endpointForURI(self, uri: Any) -> Any:
        made = TCP6ClientEndpoint if ":" in self.where.host else TCP4ClientEndpoint
        return made(self.reactor, self.where.host, self.where.port, 1)


class Body(Protocol):
    """Collects the body of one answer."""

    transport: Any

    def __init__(self, most: int) -> None:
        self.most = most
        self.done: Deferred[bytes] = Deferred(lambda _: self.end())
        self.buffer = bytearray()

    def end(self) -> None:
        """Closes its connection. The library hands over a transport that knows no abort."""
        self.buffer.clear()
        if self.transport is not None:
            self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > self.most:
            self.end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.done.called:
            if reason.check(ResponseDone):
                self.done.callback(bytes(self.buffer))
            else:
                self.done.errback(reason)


class Discovery:
    """Follows the list at one address until end(); for another address there is another of these."""

    def __init__(self, reactor: Any, door: Door, limits: Limits, where: Address, since_offset: int) -> None:
        self.reactor, self.door, self.limits, self.since_offset = reactor, door, limits, since_offset
        self.where = where
        self.url = f"http://{where}/api/targets"
        self.idle = pool = HTTPConnectionPool(reactor)
        # Against a call that the library makes twice unseen: discovery works through calls in turn.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 1
        self.agent = Agent.usingEndpointFactory(reactor, Straight(reactor, where), pool)
        self.revision, self.called = -1, 0  # -1: no list of this address is known yet
        self.follow = Follow(limits, door.draw, not door.start.watch_list)
        self.out = self.ended = False  # out: called, or about to be
        self.call: Deferred[None] | None = None

    def watch(self) -> None:
        """Begins to follow the list, unless it is followed."""
        if not self.out:
            self._call()

    def end(self) -> None:
        """No further call, and nothing is told any more, not even by the call that is out."""
        self.ended = True
        if self.call is not None:
            self.call.cancel()
        self.idle.closeCachedConnections().addErrback(lambda _: None)

    def take(self, told: Any) -> None:
        """Takes a list in discovery's form and goes on from its revision; what raises is not taken."""
        revision, whole, members = read_list(told, self.since_offset)
        if revision < self.revision:
            raise ToldWrong(f"revision: {revision} is older than {self.revision}, which is known")
        self.revision = revision  # before the decisions hear of it, as they may ask for the next at once
        self.door.list_told(whole, members)

    def _call(self) -> None:
        if self.ended:
            return
        self.out, self.called = True, self.door.now()
        # The versions of one address need not be those of another: there the whole list comes first.
        ask = self.follow.ask()
        since = f"?index={self.revision}&wait={ask.wait // MS}" if self.revision >= 0 else ""
        url = (self.url + since).encode()
        called: Deferred[bytes] = self.agent.request(b"GET", url).addCallback(self._body)
        called.addTimeout(ask.patience / SECOND, self.reactor, silent)
        self.call = called.addCallback(self._read).addErrback(self._failed)

    def _body(self, response: Any) -> "Deferred[bytes]":
        body = Body(self.limits.list_bytes)
        response.deliverBody(body)
        if response.code != 200:
            body.done.addErrback(lambda _: None)
            body.end()  # its body may have no end, and each call would leave a connection behind
            raise CallFailed(f"status {response.code}")
        return body.done

    def _read(self, body: bytes) -> None:
        if self.ended:
            return
        before = self.revision
        try:
            self.take(orjson.loads(body))
        except Exception as fault:
            # What it told is lost, so that only the whole list says how things stand; it is taken at any revision.
            self.revision = -1
            raise Spoilt(str(fault)) from fault
        # At once, as a rule: a later call would be a new watch, with a gap before it.
        self._next(self.follow.answered(self.door.now() - self.called, self.revision != before))

    def _next(self, pause: int) -> None:
        self.out = True
        if pause:
            self.reactor.callLater(pause / SECOND, self._call)
        else:
            self._call()

    def _failed(self, failure: Failure) -> None:
        self.out = False
        if self.ended:
            return
        # The library wraps why a connection ended before there was an answer.
        reasons = getattr(failure.value, "reasons", None) or [failure]
        self.door.tell("WARNING", "discovery: {}", reasons[0].getErrorMessage() or "cut off")
        how = Kind.SILENT if failure.check(Silent) else Kind.SPOILT if failure.check(Spoilt) else Kind.ENDED
        pause = self.follow.failed(self.door.now(), how)
        if pause is not None:
            self._next(pause)
        else:
            self.door.list_lost()
