"""Follows the list of cache hosts: one watch after the other, at once; a failed call ends the watching.

When the next call goes out, and how long it may take, is decided in net/watch_schedule.py.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from ternquay.net.dispatcher import DelayedCall, Dispatcher, cancel_call
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.listing import Address, ToldWrong, read_list
from ternquay.net.start_times import StartTimes
from ternquay.net.watch_schedule import CallFailure, CallTimes, WatchSchedule


class CallFailed(Exception):
    """Discovery answered something else than a list."""


class Spoilt(Exception):
    """What discovery told can't be used; the text names the field."""


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
            # One without a length ends with its connection, and the library does not tell a close from a reset. A list
            # is one object, so what was cut off can't be read as one.
            if reason.check(ResponseDone, PotentialDataLoss):
                self.done.callback(bytes(self.buffer))
            else:
                self.done.errback(reason)


@dataclass(slots=True, eq=False)
class Called:
    """One call that is out."""

    at: int
    times: CallTimes
    answer: "Deferred[None]"
    timer: DelayedCall | None = None
    dropped: bool = False  # nobody waits for it any more

    def drop(self) -> None:
        cancel_call(self.timer)
        self.dropped = True
        self.answer.cancel()


class Discovery:
    """Follows the list at one address until end(); for another address there is another of these."""

    def __init__(
        self,
        reactor: Any,
        dispatcher: Dispatcher,
        limits: Limits,
        where: Address,
        start_times: StartTimes,
        instead: "Discovery | None" = None,
    ) -> None:
        self.reactor, self.dispatcher, self.limits, self.start_times = reactor, dispatcher, limits, start_times
        self.where = where
        self.url = f"http://{where}/api/targets"
        self.idle = pool = HTTPConnectionPool(reactor)
        # Against a call that the library makes twice unseen: discovery works through calls in turn.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 1
        self.agent = Agent.usingEndpointFactory(reactor, Straight(reactor, where), pool)
        self.revision = -1  # no list of this address is known yet
        self.schedule = WatchSchedule(limits, dispatcher.random, not dispatcher.config.watch_list)
        self.ended = self.last = False  # last: no further call, but what is out is still good
        self.call: Called | None = None
        self.kept: Called | None = None  # one that was silent for longer than it may, and may yet be answered
        self.next: DelayedCall | None = None
        self.instead = instead  # the one at another address, until this one has told something
        self.first: Callable[[], None] | None = None  # told once, when a call has ended for the first time

    def watch(self) -> None:
        """Begins to follow the list, unless it is followed."""
        if self.call is None and (self.next is None or not self.next.active()):
            self._call()

    def retire(self) -> None:
        """No further call. What was written by now on the one that is out counts as told, so it is still read."""
        self.last = True
        cancel_call(self.next)
        if self.instead is not None:
            self.instead.end()
            self.instead = None
        self.reactor.callLater(self.limits.empty_answer_delay / SECOND, self.end)

    def end(self) -> None:
        """No further call, and nothing is told any more, not even by the calls that are out."""
        self.ended = True
        cancel_call(self.next)
        for one in (self.call, self.kept, self.instead):
            if isinstance(one, Called):
                one.drop()
            elif one is not None:
                one.end()
        self.call = self.kept = self.instead = None
        self.idle.closeCachedConnections().addErrback(lambda _: None)

    def take(self, told: Any) -> None:
        """Takes a list in discovery's form and goes on from its revision; what raises is not taken."""
        revision, whole, members = read_list(told, 0)
        if revision < self.revision:
            raise ToldWrong(f"revision: {revision} is older than {self.revision}, which is known")
        self.revision = revision  # before the decisions hear of it, as they may ask for the next at once
        self.dispatcher.update_hosts(whole, self.start_times.dated(whole, members, self.dispatcher.now()))

    def _call(self) -> None:
        if self.ended or self.last:
            return
        # The versions of one address need not be those of another: there the whole list comes first.
        times = self.schedule.next_call()
        since = f"?index={self.revision}&wait={times.wait // MS}" if self.revision >= 0 else ""
        answer = self.agent.request(b"GET", (self.url + since).encode()).addCallback(self._body)
        one = self.call = Called(self.dispatcher.now(), times, answer)
        one.timer = self.reactor.callLater(times.timeout / SECOND, self._silent, one)
        answer.addCallback(self._read, one).addErrback(self._failed, one)

    def _body(self, response: Any) -> "Deferred[bytes]":
        body = Body(self.limits.list_bytes)
        response.deliverBody(body)
        if response.code != 200:
            body.done.addErrback(lambda _: None)
            body.end()  # its body may have no end, and each call would leave a connection behind
            raise CallFailed(f"status {response.code}")
        return body.done.addErrback(self._cut)

    def _cut(self, why: Failure) -> Failure:
        # It had begun to tell, so what is lost of it may count as told.
        return Failure(Spoilt(f"cut off: {reason(why)}"))

    def _read(self, body: bytes, one: Called) -> None:
        cancel_call(one.timer)
        if self.ended or one.dropped:
            return
        # Whichever is answered first is the one that goes on.
        other = self.call if one is self.kept else self.kept
        self.call, self.kept = one, None
        if other is not None:
            other.drop()
        cancel_call(self.next)
        before = self.revision
        try:
            self.take(orjson.loads(body))
        except Exception as fault:
            raise Spoilt(str(fault)) from fault
        if self.instead is not None:
            self.instead.end()
            self.instead = None
        self.call = None
        self._ended_once()
        # At once, as a rule: a later call would be a new watch, with a gap before it.
        self._next(self.schedule.answered(self.dispatcher.now() - one.at, self.revision != before))

    def _next(self, pause: int) -> None:
        if pause:
            self.next = self.reactor.callLater(pause / SECOND, self._call)
        else:
            self._call()

    def _ended_once(self) -> None:
        first, self.first = self.first, None
        if first is not None:
            first()

    def _silent(self, one: Called) -> None:
        """Nothing came, or not all of it, in the time that a call may take."""
        times = one.times
        if one is self.kept:
            self.kept = None
            one.drop()
            return
        if times.kept_for > times.timeout and self.kept is None:
            self.kept = one
            one.timer = self.reactor.callLater((times.kept_for - times.timeout) / SECOND, self._silent, one)
        else:
            one.drop()
        self._lost(CallFailure.SILENT, f"silent, {times.timeout / SECOND:.2f} s after the call")

    def _failed(self, failure: Failure, one: Called) -> None:
        cancel_call(one.timer)
        if self.ended or one.dropped:
            return
        if one is self.kept:
            self.kept = None  # those that were made since go on
            return
        self._lost(CallFailure.CORRUPT if failure.check(Spoilt) else CallFailure.NO_ANSWER, reason(failure))

    def _lost(self, how: CallFailure, why: str) -> None:
        self.call = None
        if how is CallFailure.CORRUPT:
            # What it told is lost, so that only the whole list says how things stand; it is taken at any revision.
            self.revision = -1
        self.dispatcher.log("WARNING", "discovery: {}", why)
        self._ended_once()
        self._next(self.schedule.failed(self.dispatcher.now(), how))


def reason(failure: Failure) -> str:
    # The library wraps why a connection ended before there was an answer.
    reasons = getattr(failure.value, "reasons", None) or [failure]
    return reasons[0].getErrorMessage() or "cut off"
