"""Model of the network between the balancers and one cache host, with fault injection.

Faults refuse or reset connections, delay, drip or fragment answers, silence the host, and corrupt or lose answers. The
stand-in asks the link about each event and acts on the result.
"""

from dataclasses import dataclass, field
from random import Random

from ternquay.rig.terms import MS, PlannedFault, active_fault

RESET = b"\0reset"  # marker inside a fragment, which occurs in no answer: the connection ends here


@dataclass(slots=True)
class Link:
    """The faults of one host's link; draws come from a generator seeded for that link."""

    faults: tuple[PlannedFault, ...]
    host: int
    seed: int
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/link/{self.host}")
        self.faults = tuple(fault for fault in self.faults if self.host in fault.hosts)

    def _active(self, now: int, kind: str) -> PlannedFault | None:
        return active_fault(self.faults, now, kind)

    def _applies(self, now: int, kind: str) -> bool:
        """Draws whether an active fault of that kind applies to the current event."""
        fault = self._active(now, kind)
        return fault is not None and self.random.random() < fault.part

    def refuses(self, now: int) -> bool:
        """Whether a new connection is refused."""
        return self._applies(now, "link-refuse")

    def silent(self, now: int) -> bool:
        """Whether the host is unreachable without any error."""
        return self._active(now, "link-silent") is not None

    def resets(self, now: int) -> bool:
        """Whether the connection is reset after a complete command, or while an answer is sent."""
        return self._applies(now, "link-reset")

    def loses(self, now: int) -> bool:
        """Whether an answer is lost."""
        return self._applies(now, "answers-lost")

    def corrupt(self, now: int, answer: bytes) -> bytes:
        """Returns the answer, or a corrupted form that a reader can detect if the fault applies."""
        if not self._applies(now, "answers-spoilt"):
            return answer
        header, _, rest = answer.partition(b"\r\n")
        verb, _, arguments = header.partition(b" ")
        return self.random.choice(
            (
                b"VX " + arguments + b"\r\n" + rest,  # unknown verb
                header.replace(b" O", b" Oz", 1) + b"\r\n" + rest,  # id of another command
                answer[: len(answer) // 2] + RESET,  # truncated
                b"\0\xff" * 9 + answer,
                (b"VA 99999999" + header[header.find(b" O") :] if verb == b"VA" else b"HD") + b"\r\n" + rest,
            )
        )

    def fragments(self, now: int, answer: bytes) -> list[tuple[int, bytes]]:
        """Returns the arrival time and the bytes of each fragment of an answer. RESET in one ends the connection."""
        at, fragment_size = now, len(answer)
        if fault := self._active(now, "link-delay"):
            at += fault.pause
        drip = self._active(now, "link-drip")
        if drip or self._active(now, "link-cut"):
            fragment_size = self.random.choice((1, 2, 3, 7, 40)) if len(answer) < 200 else self.random.choice((61, 333))
        if not drip and fragment_size < len(answer):
            # Only the first three fragments are short: more of them would test nothing new.
            return [
                (at + n * MS, answer[n * fragment_size : (n + 1) * fragment_size if n < 3 else None])
                for n in range(4)
                if answer[n * fragment_size :]
            ]
        pause = drip.pause if drip else 0
        count = min(8, -(-len(answer) // fragment_size))
        size = -(-len(answer) // count)
        return [(at + n * pause, answer[n * size : (n + 1) * size]) for n in range(count)]
