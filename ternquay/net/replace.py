"""One process beside another: who is there, what the second takes over, and how much each may have meanwhile.

Loaded only where the platform holds the listening socket. The files and locks are handover/beside.py's, the note and
the arithmetic handover/notes.py's; here they meet the clock, the dispatcher and the count of sockets.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from loguru import logger

from ternquay.handover.beside import Slots
from ternquay.handover.notes import Ceilings, Note, learned_read, learned_text
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.limits import MS, SECOND
from ternquay.net.sockets import Sockets

LOOK = 100 * MS  # between two looks at the other
PATIENCE = SECOND  # how long the second waits for the first one's note
FRESH = SECOND // 2  # a note with nothing new in it is written again after so long


class Replaced(Protocol):
    """The service, as far as a replacement has to do with it."""

    reactor: Any
    dispatcher: Dispatcher
    sockets: Sockets
    discovery: Discovery

    def serves(self) -> bool: ...

    def met(self) -> None:
        """The other has come, gone, or begun or ceased to serve."""


class Replacement:
    def __init__(self, service: Replaced, folder: Path) -> None:
        """Raises OSError where the folder can't be used."""
        self.service, self.slots = service, Slots(folder)
        limits = service.dispatcher.limits
        self.ceilings = Ceilings(limits.sockets + limits.spare, limits.successor_sockets)
        self.other = self.second = self.other_serves = self.over = False
        self.since = self.wrote = 0  # when the other was met; when the last note was written
        self.told: tuple[Any, ...] = ()  # what it said
        self.then: Callable[[], None] | None = None

    def begin(self, then: Callable[[], None]) -> None:
        """Calls `then` when this process may serve: it has a slot, and what the other had to tell."""
        self.then = then
        if self.slots.take():
            self._joined()
        else:
            logger.warning("two processes of this balancer are here already: this one waits until one has ended")
            self.service.sockets.set_ceiling(0)
            self._later(self._again)

    def _again(self) -> None:
        if self.over:
            return
        if self.slots.take():
            self._joined()
        else:
            self._later(self._again)

    def _later(self, what: Callable[[], None]) -> None:
        self.service.reactor.callLater(LOOK / SECOND, what)

    def _joined(self) -> None:
        self.since = self.service.dispatcher.now()
        self.other = self.second = self.slots.other()
        self._ceiling(None)
        if self.other:
            logger.info("another process of this balancer is here, to be replaced")
            self.service.dispatcher.set_cold_fraction(0.5)
        self.look()

    def look(self) -> None:
        if self.over:
            return
        # Made first, so that a fault in one look does not end them all.
        self._later(self.look)
        service, now = self.service, self.service.dispatcher.now()
        other = self.slots.other()
        if other != self.other:
            self.other, self.second, self.since = other, False, now
            logger.info("another process of this balancer has come beside" if other else "this process is alone again")
            service.dispatcher.set_cold_fraction(0.5 if other else 1.0)
        # A clock's tick early, as both may look in the same one.
        note = self.slots.read(self.since - MS) if other else None
        self._ceiling(note)
        if note is not None and self.second:
            self._list(note)
        if self.then is not None and (note is not None or not self.second or now - self.since > PATIENCE):
            then, self.then = self.then, None
            if note is not None and self.second:
                learned = learned_read(note.learned, service.dispatcher.host_indices)
                if learned is not None:
                    service.dispatcher.handle_event(learned)
            elif self.second:
                logger.warning("the other process told nothing: this one serves by the list that it was given")
            then()
        if other:
            self._tell(now)
        self.other_serves = note is not None and note.serves
        service.met()

    def _ceiling(self, note: Note | None) -> None:
        sockets, mine = self.service.sockets, self.service.sockets.ceiling
        if not self.other:
            ceiling = self.ceilings.alone()
        elif self.second:
            ceiling = self.ceilings.second(note.ceiling if note is not None else None)
            if note is None and self.told:
                ceiling = mine  # what the other had told holds: it only goes down
        else:
            ceiling = self.ceilings.first(
                min(mine, self.ceilings.alone()), sockets.open_count(), not self.service.serves()
            )
        sockets.set_ceiling(ceiling)

    def _list(self, note: Note) -> None:
        """What the other knows of the list counts as known here, if it is newer."""
        discovery = self.service.discovery
        same = note.discovery == str(discovery.where)
        if (same and note.revision > discovery.revision) or (not same and self.then is not None):
            if same:
                discovery.revision = note.revision
            self.service.dispatcher.update_hosts(True, note.members)

    def _tell(self, now: int) -> None:
        service = self.service
        discovery, dispatcher = service.discovery, service.dispatcher
        told = (service.sockets.ceiling, service.serves(), discovery.revision, self.since)
        if told == self.told and now - self.wrote < FRESH:
            return
        self.told, self.wrote = told, now
        names = {index: name for name, index in dispatcher.host_indices.items()}
        self.slots.write(
            Note(
                now,
                service.sockets.ceiling,
                service.serves(),
                str(discovery.where),
                discovery.revision,
                tuple(dispatcher.members.values()),
                learned_text(dispatcher.balancer.learned(), names),
            )
        )

    def end(self) -> None:
        self.over = True
        self.slots.end()
