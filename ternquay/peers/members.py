"""Who of a fleet is there, as far as this member has heard: starts, disks, suspicion that a late word takes back.

    members = Members(("b", "c"), suspect=1_500_000_000)
    members.heard(frame, now)              # raises Dropped: a start that is over, a disk that was set back, a stranger
    members.believed(now)                  # -> {"b": "alive", "c": "suspected"}

Pure; times are whole nanoseconds of the own clock. As many rows as members are named, however many frames come.
"""

from dataclasses import dataclass, field

from ternquay.peers.frames import Dropped, Frame, Marks

COUNTER = 20  # a boot is a counter, and below that so many bits that were drawn


@dataclass(slots=True)
class Known:
    disk: str = ""
    boot: int = 0
    heard: int = 0  # 0 for never
    marks: Marks = Marks()
    refused: set[int] = field(default_factory=set)  # starts from an old copy of that disk


class Members:
    def __init__(self, others: tuple[str, ...], suspect: int) -> None:
        self.others = {name: Known() for name in others}
        self.suspect = suspect

    def heard(self, frame: Frame, now: int) -> Known:
        """Raises Dropped: "stranger", "start" (it is over), or "set back" (the sender has to be told)."""
        known = self.others.get(frame.sender)
        if known is None:
            raise Dropped("stranger")
        if frame.disk == known.disk:
            self._same_disk(known, frame)
        else:
            known.disk, known.marks, known.refused = frame.disk, Marks(), set()
        known.boot, known.heard = frame.boot, now
        if not frame.marks.less_than(known.marks):
            known.marks = frame.marks
        return known

    def _same_disk(self, known: Known, frame: Frame) -> None:
        if frame.boot == known.boot:
            return
        if frame.boot in known.refused:
            raise Dropped("set back")
        counter, last = frame.boot >> COUNTER, known.boot >> COUNTER
        if counter < last and not frame.marks.less_than(known.marks):
            raise Dropped("start")
        if counter <= last or frame.marks.less_than(known.marks):
            # The start's counter or what others count on went back: a copy of the disk from before.
            if len(known.refused) >= 64:
                known.refused.clear()
            known.refused.add(frame.boot)
            raise Dropped("set back")

    def believed(self, now: int) -> dict[str, str]:
        return {
            name: "never heard" if not known.heard else "alive" if now - known.heard < self.suspect else "suspected"
            for name, known in self.others.items()
        }
