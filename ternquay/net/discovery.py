"""Follows the list of cache hosts: one watch after the other, at once; a failed call ends the watching."""

from typing import Any

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone

from ternquay import model as m
from ternquay.net.door import Door, Member
from ternquay.net.launch import Address, address
from ternquay.net.limits import MS, SECOND, Limits

STANDINGS = {"up": m.Standing.READY, "draining": m.Standing.DRAINING, "removed": m.Standing.GONE}


class CallFailed(Exception):
    """Discovery answered something else than a list."""


def read_member(told: dict[str, Any], since_offset: int) -> Member:
    since = int(told.get("up_since_ms") or 0)
    return Member(
        id=str(told["id"]), where=address(told["host_port"], "host_port"), zone=str(told.get("locality", "")),
        kind=str(told.get("flavor", "")), cell=int(told.get("cell") or 0), standing=STANDINGS[told["phase"]],
        hint=float(told.get("size") or 1.0), since=since * MS - since_offset if since else 0,
    )


def read_list(told: Any, since_offset: int) -> tuple[int, bool, tuple[Member, ...]]:
    """The revision, whether the list is whole, and its members; all of it is read before any is kept."""
    try:
        members = tuple(read_member(member, since_offset) for member in told["members"])
        return int(told["revision"]), bool(told["complete"]), members
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise CallFailed(f"unreadable list: {fault!r}") from fault


class Body(Protocol):
    """Collects the body of one answer."""

    transport: Any

    def __init__(self, most: int) -> None:
        self.most = most
        self.done: Deferred[bytes] = Deferred(lambda _: self.transport.abortConnection())
        self.buffer = bytearray()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > self.most:
            self.transport.abortConnection()

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
        self.url = f"http://{where}/api/targets"
        self.idle = pool = HTTPConnectionPool(reactor)
        # Against a call that the library makes twice unseen: discovery works through calls in turn.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 1
        self.agent = Agent(reactor, connectTimeout=1.0, pool=pool)
        self.revision, self.called = -1, 0  # -1: no list of this address is known yet
        self.out = self.ended = False
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
        """Takes a list in discovery's form and goes on from its revision."""
        self.revision, whole, members = read_list(told, self.since_offset)
        self.door.list_told(whole, members)

    def _call(self) -> None:
        if self.ended:
            return
        self.out, self.called = True, self.door.now()
        # The versions of one address need not be those of another: there the whole list comes first.
        since = f"?index={self.revision}&wait={self.limits.watch // MS}" if self.revision >= 0 else ""
        url = (self.url + since).encode()
        called: Deferred[bytes] = self.agent.request(b"GET", url).addCallback(self._body)
        called.addTimeout((self.limits.watch + self.limits.call) / SECOND, self.reactor)
        self.call = called.addCallback(self._read).addErrback(self._failed)

    def _body(self, response: Any) -> "Deferred[bytes]":
        body = Body(self.limits.list_bytes)
        response.deliverBody(body)
        if response.code != 200:
            body.done.addErrback(lambda _: None)
            raise CallFailed(f"status {response.code}")
        return body.done

    def _read(self, body: bytes) -> None:
        if self.ended:
            return
        try:
            told = orjson.loads(body)
        except orjson.JSONDecodeError as fault:
            raise CallFailed(f"unreadable list: {fault}") from fault
        before = self.revision
        self.take(told)
        if self.revision != before or self.door.now() - self.called > self.limits.breath:
            # At once: a later call would be a new watch, with a gap before it.
            self._call()
        else:
            # Against a discovery that has nothing new and does not wait: still in time to go on watching.
            self.reactor.callLater(self.limits.breath / SECOND, self._call)

    def _failed(self, failure: Failure) -> None:
        self.out = False
        if self.ended:
            return
        # The library wraps why a connection ended before there was an answer.
        reasons = getattr(failure.value, "reasons", None) or [failure]
        self.door.tell("WARNING", "discovery: {}", reasons[0].getErrorMessage())
        self.door.list_lost()
        if not self.door.start.watch_list:
            self.reactor.callLater(self.limits.again / SECOND, self.watch)
