"""Two slots under the common folder: who is there, by locks that end with their process, and each one's note."""

import fcntl
import os
from contextlib import suppress
from pathlib import Path

from loguru import logger

from ternquay.handover.notes import MAX_BODY_BYTES, InvalidNoteError, Note, decode_note, encode_note

SLOT_NAMES = ("ternquay.0", "ternquay.1")


class Slots:
    """Files of one folder. Nothing here raises for what lies there: it is passed over with one line."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.index = -1
        self.handles = [os.open(folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600) for name in SLOT_NAMES]
        self.other_was_held = False  # the other slot, at the last look that the system answered
        self.last_warning = ""  # what was said last of a note that can't be used

    def acquire(self) -> bool:
        """Takes a free slot, if there is one; it is held as long as the process lives."""
        for number, handle in enumerate(self.handles):
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            except OSError as fault:
                self._warn_once(f"a slot can't be locked: {fault}")
                continue
            self.index = number
            self._remove(self._path(number))  # of who had it before
            return True
        return False

    def other_held(self) -> bool:
        """Whether another process holds the other slot; where the system can't tell, what it told last."""
        handle = self.handles[1 - self.index]
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
            fcntl.flock(handle, fcntl.LOCK_UN)
            self.other_was_held = False
        except BlockingIOError:
            self.other_was_held = True
        except OSError as fault:
            self._warn_once(f"the other slot can't be looked at: {fault}")
        return self.other_was_held

    def write(self, note: Note) -> None:
        """Whole or not at all: beside, and renamed."""
        path = self._path(self.index)
        temporary = path.with_suffix(".new")
        try:
            temporary.write_bytes(encode_note(note))
            os.replace(temporary, path)
        except (OSError, InvalidNoteError) as fault:
            self._warn_once(f"a note for the other process was not written: {fault}")
            self._remove(temporary)

    def read(self, since: int) -> Note | None:
        """The other's note, if it was written after `since`."""
        try:
            with open(self._path(1 - self.index), "rb") as file:
                note = decode_note(file.read(MAX_BODY_BYTES + 1000))
        except FileNotFoundError:
            return None
        except (OSError, InvalidNoteError) as fault:
            self._warn_once(f"the other process's note is passed over: {fault}")
            return None
        return note if note.at >= since else None

    def release(self) -> None:
        """Lets go of the slot; the note goes with it."""
        if self.index >= 0:
            self._remove(self._path(self.index))
        for handle in self.handles:
            os.close(handle)
        self.handles = []

    def _path(self, number: int) -> Path:
        return self.folder / f"{SLOT_NAMES[number]}.note"

    def _remove(self, path: Path) -> None:
        with suppress(OSError):
            path.unlink()

    def _warn_once(self, text: str) -> None:
        if text != self.last_warning:
            self.last_warning = text
            logger.warning("{}", text)
