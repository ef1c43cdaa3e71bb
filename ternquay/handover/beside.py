"""Two slots under the common folder: who is there, by locks that end with their process, and each one's note."""

import fcntl
import os
from contextlib import suppress
from pathlib import Path

from loguru import logger

from ternquay.handover.notes import MOST, Note, NoteUnfit, read, written

NAMES = ("ternquay.0", "ternquay.1")


class Slots:
    """Files of one folder. Nothing here raises for what lies there: it is passed over with one line."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.mine = -1
        self.handles = [os.open(folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600) for name in NAMES]
        self.was_held = False  # the other slot, at the last look that the system answered
        self.told = ""  # what was said last of a note that can't be used

    def take(self) -> bool:
        """Takes a free slot, if there is one; it is held as long as the process lives."""
        for number, handle in enumerate(self.handles):
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            except OSError as fault:
                self._say(f"a slot can't be locked: {fault}")
                continue
            self.mine = number
            self._remove(self._path(number))  # of who had it before
            return True
        return False

    def other(self) -> bool:
        """Whether another process holds the other slot; where the system can't tell, what it told last."""
        handle = self.handles[1 - self.mine]
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
            fcntl.flock(handle, fcntl.LOCK_UN)
            self.was_held = False
        except BlockingIOError:
            self.was_held = True
        except OSError as fault:
            self._say(f"the other slot can't be looked at: {fault}")
        return self.was_held

    def write(self, note: Note) -> None:
        """Whole or not at all: beside, and renamed."""
        path = self._path(self.mine)
        beside = path.with_suffix(".new")
        try:
            beside.write_bytes(written(note))
            os.replace(beside, path)
        except (OSError, NoteUnfit) as fault:
            self._say(f"a note for the other process was not written: {fault}")
            self._remove(beside)

    def read(self, since: int) -> Note | None:
        """The other's note, if it was written after `since`."""
        try:
            with open(self._path(1 - self.mine), "rb") as file:
                note = read(file.read(MOST + 1000))
        except FileNotFoundError:
            return None
        except (OSError, NoteUnfit) as fault:
            self._say(f"the other process's note is passed over: {fault}")
            return None
        return note if note.at >= since else None

    def end(self) -> None:
        """Lets go of the slot; the note goes with it."""
        if self.mine >= 0:
            self._remove(self._path(self.mine))
        for handle in self.handles:
            os.close(handle)
        self.handles = []

    def _path(self, number: int) -> Path:
        return self.folder / f"{NAMES[number]}.note"

    def _remove(self, path: Path) -> None:
        with suppress(OSError):
            path.unlink()

    def _say(self, text: str) -> None:
        if text != self.told:
            self.told = text
            logger.warning("{}", text)
