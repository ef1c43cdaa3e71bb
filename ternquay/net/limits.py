"""Every size, count and time that the balancer keeps to on sockets, filled once at start and handed down."""

from dataclasses import dataclass
from typing import Any

from ternquay.facts import MOST, MUST_ASK, US, number, span

MS = 1_000_000
SECOND = 1_000_000_000
MIB = 1 << 20
SILENCE = 6 * SECOND  # what a silent watch misses counts as told so long after (the platform's page on the fleet)
CONNECTION = 16 << 10  # bytes that a connection at rest takes, of ours and of the library's; measured: docs/bounds.md
PROGRAM = 30  # MB that the program takes with its decisions, all connections at rest


@dataclass(slots=True, frozen=True)
class Limits:
    """Times are whole nanoseconds, sizes bytes."""

    # Sockets of all kinds: clients may fill theirs and the spare, hosts what is left of the whole.
    sockets: int
    clients: int
    spare: int  # for clients that come when all is full: they are told so and closed
    operators: int  # callers at the management address, set aside; one that has sent no whole call goes after so long
    half_call: int
    backlog: int
    second: int  # of the sockets, set aside for a process that starts beside this one
    accepts: int  # clients in one turn of the loop, as far as they fit
    # Bytes: of one line, of a value that a client writes or a cache host answers with, queued for one client;
    # held: of all commands, of half-read ones, of half-read answers, of answers not taken yet.
    line: int
    value: int
    answer: int
    whole: int  # a longer one flows through in pieces of about `piece`
    piece: int
    queued: int
    held: int
    # Transactions: waiting on one client connection, open at a time, on one connection to a cache host.
    pipelined: int
    open_txs: int
    per_connection: int
    turn: int  # a turn of the loop that has lasted so long takes no more of them
    come_again: int  # what is turned away for want of room is told to wait so long
    present: int  # a hop that begins later than this after its client was there is asked about: has it left?
    # A new client that has sent nothing is not closed for another before so long.
    fresh: int
    proof: int  # one that has sent no whole command line by then is closed when room is short
    resting: int  # connections that had an answer and stand idle; the one idle longest is closed beyond that
    # Connections to cache hosts.
    dial: int
    idle: int  # ours are closed well before the cache host does it
    wear: int  # what was seen of idle ones counts half after so long, and for nothing under so many
    wear_least: int
    sweep: int
    # A client with a command or an answer half way on which nothing moves for so long is closed.
    stalled: int
    # Discovery.
    watch: int  # at most
    call: int  # beyond the wait of a watch: at most, and until it is known how late answers come
    call_least: int
    look: int  # the wait of a call that begins a watch, which may stand in a queue for so long
    queue: int
    breath: int  # before the next watch, if one came back at once with nothing
    again: int  # between failed calls at most, where lists are pushed
    anew: int  # where they are asked for: at first, and at most
    anew_most: int
    hurry: int  # for so long after one that may have missed what counts as told, calls are hurried
    hasten: int  # between failed calls then, at most
    first_word: int  # where lists are pushed: a start waits so long for it at most
    list_bytes: int
    # A planned end: accepting for so long, serving on for so long on what is open, the last answer, with time
    # left for it to be written, and gone at the latest.
    lame: int
    drained: int  # a drain: what then owes nothing and has not moved for `fresh` is cut off
    serve_on: int
    last: int
    leave: int
    flush: int  # for answers that the system has not taken by then
    flood: int  # of one kind of warning there is one in so long, with the count of those between


def fill(facts: dict[str, Any], sockets: int, memory_mb: int, managed: bool = False, two: bool = False) -> Limits:
    allowed = facts["Limits"]
    # Standard streams, poll, wake-up, the listener, a spare of the library's, and discovery with two calls, one that
    # ends and one that idles, come first.
    # No fixed number, but what a quarter of the memory bears: a connection takes as much with its buffers at rest.
    whole = min(sockets, max(1024, (memory_mb - PROGRAM) * MIB // 4 // CONNECTION))
    operators = max(4, min(16, whole // 16))
    # Two of the operators' callers may be accepted beyond their bound before the oldest goes; and their listener.
    fixed = 16 + (operators + 3 if managed else 0)
    # Where another process may be beside this one, both bear that; and what is held can't be given back at once.
    left, memory_mb = (whole - 2 * fixed, memory_mb // 2) if two else (whole - fixed, memory_mb)
    spare = max(4, left // 8)
    longest = max(p["HardLimit"] for p in facts["Profiles"])
    # Four times, above what the program itself takes.
    held = max(1, min(256, (memory_mb - PROGRAM) // 5)) * MIB
    lame, leave = SECOND // 2, min(longest * US, 3 * SECOND) + 600 * MS
    must_ask = span(facts["Invariants"], "MustAskIn", "Invariants", usual=0) or MUST_ASK
    grace = span(facts["Invariants"], "DrainGrace", "Invariants", usual=2 * SECOND)
    idle = span(allowed, "ConnIdle", "Limits", usual=0) or 5 * SECOND
    return Limits(
        sockets=left - spare,
        clients=(left - spare) * 2 // 3,
        spare=spare,
        operators=operators,
        half_call=2 * SECOND,
        second=min(24, left // 4) if two else 0,
        backlog=1024,
        accepts=16,
        line=2048,
        value=4 * MIB,
        answer=4 * MIB,
        whole=65536,
        piece=max(8192, min(65536, held // 256)),
        queued=2 * MIB,
        held=held,
        pipelined=256,
        open_txs=int(number(allowed, "MostHeld", "Limits", 0, MOST, 0)) or 20000,
        per_connection=max(1, int(number(allowed, "StreamsPerConn", "Limits", 0, MOST, 1))),
        present=SECOND // 20,
        turn=min(p["ServiceGoal"] for p in facts["Profiles"]) * US // 10,
        fresh=SECOND,
        proof=5 * SECOND // 2,
        resting=whole // 6,
        come_again=span(allowed, "MaxRetryAfter", "Limits", usual=0) // 4 if allowed.get("RetryAfter") else 0,
        dial=span(allowed, "DialTimeout", "Limits", usual=0) or 250 * MS,
        idle=idle * 3 // 5,
        sweep=SECOND // 4,
        wear=5 * SECOND,
        wear_least=8,
        stalled=5 * SECOND,
        watch=min(SILENCE // 3, must_ask // 2),
        call=SILENCE // 6,
        call_least=SILENCE // 24,
        look=SECOND // 20,
        queue=5 * SILENCE // 12,
        breath=SECOND // 10,
        again=max(SECOND // 20, min(SECOND, grace // 2)),
        anew=SILENCE // 12,
        anew_most=SILENCE // 6,
        hurry=2 * SILENCE,
        hasten=SILENCE // 24,
        first_word=SECOND,
        list_bytes=8 * MIB,
        lame=lame,
        drained=3 * SECOND,
        serve_on=max(lame, leave - SECOND // 3),
        last=leave - 20 * MS,
        leave=leave,
        flush=60 * MS,
        flood=SECOND,
    )
