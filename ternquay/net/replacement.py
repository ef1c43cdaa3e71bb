"""The replacement of one process of a balancer by another: detection, the successor's takeover and shared limits.

Loaded only where the platform holds the listening socket, so that two processes may run beside each other. The files
and locks are in handover/slots.py, the format of notes and the split of limits in handover/notes.py. This module
connects them with the clock, the dispatcher and the count of sockets.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from loguru import logger

from ternquay.handover.notes import Note, SocketCeilings, decode_learned, encode_learned
from ternquay.handover.slots import Slots
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.limits import MS, SECOND
from ternquay.net.request_ids import RequestIds, SharedIdTable
from ternquay.net.sockets import Sockets

POLL_INTERVAL_NS = 100 * MS  # of the other process's slot and note
NOTE_TIMEOUT_NS = SECOND  # how long a successor waits for the first note of its predecessor
NOTE_REFRESH_NS = SECOND // 2  # an unchanged note is written again after this time


class ReplaceableService(Protocol):
    """The interface of the service that Replacement uses."""

    reactor: Any
    dispatcher: Dispatcher
    sockets: Sockets
    discovery: Discovery

    def serves(self) -> bool: ...

    def peer_changed(self) -> None:
        """Called at each poll, as the other process may have started, ended, or begun or stopped to serve."""


class Replacement:
    """The part of one process in a replacement, as predecessor or successor."""

    def __init__(self, service: ReplaceableService, folder: Path) -> None:
        """Opens the slots. Raises OSError if the folder can't be used."""
        self.service, self.slots, self.folder = service, Slots(folder), folder
        self.id_table: SharedIdTable | None = None
        limits = service.dispatcher.limits
        self.ceilings = SocketCeilings(limits.sockets + limits.spare, limits.successor_sockets)
        self.other_present = self.is_successor = self.other_serves = self.ended = False
        self.other_since = self.written_at = 0  # when the other process was detected; when the last note was written
        self.last_state: tuple[Any, ...] = ()  # in the last note
        self.on_ready: Callable[[], None] | None = None

    def begin(self, on_ready: Callable[[], None]) -> None:
        """Calls `on_ready` when this process may serve: it has a slot and, as a successor, the predecessor's note."""
        self.on_ready = on_ready
        if self.slots.acquire():
            self._slot_acquired()
        else:
            logger.warning(
                "two processes of this balancer are already running: this one waits until one of them has ended"
            )
            self.service.sockets.set_ceiling(0)
            self._later(self._retry)

    def _retry(self) -> None:
        if self.ended:
            return
        if self.slots.acquire():
            self._slot_acquired()
        else:
            self._later(self._retry)

    def _later(self, step: Callable[[], None]) -> None:
        self.service.reactor.callLater(POLL_INTERVAL_NS / SECOND, step)

    def _slot_acquired(self) -> None:
        self._share_request_ids()
        self.other_since = self.service.dispatcher.now()
        self.other_present = self.is_successor = self.slots.other_held()
        self._update_ceiling(None)
        if self.other_present:
            logger.info("another process of this balancer is running and will be replaced")
            self.service.dispatcher.set_cold_fraction(0.5)
        self.poll()

    def _share_request_ids(self) -> None:
        """Shares the ids of requests with the other process, as clients may come with the same id to either."""
        try:
            self.id_table = SharedIdTable(self.folder, self.slots.index)
        except OSError as fault:
            logger.warning("request ids can't be shared with the other process: {}", fault.strerror)
            return
        self.service.dispatcher.request_ids = RequestIds(self.id_table)

    def poll(self) -> None:
        """Exchanges notes with the other process, if there is one, and adjusts the limit on sockets."""
        if self.ended:
            return
        # The next poll is scheduled first, so that an exception in one does not end them all.
        self._later(self.poll)
        service, now = self.service, self.service.dispatcher.now()
        other = self.slots.other_held()
        if other != self.other_present:
            self.other_present, self.is_successor, self.other_since = other, False, now
            logger.info(
                "another process of this balancer has started"
                if other
                else "the other process of this balancer has ended"
            )
            service.dispatcher.set_cold_fraction(0.5 if other else 1.0)
        # One clock tick earlier, as both processes may poll within the same tick.
        note = self.slots.read(self.other_since - MS) if other else None
        self._update_ceiling(note)
        if note is not None and self.is_successor:
            self._take_over_list(note)
        if self.on_ready is not None and (
            note is not None or not self.is_successor or now - self.other_since > NOTE_TIMEOUT_NS
        ):
            on_ready, self.on_ready = self.on_ready, None
            if note is not None and self.is_successor:
                learned = decode_learned(note.learned, service.dispatcher.host_indices)
                if learned is not None:
                    service.dispatcher.handle_event(learned)
            elif self.is_successor:
                logger.warning("the other process wrote no note: this one serves with the configured host list")
            on_ready()
        if other:
            self._write_note(now)
        self.other_serves = note is not None and note.serves
        service.peer_changed()

    def _update_ceiling(self, note: Note | None) -> None:
        sockets, current = self.service.sockets, self.service.sockets.ceiling
        if not self.other_present:
            ceiling = self.ceilings.alone()
        elif self.is_successor:
            ceiling = self.ceilings.successor(note.ceiling if note is not None else None)
            if note is None and self.last_state:
                ceiling = current  # the last ceiling that the predecessor wrote still holds, as it only falls
        else:
            ceiling = self.ceilings.predecessor(
                min(current, self.ceilings.alone()), sockets.open_count(), not self.service.serves()
            )
        sockets.set_ceiling(ceiling)

    def _take_over_list(self, note: Note) -> None:
        """Applies the predecessor's host list if it is newer than this process's list."""
        discovery = self.service.discovery
        same_source = note.discovery == str(discovery.address)
        if (same_source and note.revision > discovery.revision) or (not same_source and self.on_ready is not None):
            if same_source:
                discovery.revision = note.revision
            self.service.dispatcher.update_hosts(True, note.members)

    def _write_note(self, now: int) -> None:
        service = self.service
        discovery, dispatcher = service.discovery, service.dispatcher
        state = (service.sockets.ceiling, service.serves(), discovery.revision, self.other_since)
        if state == self.last_state and now - self.written_at < NOTE_REFRESH_NS:
            return
        self.last_state, self.written_at = state, now
        names = {index: name for name, index in dispatcher.host_indices.items()}
        self.slots.write(
            Note(
                now,
                service.sockets.ceiling,
                service.serves(),
                str(discovery.address),
                discovery.revision,
                tuple(dispatcher.host_entries.values()),
                encode_learned(dispatcher.balancer.learned(), names),
            )
        )

    def stop(self) -> None:
        """Releases the slot."""
        self.ended = True
        if self.id_table is not None:
            self.id_table.close()
        self.slots.release()
