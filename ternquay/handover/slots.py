"""Two slots in a shared folder, one per process: a lock that ends with its process, and the process's note."""

import fcntl
import os
from contextlib import suppress
from pathlib import Path

from loguru import logger

from ternquay.handover.notes import MAX_BODY_BYTES, InvalidNoteError, Note, decode_note, encode_note

SLOT_NAMES = ("ternquay.0", "ternquay.1")


class Slots:
    """The files of the two slots. Once they are open, a file that can't be used is ignored with a warning."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.index = -1  # of the slot of this process; -1: none
        self.handles = [os.open(folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600) for name in SLOT_NAMES]
        self.other_was_held = False  # the other slot, when the operating system last told
        self.last_warning = ""

    def acquire(self) -> bool:
        """Locks a free slot for the lifetime of the process. Returns False if there is none."""
        for number, handle in enumerate(self.handles):
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            except OSError as fault:
                self._warn_once(f"a slot can't be locked: {fault}")
                continue
            self.index = number
            self._remove(self._path(number))  # the note of its former process
            return True
        return False

    def other_held(self) -> bool:
        """Returns whether another process holds the other slot, or the last known answer if locking fails."""
        handle = self.handles[1 - self.index]
        try:
            fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
            fcntl.flock(handle, fcntl.LOCK_UN)
            self.other_was_held = False
        except BlockingIOError:
            self.other_was_held = True
        except OSError as fault:
            self._warn_once(f"the other slot can't be checked: {fault}")
        return self.other_was_held

    def write(self, note: Note) -> None:
        """Replaces the note of this process atomically, by a rename."""
        path = self._path(self.index)
        temporary = path.with_suffix(".new")
        try:
            temporary.write_bytes(encode_note(note))
            os.replace(temporary, path)
        except (OSError, InvalidNoteError) as fault:
            self._warn_once(f"the note for the other process can't be written: {fault}")
            self._remove(temporary)

    def read(self, since: int) -> Note | None:
        """Returns the other process's note if it was written at `since` or later."""
        try:
            with open(self._path(1 - self.index), "rb") as file:
                note = decode_note(file.read(MAX_BODY_BYTES + 1000))
        except FileNotFoundError:
            return None
        except (OSError, InvalidNoteError) as fault:
            self._warn_once(f"the other process's note is ignored: {fault}")
            return None
        return note if note.at >= since else None

    def release(self) -> None:
        """Unlocks the slot and removes its note."""
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
