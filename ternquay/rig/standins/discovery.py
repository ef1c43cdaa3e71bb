"""Discovery on sockets: HTTP with watches, at two addresses for each balancer, as one may move."""

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

WAIT_MOST = 60_000
GOES_ON = 200 * MS  # a watch does, as long as the next call comes within this of the last answer
QUEUE_MOST = SECOND  # a call that would wait longer is turned away
COUNT_EVERY = 0.02  # seconds
GARBAGE = (b"", b"{", b'{"revision":"x","complete":true,"members":[{}]}', b"\xff\x00<html>", b"[]")


@dataclass(slots=True, eq=False)
class Watch:
    call: Request
    index: int
    balancer: int
    silent: bool = False  # nothing comes on it any more


class Targets(Resource):
    """`/api/targets` as one balancer sees it."""

    isLeaf = True

    def __init__(self, driver: "DiscoveryDriver", balancer: int) -> None:
        super().__init__()
        self.driver, self.balancer = driver, balancer

    def render_GET(self, call: Request) -> Any:
        return self.driver.asked(call, self.balancer)


def number_in(call: Request, name: bytes) -> int | None:
    words = (call.args or {}).get(name, [b""])
    return int(words[0]) if words[0].isdigit() and len(words[0]) < 12 else None


class DiscoveryDriver:
    def __init__(
        self,
        reactor: Any,
        listing: Callable[[], Listing],
        clock: Callable[[], int],
        balancers: int,
        epoch_ms: int,
        must_ask: int = 10 * SECOND,
    ) -> None:
        self.reactor, self.listing, self.clock, self.epoch_ms = reactor, listing, clock, epoch_ms
        self.begin = 0
        self.watches: set[Watch] = set()
        self.told: list[records.Told] = []
        self.spoilt = 0
        self.counted = [DeliveryClock(must_ask) for _ in range(balancers)]
        self.answered = [0] * balancers  # when each balancer's last answer was written
        self.free_at = 0  # when discovery has worked through the calls that begin a watch
        self.places: list[list[str]] = []
        for balancer in range(balancers):
            site = Site(Targets(self, balancer))
            site.noisy = False
            ports = [reactor.listenTCP(0, site, 256, f"127.2.{balancer}.{n}") for n in (1, 2)]
            self.places.append([f"127.2.{balancer}.{n}:{port.getHost().port}" for n, port in enumerate(ports, 1)])

    def now(self) -> int:
        # Against a revision of before the list began, told to whoever calls between the word to begin and the begin.
        return max(0, self.clock() - self.begin) if self.begin else 0

    def start(self, begin: int) -> None:
        self.begin = begin
        for fault in self.listing().faults:
            if fault.kind == "list-down":
                self.reactor.callLater((begin + fault.start - self.clock()) / SECOND, self.end_watches)
            if fault.kind == "list-silent":
                self.reactor.callLater((begin + fault.start - self.clock()) / SECOND, self.silence)
        for counted in self.counted:
            # What stands at the begin is in the list that each starts with.
            counted.version = self.listing().revision(0)
        self._count()

    def silence(self) -> None:
        """All watches that are open fall silent, and say nothing of it."""
        for watch in self.watches:
            watch.silent = True
            self.counted[watch.balancer].watch_silent(self.now())

    def _count(self) -> None:
        """What counts as told by the clocks though it was not written."""
        listing, now = self.listing(), self.now()
        for balancer, counted in enumerate(self.counted):
            due = counted.due_version(now, listing.visible)
            if due > counted.version:
                entries = listing.entries[counted.version : due]
                self.told += [records.Told(balancer, now + self.begin, entry.id, entry.phase) for entry in entries]
                counted.version = due
        self.reactor.callLater(COUNT_EVERY, self._count)

    def end_watches(self) -> None:
        """Discovery went down."""
        watches, self.watches = self.watches, set()
        for counted in self.counted:
            counted.discovery_down(self.now())
        for watch in watches:
            self.counted[watch.balancer].call_failed()
            self._fail(watch.call)

    def _fail(self, call: Any) -> None:
        if call.channel is not None and call.channel.transport is not None:
            call.channel.transport.abortConnection()

    def asked(self, call: Request, balancer: int) -> Any:
        listing, now = self.listing(), self.now()
        wait = min(WAIT_MOST, number_in(call, b"wait") or 0)
        self.counted[balancer].call_received(now, wait * MS)
        if listing.down(now):
            self.counted[balancer].call_failed()
            if self.spoilt % 2:
                call.setResponseCode(503)
                self.spoilt += 1
                return b"down"
            self.spoilt += 1
            self._fail(call)
            return NOT_DONE_YET
        if listing.garbage(now):
            self.spoilt += 1
            return GARBAGE[self.spoilt % len(GARBAGE)]
        each = listing.queue(now)
        if each and now - self.answered[balancer] > GOES_ON:
            return self._queued(call, balancer, wait, now, each)
        return self._take(call, balancer, wait)

    def _queued(self, call: Request, balancer: int, wait: int, now: int, each: int) -> Any:
        """A call that begins a watch waits its turn, or is turned away where that would be too long."""
        at = max(now, self.free_at) + each
        if at - now > QUEUE_MOST:
            self.counted[balancer].call_failed()
            call.setResponseCode(503)
            return b"busy"
        self.free_at = at
        left: list[Any] = []
        call.notifyFinish().addErrback(lambda _: left.append(call))

        def turn() -> None:
            if not left:
                body = self._take(call, balancer, wait)
                if body is not NOT_DONE_YET:
                    call.write(body)
                    call.finish()

        self.reactor.callLater((at - now) / SECOND, turn)
        return NOT_DONE_YET

    def _take(self, call: Request, balancer: int, wait: int) -> Any:
        listing, now = self.listing(), self.now()
        index = number_in(call, b"index")
        if index is None:
            return self._write(balancer, listing.revision(now), True, listing.whole(now))
        if listing.revision(now) > index or not wait:
            return self._write(balancer, listing.revision(now), False, listing.since(now, index))
        watch = Watch(call, index, balancer)
        self.watches.add(watch)
        call.notifyFinish().addErrback(lambda _: self.watches.discard(watch))
        self.reactor.callLater(wait / 1000, self._look, watch, True)
        return NOT_DONE_YET

    def changed(self, at: int) -> None:
        """There will be something new at that time of the play."""
        self.reactor.callLater(max(0, at - self.now()) / SECOND + 0.001, self._look_all)

    def _look_all(self) -> None:
        for watch in list(self.watches):
            self._look(watch)

    def _look(self, watch: Watch, over: bool = False) -> None:
        """Answers it if there is something new, or its time is over: it may have begun before the play's time did."""
        listing, now = self.listing(), self.now()
        if watch not in self.watches or watch.silent or (listing.revision(now) <= watch.index and not over):
            return
        self.watches.discard(watch)
        if listing.garbage(now):
            watch.call.write(GARBAGE[1])
        else:
            entries = listing.since(now, watch.index)
            watch.call.write(self._write(watch.balancer, listing.revision(now), False, entries))
        watch.call.finish()

    def _write(self, balancer: int, revision: int, whole: bool, entries: list[Entry]) -> bytes:
        now = self.now() + self.begin
        self.answered[balancer] = self.now()
        self.counted[balancer].answer_written(revision)
        self.told += [records.Told(balancer, now, entry.id, entry.phase) for entry in entries]
        if whole:
            # What is not in it is told as gone just so.
            named, known = {entry.id for entry in entries}, self.listing().entries[:revision]
            gone = {entry.id for entry in known} - named
            self.told += [records.Told(balancer, now, id, "removed") for id in sorted(gone)]
        return self.shown(revision, whole, entries)

    def shown(self, revision: int, whole: bool, entries: list[Entry]) -> bytes:
        members = [entry.told(self.epoch_ms) for entry in entries]
        return orjson.dumps({"revision": revision, "complete": whole, "members": members})
