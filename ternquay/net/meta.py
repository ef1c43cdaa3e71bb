"""The platform's memcached-meta protocol, as two incremental parsers without I/O. Each keeps one buffer.

    for item in RequestParser(max_line, max_value).feed(data): ...   # Command, NoOp or InvalidCommand, in order
    for answer in ResponseParser(max_line, max_value).feed(data): ...   # Answer, in the order of expect() calls

A value longer than `stream_above_bytes` is streamed: a Command, or a ValueHeader in place of the Answer, is followed by
ValueChunks and a ValueEnd.

A buffer grows as data arrives and is compacted in place after each feed.
"""

import re
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ternquay import model as m
from ternquay.net.request_deadline import Position, RequestPart

MAX_KEY_BYTES = 250
PRINTABLE = re.compile(rb"[!-~]+")
MAX_TTL_MS = 10**9
MAX_WORDS = 24  # of a command line, as in memcached
MAX_PARAMS = 64
KNOWN_ANSWERS = {b"VA", b"HD", b"EN", b"MN", b"NF", b"EX", b"ERROR", b"CLIENT_ERROR", b"SERVER_ERROR"}
# The flags of a response to a read (h1: hit, h0: miss, Z: another fetch is in progress) as HopEnded.cache_result.
CACHE_RESULTS = {(b"h1", False): 1, (b"h0", False): 2, (b"h0", True): 3}


@dataclass(slots=True, frozen=True)
class Command:
    """A transaction as the client wrote it. The time to wait is written anew for each cache host."""

    verb: bytes
    key: bytes
    id: bytes
    profile: str
    share: str  # the tenant, where the deployment has some
    is_retry: bool
    has_idempotency_key: bool
    ttl_ms: int
    flags_before_ttl: bytes
    flags_after_ttl: bytes
    value: bytes | None
    stream_length: int = 0  # the length of a streamed value, whose chunks follow

    @property
    def is_write(self) -> bool:
        return self.verb == b"ms"

    def size(self) -> int:
        """Returns the memory of its texts in bytes, with a copy of the value that is being written."""
        texts = len(self.key) + len(self.flags_before_ttl) + len(self.flags_after_ttl)
        return 2 * len(self.value or b"") + texts

    def forward(self, wait_ms: int) -> bytes:
        """Returns the command for a cache host: as received, apart from the time `d` to wait for the answer."""
        flags = b"%b%d%b" % (self.flags_before_ttl, wait_ms, self.flags_after_ttl)
        if self.stream_length:
            return b"%b %b %d %b\r\n" % (self.verb, self.key, self.stream_length, flags)
        if self.value is None:
            return b"%b %b %b\r\n" % (self.verb, self.key, flags)
        return b"%b %b %d %b\r\n%b\r\n" % (self.verb, self.key, len(self.value), flags, self.value)


@dataclass(slots=True, frozen=True)
class NoOp:
    """An `mn` command, which asks whether the balancer serves."""


@dataclass(slots=True, frozen=True)
class InvalidCommand:
    """An invalid command and the error line that answers it. After a fatal one, the stream cannot be parsed."""

    line: bytes
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class OverLimit:
    """A command that was not parsed, because its sender exceeds a limit."""

    wait: int  # nanoseconds until the sender is within the limit


@dataclass(slots=True, frozen=True)
class ValueChunk:
    """A part of a streamed value."""

    data: bytes


@dataclass(slots=True, frozen=True)
class ValueEnd:
    """The end of a streamed value, after as many bytes as announced."""


RequestItem = Command | NoOp | InvalidCommand | OverLimit | ValueChunk | ValueEnd


@dataclass(slots=True, frozen=True)
class Answer:
    """A complete response of a cache host."""

    outcome: m.HopOutcome
    body: bytes = b""  # the value or the receipt
    cache_result: int = 0


@dataclass(slots=True, frozen=True)
class ValueHeader:
    """The first line of a response whose value is streamed."""

    length: int
    cache_result: int = 0


class ProtocolError(Exception):
    """A cache host sent data that is not a valid response to its commands."""


def value_header(command: Command, length: int) -> bytes:
    """Returns the first line of a committed read, which precedes the value."""
    return b"VA %d O%b\r\n" % (length, command.id)


def committed(command: Command, body: bytes) -> bytes:
    """Returns the response of a committed transaction; `body` is its value or receipt."""
    if command.is_write:
        return b"HD O%b c%b\r\n" % (command.id, body)
    return value_header(command, len(body)) + body + b"\r\n"


def rolled_back(wait_ms: int) -> bytes:
    """Returns the response of a transaction that was rolled back and may be retried after `wait_ms`."""
    return b"SERVER_ERROR busy %d\r\n" % wait_ms if wait_ms > 0 else b"SERVER_ERROR busy\r\n"


ABANDONED = b"SERVER_ERROR failed\r\n"
NOOP_ANSWER = b"MN\r\n"
OUT_OF_SERVICE = b"SERVER_ERROR out of service\r\n"


def parse_length(word: bytes) -> int:
    """Parses a decimal length. Returns -1 if it is invalid."""
    return int(word) if word.isdigit() and len(word) < 10 else -1


def find_line_end(buffer: bytearray, at: int, max_bytes: int) -> int:
    """Returns the end of the line that starts at `at`; -1: incomplete; -2: longer than `max_bytes`."""
    end = buffer.find(b"\r\n", at, at + max_bytes + 2)
    return -2 if end < 0 and len(buffer) - at >= max_bytes + 2 else end


def find_value_end(buffer: bytearray, at: int, length: int) -> int:
    """Returns the end of the value that starts at `at`; -1: incomplete; -2: it does not end after `length` bytes."""
    end = at + length
    if len(buffer) < end + 2:
        return -1
    return end if buffer[end : end + 2] == b"\r\n" else -2


def next_chunk(buffer: bytearray, at: int, left: int) -> bytes:
    """Returns the received part of a value of which `left` bytes are missing."""
    return bytes(memoryview(buffer)[at : at + min(left, len(buffer) - at)])


def describe_unexpected(verb: bytes, size: int) -> str:
    """Describes an invalid response line without quoting it, because its bytes may belong to a value."""
    return f"unexpected {verb.decode()}, {size} bytes" if verb in KNOWN_ANSWERS else f"unexpected line of {size} bytes"


def split_words(line: bytes) -> list[bytes]:
    """Returns the words of a line, which spaces alone separate."""
    return [word for word in line.split(b" ") if word]


def parse_command(words: list[bytes]) -> Command | InvalidCommand:
    """Parses a command line. The value of a write is added when it has arrived."""
    if len(words) < 2 or not 0 < len(words[1]) <= MAX_KEY_BYTES:
        return InvalidCommand(b"CLIENT_ERROR bad key")
    if len(words) > MAX_WORDS or not PRINTABLE.fullmatch(b"".join(words)):
        return InvalidCommand(b"CLIENT_ERROR bad flags")
    flags = words[3:] if words[0] == b"ms" else words[2:]
    # A command that a cache host cannot parse would cost a connection to it and count as its failure.
    unknown = any(f != b"v" and f[:1] not in (b"O", b"P") for f in flags)
    if unknown or flags.count(b"v") != (words[0] == b"mg"):
        return InvalidCommand(b"CLIENT_ERROR bad flags")
    ids = [f[1:] for f in flags if f[:1] == b"O"]
    param_indices = [i for i, f in enumerate(flags) if f[:1] == b"P"]
    if len(ids) != 1 or not ids[0]:
        return InvalidCommand(b"CLIENT_ERROR bad id")
    if len(param_indices) != 1:
        return InvalidCommand(b"CLIENT_ERROR bad names")
    return _parse_params(words, flags, param_indices[0], ids[0])


def _parse_params(words: list[bytes], flags: list[bytes], at: int, request_id: bytes) -> Command | InvalidCommand:
    """Parses the parameters in the flag at index `at`, and returns the command."""
    if flags[at].count(b",") >= MAX_PARAMS:
        return InvalidCommand(b"CLIENT_ERROR too many names")
    pairs = [pair.partition(b"=") for pair in flags[at][1:].split(b",")]
    if not all(name and equals for name, equals, _ in pairs):
        return InvalidCommand(b"CLIENT_ERROR bad names")
    params = {name: value for name, _, value in pairs}
    if len(params) != len(pairs) or not params.get(b"c"):
        return InvalidCommand(b"CLIENT_ERROR bad profile")
    ttl = parse_length(params.get(b"d", b""))
    if not 0 < ttl <= MAX_TTL_MS:
        return InvalidCommand(b"CLIENT_ERROR bad time")
    ttl_at = list(params).index(b"d")
    texts = [name + equals + value for name, equals, value in pairs]
    before = [*flags[:at], b"P" + b",".join([*texts[:ttl_at], b"d="])]
    after = [b",".join([b"", *texts[ttl_at + 1 :]]), *flags[at + 1 :]]
    return Command(
        verb=words[0],
        key=words[1],
        id=request_id,
        profile=params[b"c"].decode("ascii"),
        share=params.get(b"tenant", b"").decode("ascii"),
        is_retry=params.get(b"r") == b"1",
        has_idempotency_key=bool(params.get(b"k")),
        ttl_ms=ttl,
        flags_before_ttl=b" ".join(before),
        flags_after_ttl=b" ".join(after),
        value=None,
    )


@dataclass(slots=True)
class RequestParser:
    """Parses the commands of one client connection."""

    max_line_bytes: int
    max_value_bytes: int
    stream_above_bytes: int = sys.maxsize  # a longer value is streamed
    buffer: bytearray = field(default_factory=bytearray)
    awaiting_value: Command | InvalidCommand | OverLimit | None = None  # a write whose value has not arrived yet
    stream_left: int = -1  # missing bytes of a streamed value; -1: none is being streamed
    value_length: int = 0
    failed: bool = False
    limit_wait: Callable[[], int] | None = None
    line_count: int = 0  # command lines parsed so far

    def feed(self, data: bytes) -> list[RequestItem]:
        """Adds data and returns the items that are complete now."""
        self.buffer_data(data)
        return self.parse()

    def buffer_data(self, data: bytes) -> None:
        """Adds data without parsing it."""
        if not self.failed:
            self.buffer += data

    def parse(self, max_items: int = sys.maxsize, limit_wait: Callable[[], int] | None = None) -> list[RequestItem]:
        """Returns up to `max_items` complete items.

        `limit_wait` is called for each command before it is parsed beyond its end. If it returns a time to wait, the
        command becomes an OverLimit item.
        """
        found: list[RequestItem] = []
        at, self.limit_wait = 0, limit_wait
        while not self.failed and len(found) < max_items:
            if self.stream_left >= 0:
                step = self._parse_chunk(at, found)
            else:
                step = self._parse_value(at, found) if self.awaiting_value is not None else self._parse_line(at, found)
            if step < 0:
                break
            at = step
        if self.failed:
            self.buffer.clear()
        elif at:
            del self.buffer[:at]
        return found

    def awaits_no_value(self) -> bool:
        """Whether no parsed command line waits for its value."""
        return self.awaiting_value is None

    def is_idle(self) -> bool:
        """Whether no part of a command has arrived."""
        return not self.buffer and self.awaiting_value is None

    def buffers_value(self) -> bool:
        """Whether the value of an incomplete request is being buffered."""
        return self.awaiting_value is not None and self.stream_left < 0

    def discard_value(self) -> Command | InvalidCommand | OverLimit | None:
        """Frees the buffered part of a value, and discards the rest as it arrives. Returns the request, if any.

        The request can't run any more, and the caller answers it.
        """
        if not self.buffers_value():
            return None
        request, self.awaiting_value = self.awaiting_value, OverLimit(0)
        buffered = min(len(self.buffer), self.value_length)
        self.stream_left = self.value_length - buffered
        del self.buffer[:buffered]
        return request

    def discards_value(self) -> bool:
        """Whether the rest of a value is being discarded, because of discard_value()."""
        return self.stream_left >= 0 and isinstance(self.awaiting_value, OverLimit)

    def stop(self) -> None:
        """Frees the buffer and ignores all further data."""
        self.failed = True
        self.buffer.clear()

    def position(self) -> Position:
        """Returns how far the incomplete request has been received."""
        if self.failed or self.is_idle():
            return Position(RequestPart.NONE, self.line_count)
        return Position(RequestPart.LINE if self.awaiting_value is None else RequestPart.VALUE, self.line_count)

    def _fail(self, line: bytes, found: list[RequestItem]) -> int:
        found.append(InvalidCommand(line, True))
        self.failed = True
        return -1

    def _parse_words(self, words: list[bytes]) -> Command | InvalidCommand | OverLimit:
        wait = self.limit_wait() if self.limit_wait is not None else 0
        return OverLimit(wait) if wait else parse_command(words)

    def _parse_line(self, at: int, found: list[RequestItem]) -> int:
        end = find_line_end(self.buffer, at, self.max_line_bytes)
        if end < 0:
            return self._fail(b"CLIENT_ERROR line too long", found) if end == -2 else -1
        self.line_count += 1
        words = split_words(bytes(self.buffer[at:end]))
        verb = words[0] if words else b""
        if verb == b"mn":
            found.append(NoOp())
        elif verb == b"mg":
            found.append(self._parse_words(words))
        elif verb == b"ms":
            length = parse_length(words[2]) if len(words) > 2 else -1
            # Without the length, the start of the next command is unknown.
            if length < 0:
                return self._fail(b"CLIENT_ERROR bad length", found)
            if length > self.max_value_bytes:
                return self._fail(b"SERVER_ERROR object too large for cache", found)
            self.awaiting_value, self.value_length = self._parse_words(words), length
            if length > self.stream_above_bytes:
                self.stream_left = length
                # An invalid command is answered before its value arrives, and nothing of the value is passed on.
                found.append(
                    replace(self.awaiting_value, stream_length=length)
                    if isinstance(self.awaiting_value, Command)
                    else self.awaiting_value
                )
        else:
            wait = self.limit_wait() if self.limit_wait is not None else 0
            found.append(OverLimit(wait) if wait else InvalidCommand(b"ERROR"))
        return end + 2

    def _parse_chunk(self, at: int, found: list[RequestItem]) -> int:
        if self.stream_left:
            data = next_chunk(self.buffer, at, self.stream_left)
            self.stream_left -= len(data)
            if data and isinstance(self.awaiting_value, Command):
                found.append(ValueChunk(data))
            return at + len(data) if data else -1
        end = find_value_end(self.buffer, at, 0)
        if end < 0:
            return self._fail(b"CLIENT_ERROR bad data chunk", found) if end == -2 else -1
        if isinstance(self.awaiting_value, Command):
            found.append(ValueEnd())
        self.awaiting_value, self.stream_left = None, -1
        return end + 2

    def _parse_value(self, at: int, found: list[RequestItem]) -> int:
        end = find_value_end(self.buffer, at, self.value_length)
        if end < 0:
            return self._fail(b"CLIENT_ERROR bad data chunk", found) if end == -2 else -1
        command, self.awaiting_value = self.awaiting_value, None
        if isinstance(command, Command):
            found.append(replace(command, value=bytes(self.buffer[at:end])))
        elif command is not None:
            found.append(command)
        return end + 2


ResponseItem = Answer | ValueHeader | ValueChunk | ValueEnd


@dataclass(slots=True)
class ResponseParser:
    """Parses the responses of one cache host on one connection."""

    max_line_bytes: int
    max_value_bytes: int
    stream_above_bytes: int = sys.maxsize  # a longer value is streamed
    buffer: bytearray = field(default_factory=bytearray)
    expected: deque[tuple[bytes, bool]] = field(default_factory=deque)  # request id and whether it is a write, in order
    value_length: int = -1  # of a value whose first line was parsed; -1: none
    stream_left: int = -1  # missing bytes of a streamed value; -1: none is being streamed
    cache_result: int = 0
    fault: str = ""

    def expect(self, command: Command) -> None:
        """Records that a command was sent, whose response is expected after the earlier ones."""
        self.expected.append((command.id, command.is_write))

    def feed(self, data: bytes) -> list[ResponseItem]:
        """Adds data and returns the items that are complete now. Stops at invalid data, which `fault` describes."""
        found: list[ResponseItem] = []
        self.buffer += data
        at = done = 0
        try:
            while at >= 0 and not self.fault:
                done = at
                if self.stream_left >= 0:
                    at = self._parse_chunk(at, found)
                else:
                    at = self._parse_value(at, found) if self.value_length >= 0 else self._parse_line(at, found)
        except ProtocolError as fault:
            self.fault = str(fault)
        if done:
            del self.buffer[:done]
        return found

    def _parse_line(self, at: int, found: list[ResponseItem]) -> int:
        if at == len(self.buffer):
            return -1
        if not self.expected:
            raise ProtocolError("an answer to nothing")
        end = find_line_end(self.buffer, at, self.max_line_bytes)
        if end == -2:
            raise ProtocolError("line too long")
        if end < 0:
            return -1
        words = bytes(self.buffer[at:end]).split()
        request_id, is_write = self.expected[0]
        verb = words[0] if words else b""
        if words[:2] == [b"SERVER_ERROR", b"busy"]:
            self._emit(found, Answer(m.HopOutcome.FULL))
        elif words == [b"SERVER_ERROR", b"failed"]:
            self._emit(found, Answer(m.HopOutcome.ERROR))
        elif verb == b"VA" and not is_write and len(words) > 2 and b"O" + request_id in words[2:]:
            self.value_length, self.cache_result = parse_length(words[1]), self._cache_result(words[2:])
            if not 0 <= self.value_length <= self.max_value_bytes:
                raise ProtocolError("bad length")
            if self.value_length > self.stream_above_bytes:
                found.append(ValueHeader(self.value_length, self.cache_result))
                self.stream_left, self.value_length = self.value_length, -1
        elif verb == b"HD" and is_write and b"O" + request_id in words[1:]:
            receipts = [w[1:] for w in words[1:] if w[:1] == b"c"]
            if len(receipts) != 1:
                raise ProtocolError("no receipt")
            self._emit(found, Answer(m.HopOutcome.DONE, receipts[0], self._cache_result(words[1:])))
        else:
            raise ProtocolError(describe_unexpected(verb, end - at))
        return end + 2

    def _parse_chunk(self, at: int, found: list[ResponseItem]) -> int:
        if self.stream_left:
            data = next_chunk(self.buffer, at, self.stream_left)
            self.stream_left -= len(data)
            if data:
                found.append(ValueChunk(data))
            return at + len(data) if data else -1
        end = find_value_end(self.buffer, at, 0)
        if end == -2:
            raise ProtocolError("a value without its end")
        if end < 0:
            return -1
        self.stream_left = -1
        self.expected.popleft()
        found.append(ValueEnd())
        return end + 2

    def _parse_value(self, at: int, found: list[ResponseItem]) -> int:
        end = find_value_end(self.buffer, at, self.value_length)
        if end == -2:
            raise ProtocolError("a value without its end")
        if end < 0:
            return -1
        self.value_length = -1
        self._emit(found, Answer(m.HopOutcome.DONE, bytes(self.buffer[at:end]), self.cache_result))
        return end + 2

    def _emit(self, found: list[ResponseItem], answer: Answer) -> None:
        self.expected.popleft()
        found.append(answer)

    def _cache_result(self, flags: list[bytes]) -> int:
        hit = next((f for f in flags if f[:1] == b"h"), b"")
        return CACHE_RESULTS.get((hit, b"Z" in flags and hit == b"h0"), 0)
