"""The platform's protocol as two state machines: they are fed bytes, know no socket, keep one buffer each.

    for item in ClientSide(line, value).feed(data): ...   # Command, Hello or Bad, in their order
    for answer in HostSide(line, value).feed(data): ...   # Answer, in the order of what expect() was told

A value over `whole` is not kept: after its Command, or a Begun in place of the Answer, it comes as Pieces and a Finish.

A buffer grows as bytes come and is compacted in place once a feed has read what is whole.
"""

import re
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ternquay import model as m
from ternquay.net.request_deadline import Part, Position

KEY_MOST = 250
PLAIN = re.compile(rb"[!-~]+")
TTL_MOST = 10**9
ANSWER_WORDS = {b"VA", b"HD", b"EN", b"MN", b"NF", b"EX", b"ERROR", b"CLIENT_ERROR", b"SERVER_ERROR"}
NOTES = {(b"h1", False): 1, (b"h0", False): 2, (b"h0", True): 3}


@dataclass(slots=True, frozen=True)
class Command:
    """One transaction as a client wrote it."""

    verb: bytes
    key: bytes
    flags: tuple[bytes, ...]  # as they came, with the names under P at place `names_at`
    names_at: int
    id: bytes
    names: dict[str, str]
    ttl_ms: int
    value: bytes | None
    length: int = 0  # of a value that is not kept, whose pieces follow

    @property
    def write(self) -> bool:
        return self.verb == b"ms"

    def size(self) -> int:
        return len(self.value or b"") + 512

    def forward(self, wait_ms: int) -> bytes:
        """The command for a cache host: all as it came but how long its answer is waited for."""
        flags = list(self.flags)
        names = flags[self.names_at][1:].split(b",")
        told = [b"d=%d" % wait_ms if name.startswith(b"d=") else name for name in names]
        flags[self.names_at] = b"P" + b",".join(told)
        if self.length:
            return b" ".join((self.verb, self.key, b"%d" % self.length, *flags)) + b"\r\n"
        if self.value is None:
            return b" ".join((self.verb, self.key, *flags)) + b"\r\n"
        head = b" ".join((self.verb, self.key, b"%d" % len(self.value), *flags))
        return b"%b\r\n%b\r\n" % (head, self.value)


@dataclass(slots=True, frozen=True)
class Hello:
    """A client asks if the balancer serves."""


@dataclass(slots=True, frozen=True)
class Bad:
    """What is no command; after a fatal one the stream can't be followed."""

    line: bytes
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class Over:
    """A command that was read no further than where it ends: whoever wrote it is over a limit."""

    wait: int  # until it is not, in nanoseconds


@dataclass(slots=True, frozen=True)
class Piece:
    """Some of a value that is not kept."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Finish:
    """A value that is not kept has ended as its length said."""


Item = Command | Hello | Bad | Over | Piece | Finish


@dataclass(slots=True, frozen=True)
class Answer:
    end: m.HopOutcome
    body: bytes = b""  # the value or the receipt
    note: int = 0


@dataclass(slots=True, frozen=True)
class Begun:
    """The line of an answer whose value is not kept."""

    length: int
    note: int = 0


class Broken(Exception):
    """A cache host wrote what is no answer to what it was sent."""


def begun(command: Command, length: int) -> bytes:
    """The line of a committed read, before its value."""
    return b"VA %d O%b\r\n" % (length, command.id)


def committed(command: Command, body: bytes) -> bytes:
    if command.write:
        return b"HD O%b c%b\r\n" % (command.id, body)
    return begun(command, len(body)) + body + b"\r\n"


def rolled_back(wait_ms: int) -> bytes:
    return b"SERVER_ERROR busy %d\r\n" % wait_ms if wait_ms > 0 else b"SERVER_ERROR busy\r\n"


ABANDONED = b"SERVER_ERROR failed\r\n"
HELLO = b"MN\r\n"
OUT_OF_SERVICE = b"SERVER_ERROR out of service\r\n"


def length_of(word: bytes) -> int:
    """A length as written, or -1."""
    return int(word) if word.isdigit() and len(word) < 10 else -1


def line_end(buffer: bytearray, at: int, most: int) -> int:
    """Where the line that begins at `at` ends; -1: not yet; -2: it is longer than it may be."""
    end = buffer.find(b"\r\n", at, at + most + 2)
    return -2 if end < 0 and len(buffer) - at >= most + 2 else end


def value_end(buffer: bytearray, at: int, length: int) -> int:
    """Where the value that begins at `at` ends; -1: not yet; -2: its end is not where it should be."""
    end = at + length
    if len(buffer) < end + 2:
        return -1
    return end if buffer[end : end + 2] == b"\r\n" else -2


def piece_of(buffer: bytearray, at: int, left: int) -> bytes:
    """What has come of a value that wants `left` more bytes."""
    return bytes(memoryview(buffer)[at : at + min(left, len(buffer) - at)])


def unexpected(verb: bytes, size: int) -> str:
    """What a line is called that is no answer, without any of its bytes: they may be of a value."""
    return f"unexpected {verb.decode()}, {size} bytes" if verb in ANSWER_WORDS else f"unexpected line of {size} bytes"


def read_command(words: list[bytes]) -> Command | Bad:
    """A command line; the value of a write is added when it has come."""
    if len(words) < 2 or not 0 < len(words[1]) <= KEY_MOST:
        return Bad(b"CLIENT_ERROR bad key")
    flags = tuple(words[3:] if words[0] == b"ms" else words[2:])
    # What a cache host can't read costs the connection that it goes out on, and counts against that host.
    strange = any(f != b"v" and f[:1] not in (b"O", b"P") for f in flags)
    if strange or flags.count(b"v") != (words[0] == b"mg") or not PLAIN.fullmatch(b"".join(words)):
        return Bad(b"CLIENT_ERROR bad flags")
    ids = [f[1:] for f in flags if f[:1] == b"O"]
    places = [i for i, f in enumerate(flags) if f[:1] == b"P"]
    if len(ids) != 1 or not ids[0]:
        return Bad(b"CLIENT_ERROR bad id")
    if len(places) != 1:
        return Bad(b"CLIENT_ERROR bad names")
    try:
        text = flags[places[0]][1:].decode("ascii")
        pairs = [pair.split("=", 1) for pair in text.split(",")]
        names = {name: value for name, value in pairs}
    except ValueError:
        return Bad(b"CLIENT_ERROR bad names")
    if len(names) != len(pairs) or not names.get("c"):
        return Bad(b"CLIENT_ERROR bad profile")
    ttl = length_of(names.get("d", "").encode())
    if not 0 < ttl <= TTL_MOST:
        return Bad(b"CLIENT_ERROR bad time")
    return Command(words[0], words[1], flags, places[0], ids[0], names, ttl, None)


@dataclass(slots=True)
class ClientSide:
    """Reads what one client writes."""

    line_most: int
    value_most: int
    whole: int = sys.maxsize  # a longer value is not kept
    buffer: bytearray = field(default_factory=bytearray)
    wanted: Command | Bad | Over | None = None  # a write whose value is still to come
    left: int = -1  # of a value that is not kept
    length: int = 0
    dead: bool = False
    over: Callable[[], int] | None = None
    lines: int = 0  # command lines that were read

    def feed(self, data: bytes) -> list[Item]:
        self.add(data)
        return self.read()

    def add(self, data: bytes) -> None:
        if not self.dead:
            self.buffer += data

    def read(self, most: int = sys.maxsize, over: Callable[[], int] | None = None) -> list[Item]:
        """The next `most` commands that are whole. `over` is asked before each is read further than its end: if
        it tells a time to wait, no more than that is found of it."""
        found: list[Item] = []
        at, self.over = 0, over
        while not self.dead and len(found) < most:
            if self.left >= 0:
                step = self._piece(at, found)
            else:
                step = self._value(at, found) if self.wanted is not None else self._line(at, found)
            if step < 0:
                break
            at = step
        if self.dead:
            self.buffer.clear()
        elif at:
            del self.buffer[:at]
        return found

    def unproven(self) -> bool:
        """No command line of a write is known whose value is still to come."""
        return self.wanted is None

    def quiet(self) -> bool:
        """Nothing of a command has come."""
        return not self.buffer and self.wanted is None

    def position(self) -> Position:
        """How far the request has come that is not whole."""
        if self.dead or self.quiet():
            return Position(Part.NONE, self.lines)
        return Position(Part.LINE if self.wanted is None else Part.VALUE, self.lines)

    def _fatal(self, line: bytes, found: list[Item]) -> int:
        found.append(Bad(line, True))
        self.dead = True
        return -1

    def _words(self, words: list[bytes]) -> Command | Bad | Over:
        wait = self.over() if self.over is not None else 0
        return Over(wait) if wait else read_command(words)

    def _line(self, at: int, found: list[Item]) -> int:
        end = line_end(self.buffer, at, self.line_most)
        if end < 0:
            return self._fatal(b"CLIENT_ERROR line too long", found) if end == -2 else -1
        self.lines += 1
        words = bytes(self.buffer[at:end]).split()
        verb = words[0] if words else b""
        if verb == b"mn":
            found.append(Hello())
        elif verb == b"mg":
            found.append(self._words(words))
        elif verb == b"ms":
            length = length_of(words[2]) if len(words) > 2 else -1
            # Without the length there is no telling where the next command begins.
            if length < 0:
                return self._fatal(b"CLIENT_ERROR bad length", found)
            if length > self.value_most:
                return self._fatal(b"SERVER_ERROR object too large for cache", found)
            self.wanted, self.length = self._words(words), length
            if length > self.whole:
                self.left = length
                # Of what is no command nothing is passed on, and it is told so before the value has come.
                found.append(replace(self.wanted, length=length) if isinstance(self.wanted, Command) else self.wanted)
        else:
            wait = self.over() if self.over is not None else 0
            found.append(Over(wait) if wait else Bad(b"ERROR"))
        return end + 2

    def _piece(self, at: int, found: list[Item]) -> int:
        if self.left:
            data = piece_of(self.buffer, at, self.left)
            self.left -= len(data)
            if data and isinstance(self.wanted, Command):
                found.append(Piece(data))
            return at + len(data) if data else -1
        end = value_end(self.buffer, at, 0)
        if end < 0:
            return self._fatal(b"CLIENT_ERROR bad data chunk", found) if end == -2 else -1
        if isinstance(self.wanted, Command):
            found.append(Finish())
        self.wanted, self.left = None, -1
        return end + 2

    def _value(self, at: int, found: list[Item]) -> int:
        end = value_end(self.buffer, at, self.length)
        if end < 0:
            return self._fatal(b"CLIENT_ERROR bad data chunk", found) if end == -2 else -1
        wanted, self.wanted = self.wanted, None
        if isinstance(wanted, Command):
            found.append(replace(wanted, value=bytes(self.buffer[at:end])))
        elif wanted is not None:
            found.append(wanted)
        return end + 2


Reply = Answer | Begun | Piece | Finish


@dataclass(slots=True)
class HostSide:
    """Reads what one cache host answers on one connection."""

    line_most: int
    value_most: int
    whole: int = sys.maxsize  # a longer value is not kept
    buffer: bytearray = field(default_factory=bytearray)
    expected: deque[tuple[bytes, bool]] = field(default_factory=deque)  # id and whether it writes, in order
    length: int = -1  # of a value whose line has been read
    left: int = -1  # of one that is not kept
    note: int = 0
    fault: str = ""

    def expect(self, command: Command) -> None:
        self.expected.append((command.id, command.write))

    def feed(self, data: bytes) -> list[Reply]:
        """The answers that are whole now; from the first thing on that is none, `fault` says what it was."""
        found: list[Reply] = []
        self.buffer += data
        at = done = 0
        try:
            while at >= 0 and not self.fault:
                done = at
                if self.left >= 0:
                    at = self._piece(at, found)
                else:
                    at = self._value(at, found) if self.length >= 0 else self._line(at, found)
        except Broken as fault:
            self.fault = str(fault)
        if done:
            del self.buffer[:done]
        return found

    def _line(self, at: int, found: list[Reply]) -> int:
        if at == len(self.buffer):
            return -1
        if not self.expected:
            raise Broken("an answer to nothing")
        end = line_end(self.buffer, at, self.line_most)
        if end == -2:
            raise Broken("line too long")
        if end < 0:
            return -1
        words = bytes(self.buffer[at:end]).split()
        known, write = self.expected[0]
        verb = words[0] if words else b""
        if words[:2] == [b"SERVER_ERROR", b"busy"]:
            self._give(found, Answer(m.HopOutcome.FULL))
        elif words == [b"SERVER_ERROR", b"failed"]:
            self._give(found, Answer(m.HopOutcome.ERROR))
        elif verb == b"VA" and not write and len(words) > 2 and b"O" + known in words[2:]:
            self.length, self.note = length_of(words[1]), self._note(words[2:])
            if not 0 <= self.length <= self.value_most:
                raise Broken("bad length")
            if self.length > self.whole:
                found.append(Begun(self.length, self.note))
                self.left, self.length = self.length, -1
        elif verb == b"HD" and write and b"O" + known in words[1:]:
            receipts = [w[1:] for w in words[1:] if w[:1] == b"c"]
            if len(receipts) != 1:
                raise Broken("no receipt")
            self._give(found, Answer(m.HopOutcome.DONE, receipts[0], self._note(words[1:])))
        else:
            raise Broken(unexpected(verb, end - at))
        return end + 2

    def _piece(self, at: int, found: list[Reply]) -> int:
        if self.left:
            data = piece_of(self.buffer, at, self.left)
            self.left -= len(data)
            if data:
                found.append(Piece(data))
            return at + len(data) if data else -1
        end = value_end(self.buffer, at, 0)
        if end == -2:
            raise Broken("a value without its end")
        if end < 0:
            return -1
        self.left = -1
        self.expected.popleft()
        found.append(Finish())
        return end + 2

    def _value(self, at: int, found: list[Reply]) -> int:
        end = value_end(self.buffer, at, self.length)
        if end == -2:
            raise Broken("a value without its end")
        if end < 0:
            return -1
        self.length = -1
        self._give(found, Answer(m.HopOutcome.DONE, bytes(self.buffer[at:end]), self.note))
        return end + 2

    def _give(self, found: list[Reply], answer: Answer) -> None:
        self.expected.popleft()
        found.append(answer)

    def _note(self, flags: list[bytes]) -> int:
        hit = next((f for f in flags if f[:1] == b"h"), b"")
        return NOTES.get((hit, b"Z" in flags and hit == b"h0"), 0)
