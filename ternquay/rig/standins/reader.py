"""Incremental parser of the meta commands that reach a cache host.

It shares no code with the balancer's own parser, so that a fault of the balancer shows here.
"""

from dataclasses import dataclass, field

MAX_LINE_BYTES = 4096
MAX_VALUE_BYTES = 4 << 20
MAX_KEY_BYTES = 250


@dataclass(slots=True, frozen=True)
class Command:
    """A parsed command; `received_at` is the time at which its first byte arrived."""

    id: str
    profile: str
    write: bool
    key: str
    mark: str
    wait_ms: int
    received_at: int


class CommandError(Exception):
    """The input is not a valid command; the text says why."""


def parse_line(words: list[bytes], received_at: int) -> tuple[Command, int]:
    """Returns a command and the length of its value, -1 for none. Raises CommandError."""
    if not words or words[0] not in (b"mg", b"ms"):
        raise CommandError("unknown verb")
    write = words[0] == b"ms"
    if len(words) < 4 or not 0 < len(words[1]) <= MAX_KEY_BYTES:
        raise CommandError("too few words, or a missing or oversized key")
    if write and not words[2].isdigit():
        raise CommandError("value length is not a number")
    flags = words[3:] if write else words[2:]
    ids = [flag[1:] for flag in flags if flag[:1] == b"O"]
    parameters = [flag[1:] for flag in flags if flag[:1] == b"P"]
    if len(ids) != 1 or not ids[0] or len(parameters) != 1 or (not write and flags.count(b"v") != 1):
        raise CommandError("a required flag is missing or repeated")
    try:
        fields = dict(pair.split("=", 1) for pair in parameters[0].decode("ascii").split(","))
        wait_ms = int(fields["d"])
        command = Command(
            ids[0].decode("ascii"),
            fields["c"],
            write,
            words[1].decode("ascii"),
            fields.get("k", ""),
            wait_ms,
            received_at,
        )
    except (ValueError, KeyError, UnicodeDecodeError) as error:
        raise CommandError(f"invalid parameters: {error!r}") from error
    if wait_ms <= 0:
        raise CommandError("no time left for the command")
    return command, int(words[2]) if write else -1


@dataclass(slots=True)
class CommandReader:
    """The parser of one connection."""

    buffer: bytearray = field(default_factory=bytearray)
    received_at: int = 0
    pending: Command | None = None
    value_length: int = -1

    def feed(self, now: int, data: bytes) -> list[Command]:
        """Adds data and returns the commands that are complete now. Raises CommandError for invalid input."""
        if not self.buffer and self.pending is None:
            self.received_at = now
        self.buffer += data
        commands, at = [], 0
        while True:
            if self.pending is None:
                end = self.buffer.find(b"\r\n", at)
                if end < 0:
                    if len(self.buffer) - at > MAX_LINE_BYTES:
                        raise CommandError("line is too long")
                    break
                command, self.value_length = parse_line(bytes(self.buffer[at:end]).split(b" "), self.received_at)
                at = end + 2
                if self.value_length > MAX_VALUE_BYTES:
                    raise CommandError("value is too long")
                if self.value_length < 0:
                    commands.append(command)
                    self.received_at = now
                else:
                    self.pending = command
            else:
                end = at + self.value_length
                if len(self.buffer) < end + 2:
                    break
                if self.buffer[end : end + 2] != b"\r\n":
                    raise CommandError("value is not followed by a line end")
                commands.append(self.pending)
                self.pending, self.received_at, at = None, now, end + 2
        del self.buffer[:at]
        return commands
