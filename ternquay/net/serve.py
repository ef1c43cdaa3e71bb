"""Puts the parts together, listens, ends in order on SIGTERM and reads its configuration again on SIGHUP."""

import gc
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from errno import EACCES, EADDRINUSE, EADDRNOTAVAIL, EAFNOSUPPORT
from pathlib import Path
from typing import Any

from loguru import logger
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor

from ternquay.balance import Balancer
from ternquay.net import library_log, meta
from ternquay.net.closing import accept_all_waiting, after_answers_sent
from ternquay.net.config import BalancerConfig, ConfigError, read_config
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher, cancel_call
from ternquay.net.frontend import Frontend
from ternquay.net.inherited import adopt_socket, inherited_socket
from ternquay.net.limits import SECOND
from ternquay.net.listener import Listener
from ternquay.net.listing import Address
from ternquay.net.loop_timing import LoopTiming, TimedPoller
from ternquay.net.management import ManagementPort
from ternquay.net.poller import RetryingPoller
from ternquay.net.pool import Pool
from ternquay.net.sockets import Sockets
from ternquay.net.start_times import StartTimes
from ternquay.net.transports import BackoffConnector

FIRST_LOOK = 0.001  # seconds: the loop has run once
# An address that is taken, or can't be ours, is a fault of the configuration; anything else may pass.
NOT_OURS = frozenset({EADDRINUSE, EADDRNOTAVAIL, EACCES, EAFNOSUPPORT})
LISTEN_AGAIN, LISTEN_WITHIN = 0.1, 20.0  # seconds: between two tries, and for all of them


class MonotonicReactor(EPollReactor):
    """Twisted's clock is the wall's, which may be set; ours only goes on."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        super().__init__()
        self._poller = RetryingPoller(self._poller)

    def mark_turns(self, loop_timing: LoopTiming) -> None:
        """Has the begin of each turn told; the library has no place for it but its poller."""
        self._poller = TimedPoller(self._poller, time.monotonic_ns, loop_timing.begin)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Listener:
        listener = Listener(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None) -> Any:
        connector = BackoffConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector


class Service:
    """The assembled balancer."""

    def __init__(self, reactor: Any, config: BalancerConfig, decisions: type[Balancer] = Balancer) -> None:
        self.reactor, self.config, self.limits = reactor, config, config.limits
        self.start_times = StartTimes(lambda: time.time_ns() - int(reactor.seconds() * SECOND))
        self.sockets = sockets = Sockets(self.limits)
        self.replacement: Any = None
        self.shut = False  # another process takes the clients
        self.dispatcher = Dispatcher(reactor, config.settings, config.names, self.limits, decisions)
        self.pool = self.dispatcher.pool = Pool(
            reactor, self.dispatcher, self.limits, sockets, config.settings.parallel_hops
        )
        self.loop_timing = LoopTiming(self.limits.turn_duration)
        self.dispatcher.process_stalled = self.loop_timing.process_stalled
        self.frontend = Frontend(reactor, self.dispatcher, self.limits, sockets, self.loop_timing)
        self.discovery = self._discovery(config.discovery)
        self.port: Any = None
        self.listen_until = reactor.seconds() + LISTEN_WITHIN
        self.management = ManagementPort(reactor, self, self.limits) if config.management is not None else None
        self.fault: ConfigError | None = None  # found when the loop ran already
        self.ending = self.drained = self.stopping = False
        self.leaves: list[Any] = []  # the steps of a drain that are still to come

    def _discovery(self, where: Address, instead: Discovery | None = None) -> Discovery:
        discovery = Discovery(self.reactor, self.dispatcher, self.limits, where, self.start_times, instead)
        self.dispatcher.request_list = discovery.watch
        return discovery

    def begin(self) -> None:
        self.discovery.apply(self.config.initial_list)  # read_config has read it already
        if not self.config.settings.watch_list:
            self.discovery.watch()
        where = self.config.listen
        held = inherited_socket(where)
        if self.management is not None and self.config.management is not None:
            self.management.begin(self.config.management)
        self.pool.sweep()
        self.frontend.sweep()
        if held is not None:
            self._beside(lambda: self._open(adopt_socket(self.reactor, Listener, held, self.frontend)))
            return
        # Once the loop runs: what the system accepts while a start still takes its time is ours, and waits unread.
        if self.config.settings.watch_list:
            self.reactor.callLater(FIRST_LOOK, self._listen)
        else:
            # What is pushed counts as told from the first moment of a process, and the list that it was given may be
            # old: nobody is let in before the first word, or its failure, for a moment.
            self.discovery.on_first_result = self._listen
            self.reactor.callLater(self.limits.first_list_timeout / SECOND, self._listen)

    def _listen(self) -> None:
        where = self.config.listen
        if self.ending or self.port is not None:
            return
        try:
            self._open(self.reactor.listenTCP(where.port, self.frontend, self.limits.backlog, where.host))
        except (CannotListenError, OSError) as fault:
            self._not_listening(fault.socketError if isinstance(fault, CannotListenError) else fault)

    def _not_listening(self, fault: OSError) -> None:
        """Tries again, unless the address is at fault, or it has been tried for long."""
        if fault.errno in NOT_OURS or self.reactor.seconds() > self.listen_until:
            self.fault = ConfigError(f"listen: {self.config.listen}: {fault}")
            self.reactor.stop()
            return
        self.dispatcher.log("WARNING", "can't listen yet: {}", fault.strerror)
        self.reactor.callLater(LISTEN_AGAIN, self._listen)

    def _open(self, port: Any) -> None:
        if self.ending:
            port.stopListening()
            return
        self.port = port
        port.accept_limit, port.on_accepted, port.on_no_room = (
            self.frontend.accept_room,
            self.loop_timing.accept_ended,
            self.frontend.close_longest_idle,
        )
        self.frontend.set_accepting = lambda accept: port.set_accepting(accept and not self.shut)
        if isinstance(port, Listener):
            self.frontend.accept_queue_length = port.queue_length
        logger.info("{} serves on {}", self.config.name, self.config.listen)

    def _beside(self, then: Callable[[], None]) -> None:
        """Where the platform holds the socket, another process of this balancer may be here, or come."""
        from ternquay.net.replacement import Replacement

        folder = os.environ.get("TMPDIR", "")
        try:
            self.replacement = Replacement(self, Path(folder)) if folder else None
        except OSError as fault:
            logger.warning("TMPDIR: {} can't be used, no other process is known here: {}", folder, fault.strerror)
        if self.replacement is None:
            then()
        else:
            self.replacement.begin(then)

    def serves(self) -> bool:
        return not self.unready()

    def peer_changed(self) -> None:
        """From the replacement: against questions and clients that half of the time reach who says no."""
        shut = self.replacement.other_serves and (self.drained or self.ending)
        if shut != self.shut and self.port is not None:
            self.shut = shut
            self.frontend.set_accepting(not self.frontend.accepting_paused)
        self.frontend.resume_accepting()  # as the ceiling may have risen

    def reload(self) -> None:
        """SIGHUP: the file is read again; where it can't be used, all stays as it is."""
        old = self.config
        try:
            new = read_config(old.path)
        except ConfigError as fault:
            logger.error("told to read the configuration again, the old one is kept: {}", fault)
            return
        # All else is built into what is open now. The seed and the list known are for starts alone.
        new = replace(new, settings=replace(new.settings, seed=old.settings.seed))
        for field in ("name", "listen", "management", "limits", "settings"):
            if getattr(new, field) != getattr(old, field):
                logger.warning("the configuration has another {}, which waits for the next start", field)
        logger.info("read the configuration again, discovery: {}", new.discovery)
        if new.discovery != old.discovery and not self.ending:
            self.config = replace(old, discovery=new.discovery)
            self.discovery.retire()
            self.discovery = self._discovery(new.discovery, self.discovery)
            self.discovery.watch()

    # ---- what operators call ----

    def unready(self) -> str:
        """Why this process does not serve, or nothing."""
        if self.ending:
            return "ending"
        if self.drained:
            return "out of service"
        if self.port is None:
            return "waits for the process that it replaces"
        return "" if self.dispatcher.host_indices else "no cache host is known"

    def out_of_service(self) -> str:
        """Drains: an `mn` is told at once, clients are served for a moment, then each is closed after its answer."""
        if not self.drained:
            self.drained, self.frontend.noop_answer = True, meta.OUT_OF_SERVICE
            self.leaves = [
                self.reactor.callLater(at / SECOND, step)
                for at, step in (
                    (self.limits.accept_grace, lambda: self.frontend.leave(self.limits.new_client_grace)),
                    (self.limits.drain_cutoff_after, self.frontend.close_inactive),
                )
            ]
            logger.info("out of service, {} transactions open", len(self.dispatcher.open_txs))
        return ""

    def in_service(self) -> str:
        if self.ending:
            return "ending"
        if self.drained:
            self._undrained()
            self.frontend.leaving, self.frontend.noop_answer = False, meta.NOOP_ANSWER
            logger.info("in service")
        return ""

    def metrics(self) -> str:
        return self.dispatcher.safety.metrics()

    def events(self) -> str:
        return self.dispatcher.safety.recent_events()

    def _undrained(self) -> None:
        self.drained = False
        for call in self.leaves:
            cancel_call(call)

    def signals(self) -> "dict[signal.Signals, Callable[[], None]]":
        return {signal.SIGTERM: self.end, signal.SIGINT: self.end, signal.SIGHUP: self.reload}

    def end(self) -> None:
        """SIGTERM: clients still come for a moment; those that are here are served on for as long as it goes.

        To close their connections at once would send them all to the others, which may be about to end too.
        """
        if self.ending:
            return
        self.ending = True
        self._undrained()
        logger.info("told to end, {} transactions open", len(self.dispatcher.open_txs))
        if self.replacement is not None and self.replacement.other_serves:
            # What comes now is the other process's, and so is who has its answer.
            self._close_door()
            self.frontend.leave(self.limits.new_client_grace)
            self._wait()
        self.dispatcher.answer_deadline = self.dispatcher.now() + self.limits.last_answer_after
        self.reactor.callLater(self.limits.accept_grace / SECOND, self._close_door)
        self.reactor.callLater(self.limits.leave_after / SECOND, self._leave)
        self.reactor.callLater(self.limits.stop_after / SECOND, self._stop)

    def _close_door(self) -> None:
        self.frontend.set_accepting = lambda accept: None
        self.frontend.accept_queue_length = lambda: 0
        port = self.port
        # The other process, if there may be one, has the same queue.
        ours = self.replacement is None and isinstance(port, Listener)
        if (
            isinstance(port, Listener)
            and ours
            and not accept_all_waiting(port, self.sockets)
            and not self.frontend.leaving
        ):
            self.frontend.close_longest_idle()
            self.reactor.callLater(0.01, self._close_door)
            return
        self.port = None
        if port is not None:
            port.stopListening()

    def _leave(self) -> None:
        self.frontend.leave()
        self._wait()

    def _wait(self) -> None:
        if self.frontend.clients:
            self.reactor.callLater(0.01, self._wait)
        else:
            self._stop()

    def _stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            after_answers_sent(self.reactor, self.frontend.has_unsent_answers, self.limits.flush_timeout, self._stopped)

    def _stopped(self) -> None:
        if self.reactor.running:
            self.discovery.stop()
            if self.replacement is not None:
                self.replacement.stop()
            logger.info(self.dispatcher.safety.summary())
            logger.info("ended, {} transactions open", sum(not tx.answered for tx in self.dispatcher.open_txs.values()))
            self.reactor.stop()


def run(config: BalancerConfig, decisions: type[Balancer] = Balancer) -> None:
    """Serves until it is told to end; other decisions than the product's are for comparisons."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to read again: never an end
    logger.remove()
    # Without the values of variables in a traceback: keys and values would be among them.
    logger.add(
        sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", backtrace=False, diagnose=False
    )
    library_log.install()
    reactor = MonotonicReactor()
    installReactor(reactor)
    service = Service(reactor, config, decisions)
    service.begin()
    reactor.mark_turns(service.loop_timing)
    # What is there now stays. Against a look through all of it while it serves: that took 30 ms, of a whole core, in
    # which every answer is late and no client's end is seen.
    gc.freeze()

    def heed(number: signal.Signals, what: Callable[[], None]) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(what))

    for number, what in service.signals().items():
        reactor.callWhenRunning(heed, number, what)
    reactor.run()
    if service.fault is not None:
        raise service.fault
