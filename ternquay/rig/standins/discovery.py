"""Stand-in of discovery on sockets: HTTP with watches (long polls), with injected faults.

Each balancer gets two addresses, so that a test can move it from one to the other.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from ternquay.rig import records
from ternquay.rig.laws.delivery import DeliveryClock
from ternquay.rig.laws.listing import Entry, Listing
from ternquay.rig.terms import MS, SECOND

MAX_WAIT_MS = 60_000
WATCH_CONTINUES_NS = 200 * MS  # a call within this time of the last answer continues its watch
MAX_QUEUE_WAIT_NS = SECOND  # a call that would wait longer is rejected
COUNT_INTERVAL_SECONDS = 0.02
GARBAGE = (b"", b"{", b'{"revision":"x","complete":true,"members":[{}]}', b"\xff\x00<html>", b"[]")


@dataclass(slots=True, eq=False)
class Watch:
    """A call that discovery holds open until revision `index` is outdated or its wait is over."""

    call: Request
    index: int
    balancer: int
    silent: bool = False  # a fault suppresses all its answers


class Targets(Resource):
    """The resource `/api/targets` for one balancer."""

    isLeaf = True

    def __init__(self, driver: "DiscoveryDriver", balancer: int) -> None:
        super().__init__()
        self.driver, self.balancer = driver, balancer

    def render_GET(self, call: Request) -> Any:
        return self.driver.handle_call(call, self.balancer)


def query_number(call: Request, name: bytes) -> int | None:
    """Returns a numeric query parameter, or None if it is missing or malformed."""
    values = (call.args or {}).get(name, [b""])
    return int(values[0]) if values[0].isdigit() and len(values[0]) < 12 else None


class DiscoveryDriver:
    """Serves the list model on the reactor and records which change was delivered to which balancer when."""

    def __init__(
        self,
        reactor: Any,
        listing: Callable[[], Listing],
        clock: Callable[[], int],
        balancers: int,
        epoch_ms: int,
        must_ask_ns: int = 10 * SECOND,
    ) -> None:
        self.reactor, self.listing, self.clock, self.epoch_ms = reactor, listing, clock, epoch_ms
        self.begin = 0
        self.watches: set[Watch] = set()
        self.deliveries: list[records.Told] = []
        self.faulty_answers = 0
        self.delivery_clocks = [DeliveryClock(must_ask_ns) for _ in range(balancers)]
        self.last_answer_at = [0] * balancers  # time of the last answer to each balancer
        self.queue_free_at = 0  # time at which the queue of calls that start a watch is empty
        self.addresses: list[list[str]] = []
        for balancer in range(balancers):
            site = Site(Targets(self, balancer))
            site.noisy = False
            ports = [reactor.listenTCP(0, site, 256, f"127.2.{balancer}.{n}") for n in (1, 2)]
            self.addresses.append([f"127.2.{balancer}.{n}:{port.getHost().port}" for n, port in enumerate(ports, 1)])

    def now(self) -> int:
        # The start time may lie ahead: a call before it must not get a revision from before the first one.
        return max(0, self.clock() - self.begin) if self.begin else 0

    def start(self, begin: int) -> None:
        self.begin = begin
        for fault in self.listing().faults:
            if fault.kind == "list-down":
                self.reactor.callLater((begin + fault.start - self.clock()) / SECOND, self.end_watches)
            if fault.kind == "list-silent":
                self.reactor.callLater((begin + fault.start - self.clock()) / SECOND, self.silence_watches)
        for clock in self.delivery_clocks:
            # Each balancer starts with a list that includes the revision at the start.
            clock.version = self.listing().revision(0)
        self._count_deliveries()

    def silence_watches(self) -> None:
        """Silences all open watches without any sign to the balancers."""
        for watch in self.watches:
            watch.silent = True
            self.delivery_clocks[watch.balancer].watch_silent(self.now())

    def _count_deliveries(self) -> None:
        """Records the changes that count as delivered by the clocks although they were not written."""
        listing, now = self.listing(), self.now()
        for balancer, clock in enumerate(self.delivery_clocks):
            due = clock.due_version(now, listing.visible)
            if due > clock.version:
                entries = listing.entries[clock.version : due]
                self.deliveries += [
                    records.Told(balancer, now + self.begin, entry.id, entry.phase) for entry in entries
                ]
                clock.version = due
        self.reactor.callLater(COUNT_INTERVAL_SECONDS, self._count_deliveries)

    def end_watches(self) -> None:
        """Ends all watches, as discovery goes down."""
        watches, self.watches = self.watches, set()
        for clock in self.delivery_clocks:
            clock.discovery_down(self.now())
        for watch in watches:
            self.delivery_clocks[watch.balancer].call_failed()
            self._abort(watch.call)

    def _abort(self, call: Any) -> None:
        if call.channel is not None and call.channel.transport is not None:
            call.channel.transport.abortConnection()

    def handle_call(self, call: Request, balancer: int) -> Any:
        listing, now = self.listing(), self.now()
        wait = min(MAX_WAIT_MS, query_number(call, b"wait") or 0)
        self.delivery_clocks[balancer].call_received(now, wait * MS)
        if listing.down(now):
            self.delivery_clocks[balancer].call_failed()
            if self.faulty_answers % 2:
                call.setResponseCode(503)
                self.faulty_answers += 1
                return b"down"
            self.faulty_answers += 1
            self._abort(call)
            return NOT_DONE_YET
        if listing.garbage(now):
            self.faulty_answers += 1
            return GARBAGE[self.faulty_answers % len(GARBAGE)]
        delay = listing.watch_start_delay(now)
        if delay and now - self.last_answer_at[balancer] > WATCH_CONTINUES_NS:
            return self._queue_call(call, balancer, wait, now, delay)
        return self._answer_or_watch(call, balancer, wait)

    def _queue_call(self, call: Request, balancer: int, wait: int, now: int, delay: int) -> Any:
        """Queues a call that starts a watch, or rejects it if it would wait too long."""
        at = max(now, self.queue_free_at) + delay
        if at - now > MAX_QUEUE_WAIT_NS:
            self.delivery_clocks[balancer].call_failed()
            call.setResponseCode(503)
            return b"busy"
        self.queue_free_at = at
        disconnected: list[Any] = []
        call.notifyFinish().addErrback(lambda _: disconnected.append(call))

        def process() -> None:
            if not disconnected:
                body = self._answer_or_watch(call, balancer, wait)
                if body is not NOT_DONE_YET:
                    call.write(body)
                    call.finish()

        self.reactor.callLater((at - now) / SECOND, process)
        return NOT_DONE_YET

    def _answer_or_watch(self, call: Request, balancer: int, wait: int) -> Any:
        listing, now = self.listing(), self.now()
        index = query_number(call, b"index")
        if index is None:
            return self._answer(balancer, listing.revision(now), True, listing.complete(now))
        if listing.revision(now) > index or not wait:
            return self._answer(balancer, listing.revision(now), False, listing.since(now, index))
        watch = Watch(call, index, balancer)
        self.watches.add(watch)
        call.notifyFinish().addErrback(lambda _: self.watches.discard(watch))
        self.reactor.callLater(wait / 1000, self._answer_watch, watch, True)
        return NOT_DONE_YET

    def list_changed(self, at: int) -> None:
        """Notes that a new revision becomes visible at that time."""
        self.reactor.callLater(max(0, at - self.now()) / SECOND + 0.001, self._answer_watches)

    def _answer_watches(self) -> None:
        for watch in list(self.watches):
            self._answer_watch(watch)

    def _answer_watch(self, watch: Watch, over: bool = False) -> None:
        """Answers a watch if there is a new revision or its wait is over.

        `over` is passed in, as the watch may have started before the time of the play."""
        listing, now = self.listing(), self.now()
        if watch not in self.watches or watch.silent or (listing.revision(now) <= watch.index and not over):
            return
        self.watches.discard(watch)
        if listing.garbage(now):
            watch.call.write(GARBAGE[1])
        else:
            entries = listing.since(now, watch.index)
            watch.call.write(self._answer(watch.balancer, listing.revision(now), False, entries))
        watch.call.finish()

    def _answer(self, balancer: int, revision: int, complete: bool, entries: list[Entry]) -> bytes:
        now = self.now() + self.begin
        self.last_answer_at[balancer] = self.now()
        self.delivery_clocks[balancer].answer_written(revision)
        self.deliveries += [records.Told(balancer, now, entry.id, entry.phase) for entry in entries]
        if complete:
            # A complete list implies the removal of all hosts that are not in it.
            listed, known = {entry.id for entry in entries}, self.listing().entries[:revision]
            removed = {entry.id for entry in known} - listed
            self.deliveries += [records.Told(balancer, now, id, "removed") for id in sorted(removed)]
        return self.encode(revision, complete, entries)

    def encode(self, revision: int, complete: bool, entries: list[Entry]) -> bytes:
        """Encodes an answer as JSON."""
        members = [entry.to_json(self.epoch_ms) for entry in entries]
        return orjson.dumps({"revision": revision, "complete": complete, "members": members})
