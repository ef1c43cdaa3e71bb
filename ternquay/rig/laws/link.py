"""What lies between balancers and one cache host: it refuses, resets, delays, drips, cuts and goes silent.

It also spoils and loses answers. A link is told each thing that crosses it and says what becomes of it.
"""

from dataclasses import dataclass, field
from random import Random

from ternquay.rig.terms import MS, Planned, active

RESET = b"\0reset"  # a piece that no answer is: the connection is reset here


@dataclass(slots=True)
class Link:
    faults: tuple[Planned, ...]
    host: int
    seed: int
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/link/{self.host}")
        self.faults = tuple(f for f in self.faults if self.host in f.hosts)

    def _active(self, now: int, kind: str) -> Planned | None:
        return active(self.faults, now, kind)

    def _strikes(self, now: int, kind: str) -> bool:
        fault = self._active(now, kind)
        return fault is not None and self.random.random() < fault.part

    def refuses(self, now: int) -> bool:
        return self._strikes(now, "link-refuse")

    def silent(self, now: int) -> bool:
        return self._active(now, "link-silent") is not None

    def resets(self, now: int) -> bool:
        """As a command has come whole, or as an answer is on its way."""
        return self._strikes(now, "link-reset")

    def loses(self, now: int) -> bool:
        return self._strikes(now, "answers-lost")

    def spoil(self, now: int, answer: bytes) -> bytes:
        """What comes of an answer: itself, mostly, or what a reader can tell from one."""
        if not self._strikes(now, "answers-spoilt"):
            return answer
        line, _, rest = answer.partition(b"\r\n")
        verb, _, words = line.partition(b" ")
        return self.random.choice(
            (
                b"VX " + words + b"\r\n" + rest,  # no verb that there is
                line.replace(b" O", b" Oz", 1) + b"\r\n" + rest,  # another one's id
                answer[: len(answer) // 2] + RESET,  # cut off half way
                b"\0\xff" * 9 + answer,
                (b"VA 99999999" + line[line.find(b" O") :] if verb == b"VA" else b"HD") + b"\r\n" + rest,
            )
        )

    def pieces(self, now: int, answer: bytes) -> list[tuple[int, bytes]]:
        """When which bytes of it arrive; RESET ends it."""
        at, cut = now, len(answer)
        if fault := self._active(now, "link-delay"):
            at += fault.pause
        drip = self._active(now, "link-drip")
        if drip or self._active(now, "link-cut"):
            cut = self.random.choice((1, 2, 3, 7, 40)) if len(answer) < 200 else self.random.choice((61, 333))
        if not drip and cut < len(answer):
            # Cut in odd pieces that follow at once: the first ones, as so many turns tell no more.
            return [
                (at + n * MS, answer[n * cut : (n + 1) * cut if n < 3 else None]) for n in range(4) if answer[n * cut :]
            ]
        pause = drip.pause if drip else 0
        count = min(8, -(-len(answer) // cut))
        size = -(-len(answer) // count)
        return [(at + n * pause, answer[n * size : (n + 1) * size]) for n in range(count)]
