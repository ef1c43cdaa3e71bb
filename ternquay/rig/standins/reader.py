"""Reads the meta commands that reach a cache host, fed bytes; apart from the balancer's own reader, so that
a fault of that one shows here."""

from dataclasses import dataclass, field

LINE_MOST, VALUE_MOST, KEY_MOST = 4096, 4 << 20, 250


@dataclass(slots=True, frozen=True)
class Command:
    id: str
    profile: str
    write: bool
    key: str
    mark: str
    wait_ms: int
    came: int  # its first byte


class Strange(Exception):
    """What is no command; the text says why."""


def read_line(words: list[bytes], came: int) -> tuple[Command, int]:
    """A command and how long its value is, -1 for none."""
    if not words or words[0] not in (b"mg", b"ms"):
        raise Strange("no such verb")
    write = words[0] == b"ms"
    if len(words) < 4 or not 0 < len(words[1]) <= KEY_MOST:
        raise Strange("too few words, or no key")
    if write and not words[2].isdigit():
        raise Strange("no length")
    flags = words[3:] if write else words[2:]
    ids = [f[1:] for f in flags if f[:1] == b"O"]
    told = [f[1:] for f in flags if f[:1] == b"P"]
    if len(ids) != 1 or not ids[0] or len(told) != 1 or (not write and flags.count(b"v") != 1):
        raise Strange("flags that are none, or twice")
    try:
        names = dict(pair.split("=", 1) for pair in told[0].decode("ascii").split(","))
        wait = int(names["d"])
        command = Command(
            ids[0].decode("ascii"), names["c"], write, words[1].decode("ascii"), names.get("k", ""), wait, came
        )
    except (ValueError, KeyError, UnicodeDecodeError) as fault:
        raise Strange(f"names: {fault!r}") from fault
    if wait <= 0:
        raise Strange("no time left")
    return command, int(words[2]) if write else -1


@dataclass(slots=True)
class CommandReader:
    buffer: bytearray = field(default_factory=bytearray)
    came: int = 0
    wanted: Command | None = None
    length: int = -1

    def feed(self, now: int, data: bytes) -> list[Command]:
        """The commands that are whole now. Raises Strange at what is none."""
        if not self.buffer and self.wanted is None:
            self.came = now
        self.buffer += data
        found, at = [], 0
        while True:
            if self.wanted is None:
                end = self.buffer.find(b"\r\n", at)
                if end < 0:
                    if len(self.buffer) - at > LINE_MOST:
                        raise Strange("a line without an end")
                    break
                command, self.length = read_line(bytes(self.buffer[at:end]).split(b" "), self.came)
                at = end + 2
                if self.length > VALUE_MOST:
                    raise Strange("too long a value")
                if self.length < 0:
                    found.append(command)
                    self.came = now
                else:
                    self.wanted = command
            else:
                end = at + self.length
                if len(self.buffer) < end + 2:
                    break
                if self.buffer[end : end + 2] != b"\r\n":
                    raise Strange("a value without its end")
                found.append(self.wanted)
                self.wanted, self.came, at = None, now, end + 2
        del self.buffer[:at]
        return found
