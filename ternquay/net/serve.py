"""The process of one balancer: listens, shuts down in order on SIGTERM and reloads its configuration on SIGHUP."""

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
from ternquay.net.closing import ClosingListeners, after_answers_sent
from ternquay.net.config import BalancerConfig, ConfigError, read_config
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher, cancel_call
from ternquay.net.frontend import Frontend
from ternquay.net.inherited import adopt_socket, inherited_socket
from ternquay.net.limits import PROGRAM_MB, SECOND
from ternquay.net.listener import Listener
from ternquay.net.listing import Address
from ternquay.net.loop_timing import LoopTiming, TimedPoller
from ternquay.net.management import ManagementPort
from ternquay.net.poller import RetryingPoller
from ternquay.net.pool import Pool
from ternquay.net.sockets import Sockets
from ternquay.net.start_times import StartTimes
from ternquay.net.transports import BackoffConnector

FIRST_TURN_SECONDS = 0.001  # the loop has run once after this
# An address that is in use or not available is an error of the configuration; any other error may be transient.
PERMANENT_LISTEN_ERRORS = frozenset({EADDRINUSE, EADDRNOTAVAIL, EACCES, EAFNOSUPPORT})
LISTEN_RETRY_SECONDS = 0.1
LISTEN_TIMEOUT_SECONDS = 20.0  # for all attempts


class MonotonicReactor(EPollReactor):
    """A reactor on the monotonic clock, with this project's listener, connector and poller.

    Twisted uses the wall clock, which may be stepped.
    """

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        super().__init__()
        self._poller = RetryingPoller(self._poller)

    def mark_turns(self, loop_timing: LoopTiming) -> None:
        """Reports the start of each turn of the loop. The poller is the only place where Twisted allows it."""
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
    """All parts of a balancer's process, and its lifecycle."""

    def __init__(self, reactor: Any, config: BalancerConfig, decisions: type[Balancer] = Balancer) -> None:
        self.reactor, self.config, self.limits = reactor, config, config.limits
        self.start_times = StartTimes(lambda: time.time_ns() - int(reactor.seconds() * SECOND))
        self.sockets = sockets = Sockets(self.limits)
        self.replacement: Any = None
        self.peer_accepts = False  # another process of this balancer accepts the clients
        self.dispatcher = Dispatcher(reactor, config.settings, config.names, self.limits, decisions)
        self.pool = self.dispatcher.pool = Pool(
            reactor, self.dispatcher, self.limits, sockets, config.settings.parallel_hops
        )
        self.loop_timing = LoopTiming(self.limits.turn_duration)
        self.dispatcher.process_stalled = self.loop_timing.process_stalled
        self.frontend = Frontend(reactor, self.dispatcher, self.limits, sockets, self.loop_timing)
        self.pool.is_short = self.frontend.is_short
        self.discovery = self._create_discovery(config.discovery)
        self.port: Any = None
        self.closing_listeners = ClosingListeners(reactor, sockets, self.frontend.close_longest_idle)
        self.listen_deadline = reactor.seconds() + LISTEN_TIMEOUT_SECONDS
        self.management = ManagementPort(reactor, self, self.limits) if config.management is not None else None
        self.startup_error: ConfigError | None = None  # found when the loop was already running
        self.ending = self.draining = self.stopping = False
        self.drain_steps: list[Any] = []  # the timers of the remaining steps of a drain

    def _create_discovery(self, address: Address, previous: Discovery | None = None) -> Discovery:
        discovery = Discovery(self.reactor, self.dispatcher, self.limits, address, self.start_times, previous)
        self.dispatcher.request_list = discovery.watch
        return discovery

    def begin(self) -> None:
        """Starts the parts and listens, or schedules it. Raises ConfigError."""
        if self.limits.below_program:
            logger.warning(
                "limits.memory_mb: a process takes about {} MB itself, so the limit can't be kept", PROGRAM_MB
            )
        self.discovery.apply(self.config.initial_list)  # read_config() has checked it
        if not self.config.settings.watch_list:
            self.discovery.watch()
        address = self.config.listen
        inherited = inherited_socket(address)
        if self.management is not None and self.config.management is not None:
            self.management.begin(self.config.management)
        self.pool.sweep()
        self.frontend.sweep()
        if inherited is not None:
            self._begin_with_replacement(
                lambda: self._use_port(adopt_socket(self.reactor, Listener, inherited, self.frontend))
            )
            return
        # Listens only when the loop runs: connections that the operating system accepts earlier would wait unread.
        if self.config.settings.watch_list:
            self.reactor.callLater(FIRST_TURN_SECONDS, self._listen)
        else:
            # A pushed change counts as delivered as soon as the process runs, and the configured list may be outdated.
            # So clients are accepted after the first call to discovery has ended, or after a short time limit.
            self.discovery.on_first_result = self._listen
            self.reactor.callLater(self.limits.first_list_timeout / SECOND, self._listen)

    def _listen(self) -> None:
        address = self.config.listen
        if self.ending or self.port is not None:
            return
        try:
            self._use_port(self.reactor.listenTCP(address.port, self.frontend, self.limits.backlog, address.host))
        except (CannotListenError, OSError) as fault:
            self._listen_failed(fault.socketError if isinstance(fault, CannotListenError) else fault)

    def _listen_failed(self, fault: OSError) -> None:
        """Retries to listen, unless the error is permanent or the time limit has passed."""
        if fault.errno in PERMANENT_LISTEN_ERRORS or self.reactor.seconds() > self.listen_deadline:
            self.startup_error = ConfigError(f"listen: {self.config.listen}: {fault}")
            self.reactor.stop()
            return
        self.dispatcher.log("WARNING", "can't listen yet: {}", fault.strerror)
        self.reactor.callLater(LISTEN_RETRY_SECONDS, self._listen)

    def _use_port(self, port: Any) -> None:
        """Connects the listening port with the frontend."""
        if self.ending:
            port.stopListening()
            return
        self.port = port
        port.accept_limit, port.on_accepted, port.on_no_room = (
            self.frontend.accept_room,
            self.loop_timing.accept_ended,
            self.frontend.close_longest_idle,
        )
        self.frontend.set_accepting = lambda accept: port.set_accepting(accept and not self.peer_accepts)
        if isinstance(port, Listener):
            self.frontend.accept_queue_length = port.queue_length
        logger.info("{} serves on {}", self.config.name, self.config.listen)

    def _begin_with_replacement(self, then: Callable[[], None]) -> None:
        """Calls `then` when this process may serve. With an inherited socket there may be another process beside it."""
        from ternquay.net.replacement import Replacement

        folder = os.environ.get("TMPDIR", "")
        try:
            self.replacement = Replacement(self, Path(folder)) if folder else None
        except OSError as fault:
            logger.warning("TMPDIR: {} can't be used, so other processes are not detected: {}", folder, fault.strerror)
        if self.replacement is None:
            then()
        else:
            self.replacement.begin(then)

    def serves(self) -> bool:
        """Returns whether this process accepts clients."""
        return not self.not_ready_reason()

    def peer_changed(self) -> None:
        """Stops accepting clients while this process drains or ends and the other process serves.

        Otherwise half of the health checks and new clients would reach the process that refuses them.
        """
        peer_accepts = self.replacement.other_serves and (self.draining or self.ending)
        if peer_accepts != self.peer_accepts and self.port is not None:
            self.peer_accepts = peer_accepts
            self.frontend.set_accepting(not self.frontend.accepting_paused)
        self.frontend.resume_accepting()  # the ceiling of sockets may have risen

    def reload(self) -> None:
        """Reads the configuration file again (SIGHUP). Only another discovery address takes effect.

        A file that can't be used changes nothing.
        """
        old = self.config
        try:
            new = read_config(old.path)
        except ConfigError as fault:
            logger.error("configuration reload failed, the old configuration is kept: {}", fault)
            return
        # All other settings are built into open connections. The seed and the initial list matter only at a start.
        new = replace(new, settings=replace(new.settings, seed=old.settings.seed))
        for field in ("name", "listen", "management", "limits", "settings"):
            if getattr(new, field) != getattr(old, field):
                logger.warning("the configuration has another {}, which takes effect at the next start", field)
        logger.info("configuration reloaded, discovery: {}", new.discovery)
        if new.discovery != old.discovery and not self.ending:
            self.config = replace(old, discovery=new.discovery)
            self.discovery.retire()
            self.discovery = self._create_discovery(new.discovery, self.discovery)
            self.discovery.watch()

    # ---- calls of operators ----

    def not_ready_reason(self) -> str:
        """Returns why this process does not serve, or an empty string."""
        if self.ending:
            return "ending"
        if self.draining:
            return "out of service"
        if self.port is None:
            return "waits for the process that it replaces"
        return "" if self.dispatcher.host_indices else "no cache host is known"

    def out_of_service(self) -> str:
        """Starts to drain: refuses `mn` at once and, a little later, closes each client after its response."""
        if not self.draining:
            self.draining, self.frontend.noop_answer = True, meta.OUT_OF_SERVICE
            self.drain_steps = [
                self.reactor.callLater(at / SECOND, step)
                for at, step in (
                    (self.limits.accept_grace, lambda: self.frontend.leave(self.limits.new_client_grace)),
                    (self.limits.drain_cutoff_after, self.frontend.close_inactive),
                )
            ]
            logger.info("out of service, {} transactions open", len(self.dispatcher.open_txs))
        return ""

    def in_service(self) -> str:
        """Ends a drain. Returns why that is not possible, or an empty string."""
        if self.ending:
            return "ending"
        if self.draining:
            self._cancel_drain()
            self.frontend.leaving, self.frontend.noop_answer = False, meta.NOOP_ANSWER
            logger.info("in service")
        return ""

    def metrics(self) -> str:
        """Returns the counters of the process, one per line."""
        return self.dispatcher.safety.metrics()

    def events(self) -> str:
        """Returns the latest events, one per line."""
        return self.dispatcher.safety.recent_events()

    def _cancel_drain(self) -> None:
        self.draining = False
        for call in self.drain_steps:
            cancel_call(call)

    def signals(self) -> "dict[signal.Signals, Callable[[], None]]":
        """Returns the handler of each signal."""
        return {signal.SIGTERM: self.end, signal.SIGINT: self.end, signal.SIGHUP: self.reload}

    def end(self) -> None:
        """Starts the planned shutdown (SIGTERM). Clients are accepted a little longer, and connected ones are served.

        Closing their connections at once would move all of them to other balancers, which may be about to end too.
        """
        if self.ending:
            return
        self.ending = True
        self._cancel_drain()
        logger.info("shutdown requested, {} transactions open", len(self.dispatcher.open_txs))
        if self.replacement is not None and self.replacement.other_serves:
            # New connections, and clients that have their responses, belong to the other process.
            self._stop_accepting()
            self.frontend.leave(self.limits.new_client_grace)
            self._wait_for_clients()
        now = self.dispatcher.now()
        self.dispatcher.answer_all_by(now + self.limits.last_answer_after, now + self.limits.leave_after)
        self.reactor.callLater(self.limits.accept_grace / SECOND, self._stop_accepting)
        self.reactor.callLater(self.limits.leave_after / SECOND, self._close_clients)
        self.reactor.callLater(self.limits.stop_after / SECOND, self._flush_and_exit)

    def _stop_accepting(self) -> None:
        """Closes the listening socket once the connections in its accept queue are accepted."""
        self.frontend.set_accepting = lambda accept: self.closing_listeners.accept_waiting() if accept else None
        self.frontend.accept_queue_length = lambda: 0
        port, self.port = self.port, None
        if isinstance(port, Listener) and self.replacement is None:
            self.closing_listeners.add(port)
        elif port is not None:
            port.stopListening()  # a second process, if there may be one, shares the accept queue of the socket

    def _close_clients(self) -> None:
        """Closes connections between transactions, and exits when all are closed."""
        self.frontend.leave()
        self._wait_for_clients()

    def _wait_for_clients(self) -> None:
        if self.frontend.clients or self.closing_listeners.ports:
            self.reactor.callLater(0.01, self._wait_for_clients)
        else:
            self._flush_and_exit()

    def _flush_and_exit(self) -> None:
        """Exits when the last responses are written, or after the flush timeout and the large values under way."""
        if not self.stopping:
            self.stopping = True
            after_answers_sent(
                self.reactor,
                self.frontend.owes_answers,
                self.frontend.writes_answers,
                self.limits.flush_timeout,
                self._exit,
            )

    def _exit(self) -> None:
        if self.reactor.running:
            self.discovery.stop()
            if self.replacement is not None:
                self.replacement.stop()
            logger.info(self.dispatcher.safety.summary())
            logger.info(
                "stopped, {} transactions open", sum(not tx.answered for tx in self.dispatcher.open_txs.values())
            )
            self.reactor.stop()


def run(config: BalancerConfig, decisions: type[Balancer] = Balancer) -> None:
    """Serves until a signal ends the process. Raises ConfigError.

    `decisions`: a replacement for the balancer's decisions, for comparisons.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until a reload is possible, SIGHUP must not end the process
    logger.remove()
    # Tracebacks leave out the values of variables, as keys and values of clients would be among them.
    logger.add(
        sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", backtrace=False, diagnose=False
    )
    library_log.install()
    reactor = MonotonicReactor()
    installReactor(reactor)
    service = Service(reactor, config, decisions)
    service.begin()
    reactor.mark_turns(service.loop_timing)
    # The objects that exist now live until the end. Without the freeze, a full garbage collection took 30 ms of one
    # core, in which every response is late and a client's disconnect is not noticed.
    gc.freeze()

    def install_handler(number: signal.Signals, handler: Callable[[], None]) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(handler))

    for number, handler in service.signals().items():
        reactor.callWhenRunning(install_handler, number, handler)
    reactor.run()
    if service.startup_error is not None:
        raise service.startup_error
