"""Every size, count and time that the balancer keeps to on sockets, filled once at start and handed down."""

from dataclasses import dataclass
from typing import Any

from ternquay.facts import DEFAULT_LIST_MAX_AGE_NS, MAX_NUMBER, US, parse_duration, parse_number

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
    # Callers at the management address, set aside; one that has sent no whole call goes after so long.
    management_connections: int
    management_timeout: int
    backlog: int
    successor_sockets: int  # of the sockets, set aside for a process that starts beside this one
    accepts_per_turn: int  # clients in one turn of the loop, as far as they fit
    # Bytes: of one line, of a value that a client writes or a cache host answers with, queued for one client;
    # held: of all commands, of half-read ones, of half-read answers, of answers not taken yet.
    line_bytes: int
    value_bytes: int
    answer_bytes: int
    stream_above_bytes: int  # a longer one flows through in pieces of about `chunk_bytes`
    chunk_bytes: int
    queued_bytes: int
    buffered_bytes: int
    # Transactions: waiting on one client connection, open at a time, on one connection to a cache host.
    pipelined: int
    open_txs: int
    per_host_connection: int
    turn_duration: int  # a turn of the loop that has lasted so long takes no more of them
    retry_after: int  # what is turned away for want of room is told to wait so long
    # A hop that begins later than this after its client was there is asked about: has it left?
    presence_check_after: int
    # A new client that has sent nothing is not closed for another before so long.
    new_client_grace: int
    first_command_timeout: int  # one that has sent no whole command line by then is closed when room is short
    idle_clients: int  # connections that had an answer and stand idle; the one idle longest is closed beyond that
    # Connections to cache hosts.
    connect_timeout: int
    host_idle_timeout: int  # ours are closed well before the cache host does it
    idle_loss_half_life: int  # what was seen of idle ones counts half after so long, and for nothing under so many
    idle_loss_min_samples: int
    sweep_interval: int
    # A client with a command or an answer half way on which nothing moves for so long is closed.
    stall_timeout: int
    # Discovery.
    watch_wait: int  # at most
    answer_slack_max: int  # beyond the wait of a watch: at most, and until it is known how late answers come
    answer_slack_min: int
    first_wait: int  # the wait of a call that begins a watch, which may stand in a queue for so long
    queue_time: int
    empty_answer_delay: int  # before the next watch, if one came back at once with nothing
    pushed_retry_max: int  # between failed calls at most, where lists are pushed
    watch_retry_min: int  # where they are asked for: at first, and at most
    watch_retry_max: int
    fast_retry_window: int  # for so long after one that may have missed what counts as told, calls are hurried
    fast_retry_max: int  # between failed calls then, at most
    first_list_timeout: int  # where lists are pushed: a start waits so long for it at most
    list_bytes: int
    # A planned end: accepting for so long, serving on for so long on what is open, the last answer, with time
    # left for it to be written, and gone at the latest.
    accept_grace: int
    drain_cutoff_after: int  # a drain: what then owes nothing and has not moved for `new_client_grace` is cut off
    leave_after: int
    last_answer_after: int
    stop_after: int
    flush_timeout: int  # for answers that the system has not taken by then
    warning_interval: int  # of one kind of warning there is one in so long, with the count of those between


def derive_limits(
    facts: dict[str, Any], sockets: int, memory_mb: int, managed: bool = False, two: bool = False
) -> Limits:
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
    must_ask = parse_duration(facts["Invariants"], "MustAskIn", "Invariants", default=0) or DEFAULT_LIST_MAX_AGE_NS
    grace = parse_duration(facts["Invariants"], "DrainGrace", "Invariants", default=2 * SECOND)
    idle = parse_duration(allowed, "ConnIdle", "Limits", default=0) or 5 * SECOND
    return Limits(
        sockets=left - spare,
        clients=(left - spare) * 2 // 3,
        spare=spare,
        management_connections=operators,
        management_timeout=2 * SECOND,
        successor_sockets=min(24, left // 4) if two else 0,
        backlog=1024,
        accepts_per_turn=16,
        line_bytes=2048,
        value_bytes=4 * MIB,
        answer_bytes=4 * MIB,
        stream_above_bytes=65536,
        chunk_bytes=max(8192, min(65536, held // 256)),
        queued_bytes=2 * MIB,
        buffered_bytes=held,
        pipelined=256,
        open_txs=int(parse_number(allowed, "MostHeld", "Limits", 0, MAX_NUMBER, 0)) or 20000,
        per_host_connection=max(1, int(parse_number(allowed, "StreamsPerConn", "Limits", 0, MAX_NUMBER, 1))),
        presence_check_after=SECOND // 20,
        turn_duration=min(p["ServiceGoal"] for p in facts["Profiles"]) * US // 10,
        new_client_grace=SECOND,
        first_command_timeout=5 * SECOND // 2,
        idle_clients=whole // 6,
        retry_after=parse_duration(allowed, "MaxRetryAfter", "Limits", default=0) // 4
        if allowed.get("RetryAfter")
        else 0,
        connect_timeout=parse_duration(allowed, "DialTimeout", "Limits", default=0) or 250 * MS,
        host_idle_timeout=idle * 3 // 5,
        sweep_interval=SECOND // 4,
        idle_loss_half_life=5 * SECOND,
        idle_loss_min_samples=8,
        stall_timeout=5 * SECOND,
        watch_wait=min(SILENCE // 3, must_ask // 2),
        answer_slack_max=SILENCE // 6,
        answer_slack_min=SILENCE // 24,
        first_wait=SECOND // 20,
        queue_time=5 * SILENCE // 12,
        empty_answer_delay=SECOND // 10,
        pushed_retry_max=max(SECOND // 20, min(SECOND, grace // 2)),
        watch_retry_min=SILENCE // 12,
        watch_retry_max=SILENCE // 6,
        fast_retry_window=2 * SILENCE,
        fast_retry_max=SILENCE // 24,
        first_list_timeout=SECOND,
        list_bytes=8 * MIB,
        accept_grace=lame,
        drain_cutoff_after=3 * SECOND,
        leave_after=max(lame, leave - SECOND // 3),
        last_answer_after=leave - 20 * MS,
        stop_after=leave,
        flush_timeout=60 * MS,
        warning_interval=SECOND,
    )
