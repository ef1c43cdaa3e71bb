"""Follows the host list of discovery with long polls: each call continues the watch of the one before it.

A failed call ends the watch. net/watch_schedule.py decides when the next call starts and how long it may take.
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
    """Discovery responded with a status other than 200."""


class CorruptAnswer(Exception):
    """The response of discovery can't be used. The message names the field."""


@implementer(IAgentEndpointFactory)
class AddressEndpointFactory:
    """Connects directly to an address. Twisted's own factory resolves even a literal address in a thread."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self.reactor, self.address = reactor, address

    def endpointForURI(self, uri: Any) -> Any:
        endpoint_type = TCP6ClientEndpoint if ":" in self.address.host else TCP4ClientEndpoint
        return endpoint_type(self.reactor, self.address.host, self.address.port, 1)


class BodyCollector(Protocol):
    """Collects the body of one response, up to `max_bytes`."""

    transport: Any

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.done: Deferred[bytes] = Deferred(lambda _: self.end())
        self.buffer = bytearray()

    def end(self) -> None:
        """Closes the connection. The transport that Twisted passes in has no abort method."""
        self.buffer.clear()
        if self.transport is not None:
            self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > self.max_bytes:
            self.end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.done.called:
            # A body without a length ends with its connection, and Twisted does not tell a close from a reset. The list
            # is a single JSON object, so a truncated body does not parse.
            if reason.check(ResponseDone, PotentialDataLoss):
                self.done.callback(bytes(self.buffer))
            else:
                self.done.errback(reason)


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that is in progress."""

    started_at: int
    times: CallTimes
    result: "Deferred[None]"
    timer: DelayedCall | None = None
    dropped: bool = False  # its result is ignored

    def drop(self) -> None:
        """Cancels the call."""
        cancel_call(self.timer)
        self.dropped = True
        self.result.cancel()


class Discovery:
    """Follows the host list at one address until stop(). A change of the address takes a new instance."""

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
        # Twisted would repeat a failed call without telling: discovery works through its calls one at a time.
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 1
        self.agent = Agent.usingEndpointFactory(reactor, AddressEndpointFactory(reactor, address), pool)
        self.revision = -1  # of the latest list; -1: no list of this address is known yet
        self.schedule = WatchSchedule(limits, dispatcher.random, not dispatcher.config.watch_list)
        self.stopped = self.retiring = False  # retiring: no further call starts, but the current one is still read
        self.current_call: PendingCall | None = None
        self.late_call: PendingCall | None = None  # it has timed out, but a response to it is still accepted
        self.next_call: DelayedCall | None = None
        self.previous = previous  # follows the former address until this one has received a list
        self.on_first_result: Callable[[], None] | None = None  # called once, when the first call has ended

    def watch(self) -> None:
        """Starts to follow the list unless it is already followed."""
        if self.current_call is None and (self.next_call is None or not self.next_call.active()):
            self._start_call()

    def retire(self) -> None:
        """Starts no further call, and reads the current one for a moment longer.

        Changes that discovery has written to it by now count as delivered.
        """
        self.retiring = True
        cancel_call(self.next_call)
        if self.previous is not None:
            self.previous.stop()
            self.previous = None
        self.reactor.callLater(self.limits.empty_answer_delay / SECOND, self.stop)

    def stop(self) -> None:
        """Starts no further call and drops those in progress. No list is applied any more."""
        self.stopped = True
        cancel_call(self.next_call)
        for source in (self.current_call, self.late_call, self.previous):
            if isinstance(source, PendingCall):
                source.drop()
            elif source is not None:
                source.stop()
        self.current_call = self.late_call = self.previous = None
        self.connections.closeCachedConnections().addErrback(lambda _: None)

    def apply(self, document: Any) -> None:
        """Applies a list document and continues from its revision. A document that raises is not applied.

        Raises FieldError.
        """
        revision, complete, entries = parse_list(document, 0)
        if revision < self.revision:
            raise FieldError(f"revision: {revision} is older than {self.revision}, the latest revision")
        self.revision = revision  # set first, as the balancer may request the next list from within update_hosts()
        self.dispatcher.update_hosts(complete, self.start_times.to_monotonic(complete, entries, self.dispatcher.now()))

    def _start_call(self) -> None:
        if self.stopped or self.retiring:
            return
        # Revisions of different addresses need not agree, so the first call to an address requests the complete list.
        times = self.schedule.next_call()
        query = f"?index={self.revision}&wait={times.wait // MS}" if self.revision >= 0 else ""
        result = self.agent.request(b"GET", (self.url + query).encode()).addCallback(self._collect_body)
        call = self.current_call = PendingCall(self.dispatcher.now(), times, result)
        call.timer = self.reactor.callLater(times.timeout / SECOND, self._call_timed_out, call)
        result.addCallback(self._answer_received, call).addErrback(self._call_failed, call)

    def _collect_body(self, response: Any) -> "Deferred[bytes]":
        body = BodyCollector(self.limits.list_bytes)
        response.deliverBody(body)
        if response.code != 200:
            body.done.addErrback(lambda _: None)
            body.end()  # the body may be endless, and each call would leave a connection behind
            raise UnexpectedStatus(f"status {response.code}")
        return body.done.addErrback(self._body_cut_off)

    def _body_cut_off(self, reason: Failure) -> Failure:
        # The response had begun, so the changes in the lost part may count as delivered.
        return Failure(CorruptAnswer(f"cut off: {failure_text(reason)}"))

    def _answer_received(self, body: bytes, call: PendingCall) -> None:
        cancel_call(call.timer)
        if self.stopped or call.dropped:
            return
        # The call that is answered first continues the watch; the other one is dropped.
        other = self.current_call if call is self.late_call else self.late_call
        self.current_call, self.late_call = call, None
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
        # As a rule without a delay: a later call would begin a new watch, with a gap before it.
        self._schedule_call(self.schedule.answered(self.dispatcher.now() - call.started_at, self.revision != before))

    def _schedule_call(self, delay: int) -> None:
        if delay:
            self.next_call = self.reactor.callLater(delay / SECOND, self._start_call)
        else:
            self._start_call()

    def _report_first_result(self) -> None:
        callback, self.on_first_result = self.on_first_result, None
        if callback is not None:
            callback()

    def _call_timed_out(self, call: PendingCall) -> None:
        """The complete response did not arrive within the timeout of the call."""
        times = call.times
        if call is self.late_call:
            self.late_call = None
            call.drop()
            return
        if times.kept_for > times.timeout and self.late_call is None:
            self.late_call = call
            call.timer = self.reactor.callLater((times.kept_for - times.timeout) / SECOND, self._call_timed_out, call)
        else:
            call.drop()
        self._record_failure(CallFailure.SILENT, f"no response within {times.timeout / SECOND:.2f} s")

    def _call_failed(self, failure: Failure, call: PendingCall) -> None:
        cancel_call(call.timer)
        if self.stopped or call.dropped:
            return
        if call is self.late_call:
            self.late_call = None  # the calls that started since then continue
            return
        self._record_failure(
            CallFailure.CORRUPT if failure.check(CorruptAnswer) else CallFailure.NO_ANSWER, failure_text(failure)
        )

    def _record_failure(self, failure: CallFailure, reason: str) -> None:
        self.current_call = None
        if failure is CallFailure.CORRUPT:
            # The changes in the response are lost, so the next call requests the complete list, of any revision.
            self.revision = -1
        self.dispatcher.log("WARNING", "discovery: {}", reason)
        self._report_first_result()
        self._schedule_call(self.schedule.failed(self.dispatcher.now(), failure))


def failure_text(failure: Failure) -> str:
    """Returns why a call failed. Twisted wraps the reason where the connection ended before a response."""
    reasons = getattr(failure.value, "reasons", None) or [failure]
    return reasons[0].getErrorMessage() or "cut off"
