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
from ternquay.net.listing import Address, FieldError, parse_list
from ternquay.net.start_times import StartTimes
from ternquay.net.watch_schedule import CallFailure, CallTimes, WatchSchedule


class UnexpectedStatus(Exception):
    """Discovery answered something else than a list."""


class CorruptAnswer(Exception):
    """What discovery told can't be used; the text names the field."""


@implementer(IAgentEndpointFactory)
class AddressEndpointFactory:
    """Connects to an address. Against the library's own way, which looks even an address up in a thread."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self.reactor, self.address = reactor, address

    def endpointForURI(self, uri: Any) -> Any:
        made = TCP6ClientEndpoint if ":" in self.address.host else TCP4ClientEndpoint
        return made(self.reactor, self.address.host, self.address.port, 1)


class BodyCollector(Protocol):
    """Collects the body of one answer."""

    transport: Any

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.done: Deferred[bytes] = Deferred(lambda _: self.end())
        self.buffer = bytearray()

    def end(self) -> None:
        """Closes its connection. The library hands over a transport that knows no abort."""
        self.buffer.clear()
        if self.transport is not None:
            self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > self.max_bytes:
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
class PendingCall:
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
        address: Address,
        start_times: StartTimes,
        previous: "Discovery | None" = None,
    ) -> None:
        self.reactor, self.dispatcher, self.limits, self.start_times = reactor, dispatcher, limits, start_times
        self.address = address
        self.url = f"http://{address}/api/targets"
        self.connections = pool = HTTPConnectionPool(reactor)
        # Against a call that the library makes twice unseen: discovery works through calls in turn.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 1
        self.agent = Agent.usingEndpointFactory(reactor, AddressEndpointFactory(reactor, address), pool)
        self.revision = -1  # no list of this address is known yet
        self.schedule = WatchSchedule(limits, dispatcher.draw, not dispatcher.start.watch_list)
        self.stopped = self.retiring = False  # last: no further call, but what is out is still good
        self.current_call: PendingCall | None = None
        self.late_call: PendingCall | None = None  # one that was silent for longer than it may, and may yet be answered
        self.next_call: DelayedCall | None = None
        self.previous = previous  # the one at another address, until this one has told something
        self.on_first_result: Callable[[], None] | None = None  # told once, when a call has ended for the first time

    def watch(self) -> None:
        """Begins to follow the list, unless it is followed."""
        if self.current_call is None and (self.next_call is None or not self.next_call.active()):
            self._start_call()

    def retire(self) -> None:
        """No further call. What was written by now on the one that is out counts as told, so it is still read."""
        self.retiring = True
        cancel_call(self.next_call)
        if self.previous is not None:
            self.previous.stop()
            self.previous = None
        self.reactor.callLater(self.limits.empty_answer_delay / SECOND, self.stop)

    def stop(self) -> None:
        """No further call, and nothing is told any more, not even by the calls that are out."""
        self.stopped = True
        cancel_call(self.next_call)
        for one in (self.current_call, self.late_call, self.previous):
            if isinstance(one, PendingCall):
                one.drop()
            elif one is not None:
                one.stop()
        self.current_call = self.late_call = self.previous = None
        self.connections.closeCachedConnections().addErrback(lambda _: None)

    def apply(self, told: Any) -> None:
        """Takes a list in discovery's form and goes on from its revision; what raises is not taken."""
        revision, whole, members = parse_list(told, 0)
        if revision < self.revision:
            raise FieldError(f"revision: {revision} is older than {self.revision}, which is known")
        self.revision = revision  # before the decisions hear of it, as they may ask for the next at once
        self.dispatcher.list_told(whole, self.start_times.to_monotonic(whole, members, self.dispatcher.now()))

    def _start_call(self) -> None:
        if self.stopped or self.retiring:
            return
        # The versions of one address need not be those of another: there the whole list comes first.
        times = self.schedule.next_call()
        since = f"?index={self.revision}&wait={times.wait // MS}" if self.revision >= 0 else ""
        answer = self.agent.request(b"GET", (self.url + since).encode()).addCallback(self._collect_body)
        one = self.current_call = PendingCall(self.dispatcher.now(), times, answer)
        one.timer = self.reactor.callLater(times.timeout / SECOND, self._call_timed_out, one)
        answer.addCallback(self._answer_received, one).addErrback(self._call_failed, one)

    def _collect_body(self, response: Any) -> "Deferred[bytes]":
        body = BodyCollector(self.limits.list_bytes)
        response.deliverBody(body)
        if response.code != 200:
            body.done.addErrback(lambda _: None)
            body.end()  # its body may have no end, and each call would leave a connection behind
            raise UnexpectedStatus(f"status {response.code}")
        return body.done.addErrback(self._body_cut_off)

    def _body_cut_off(self, why: Failure) -> Failure:
        # It had begun to tell, so what is lost of it may count as told.
        return Failure(CorruptAnswer(f"cut off: {failure_text(why)}"))

    def _answer_received(self, body: bytes, one: PendingCall) -> None:
        cancel_call(one.timer)
        if self.stopped or one.dropped:
            return
        # Whichever is answered first is the one that goes on.
        other = self.current_call if one is self.late_call else self.late_call
        self.current_call, self.late_call = one, None
        if other is not None:
            other.drop()
        cancel_call(self.next_call)
        before = self.revision
        try:
            self.apply(orjson.loads(body))
        except Exception as fault:
            raise CorruptAnswer(str(fault)) from fault
        if self.previous is not None:
            self.previous.stop()
            self.previous = None
        self.current_call = None
        self._report_first_result()
        # At once, as a rule: a later call would be a new watch, with a gap before it.
        self._schedule_call(self.schedule.answered(self.dispatcher.now() - one.at, self.revision != before))

    def _schedule_call(self, pause: int) -> None:
        if pause:
            self.next_call = self.reactor.callLater(pause / SECOND, self._start_call)
        else:
            self._start_call()

    def _report_first_result(self) -> None:
        first, self.on_first_result = self.on_first_result, None
        if first is not None:
            first()

    def _call_timed_out(self, one: PendingCall) -> None:
        """Nothing came, or not all of it, in the time that a call may take."""
        times = one.times
        if one is self.late_call:
            self.late_call = None
            one.drop()
            return
        if times.kept_for > times.timeout and self.late_call is None:
            self.late_call = one
            one.timer = self.reactor.callLater((times.kept_for - times.timeout) / SECOND, self._call_timed_out, one)
        else:
            one.drop()
        self._record_failure(CallFailure.SILENT, f"silent, {times.timeout / SECOND:.2f} s after the call")

    def _call_failed(self, failure: Failure, one: PendingCall) -> None:
        cancel_call(one.timer)
        if self.stopped or one.dropped:
            return
        if one is self.late_call:
            self.late_call = None  # those that were made since go on
            return
        self._record_failure(
            CallFailure.CORRUPT if failure.check(CorruptAnswer) else CallFailure.NO_ANSWER, failure_text(failure)
        )

    def _record_failure(self, failure: CallFailure, why: str) -> None:
        self.current_call = None
        if failure is CallFailure.CORRUPT:
            # What it told is lost, so that only the whole list says how things stand; it is taken at any revision.
            self.revision = -1
        self.dispatcher.log("WARNING", "discovery: {}", why)
        self._report_first_result()
        self._schedule_call(self.schedule.failed(self.dispatcher.now(), failure))


def failure_text(failure: Failure) -> str:
    # The library wraps why a connection ended before there was an answer.
    reasons = getattr(failure.value, "reasons", None) or [failure]
    return reasons[0].getErrorMessage() or "cut off"
