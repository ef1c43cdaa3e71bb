"""The limits of one process on sizes, counts and times, computed once at start and passed down."""

from dataclasses import dataclass
from typing import Any

from ternquay.facts import DEFAULT_LIST_MAX_AGE_NS, MAX_NUMBER, US, parse_duration, parse_number

MS = 1_000_000
SECOND = 1_000_000_000
MIB = 1 << 20
SILENCE_NS = 6 * SECOND  # the platform counts a change that a silent watch missed as delivered after this time
CONNECTION_BYTES = 16 << 10  # memory of an idle connection in this program and in Twisted, see docs/bounds.md
PROGRAM_MB = 30  # memory of the program and its decisions, all connections idle
MIN_READ_BYTES = 4 << 10
MAX_READ_BYTES = 16 << 10  # so that no connection keeps the others waiting
MIN_BUFFERED_BYTES = MIB // 2  # of each kind, however little memory there is: the process serves, if not much
MAX_BUFFERED_BYTES = 256 * MIB


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits of one process. Times are nanoseconds, sizes are bytes."""

    below_program: bool  # the memory limit is below what the program itself takes
    # Sockets in total. Clients may use `clients` and the spare ones, connections to cache hosts the rest of the total.
    sockets: int
    clients: int
    spare: int  # for clients that connect while all places are taken: they get a refusal and are closed
    management_connections: int  # reserved for callers of the management address
    management_timeout: int  # for a complete request there
    backlog: int
    successor_sockets: int  # reserved for a process that starts beside this one to replace it
    accepts_per_turn: int  # clients accepted in one turn of the loop, as far as there are sockets
    # Bytes of one line, of a value that a client writes, and of one that a cache host returns.
    line_bytes: int
    value_bytes: int
    answer_bytes: int
    stream_above_bytes: int  # longer values are streamed in pieces of at most `chunk_bytes`
    chunk_bytes: int
    read_bytes: int  # read from one connection at once
    write_ahead_bytes: int  # queued of the known answers of a client; further ones wait until these are sent
    # Separately for all commands, all incomplete commands, all incomplete responses and all unread responses.
    buffered_bytes: int  # and for the pieces of all streamed values
    # Transactions: waiting on one client connection, open at a time, on one connection to a cache host.
    pipelined: int
    open_txs: int
    tx_bytes: int  # memory of an open transaction with a hop, beside its texts
    per_host_connection: int
    turn_duration: int  # a turn of the loop that has taken longer accepts no more transactions
    retry_after: int  # sent to clients with a refusal for want of room
    # A hop that starts later than this after its client was last seen requires a check that the client is still there.
    presence_check_after: int
    new_client_grace: int  # a new client that has sent nothing keeps its place this long
    first_command_timeout: int  # for the first complete command line, after which a client loses its place if needed
    idle_clients: int  # idle connections that had a response; beyond that the longest idle one is closed
    # Connections to cache hosts.
    connect_timeout: int
    host_idle_timeout: int  # well below the idle timeout of the cache hosts
    idle_loss_half_life: int  # of the observations of idle connections
    idle_loss_min_samples: int  # fewer observations have no effect
    sweep_interval: int
    stall_timeout: int  # without progress in a command or response that has begun to arrive or to be sent
    # Discovery.
    watch_wait: int  # the longest wait of a watch
    answer_slack_max: int  # how late a response may be: the maximum, and the value until the lateness is known
    answer_slack_min: int
    first_wait: int  # the wait of a call that begins a watch
    queue_time: int  # how long such a call may be in discovery's queue
    empty_answer_delay: int  # before the next watch, if one returned at once without news
    pushed_retry_max: int  # the longest delay between failed calls, where lists are pushed
    watch_retry_min: int  # the first and the longest delay between failed calls, where lists are requested
    watch_retry_max: int
    fast_retry_window: int  # calls are repeated fast for this long after one that may have missed a delivered change
    fast_retry_max: int  # the longest delay between failed calls in that window
    first_list_timeout: int  # where lists are pushed: a start waits this long for the first one
    list_bytes: int
    # The steps of a planned shutdown, as durations since its request: clients are still accepted, open connections are
    # still served, the last response is due with time left to write it, and the process exits.
    accept_grace: int
    drain_cutoff_after: int  # of a drain: closes clients without an open request, if quiet for `new_client_grace`
    leave_after: int
    last_answer_after: int
    stop_after: int
    flush_timeout: int  # for responses that the operating system has not taken by then
    warning_interval: int  # each kind of warning is logged once in this time, with the number of those suppressed


def derive_limits(
    facts: dict[str, Any], sockets: int, memory_mb: int, managed: bool = False, two_processes: bool = False
) -> Limits:
    """Returns the limits for the settings and the process's socket and memory limits.

    `managed`: the process listens on a management address. `two_processes`: a second process may run beside this one,
    so each may use only its part. Raises ValueError, TypeError or KeyError for settings that can't be used.
    """
    settings = facts["Limits"]
    # Instead of a fixed maximum, idle connections with their buffers may use up to a quarter of the memory.
    total = min(sockets, max(1024, (memory_mb - PROGRAM_MB) * MIB // 4 // CONNECTION_BYTES))
    callers = max(4, min(16, total // 16))
    # 16 descriptors are taken by the standard streams, epoll, the wake-up pipe, the listener, a spare of Twisted's, and
    # discovery with one call that ends and one that idles. Management adds its listener and two callers, which may be
    # accepted beyond the limit before the oldest one is closed.
    reserved = 16 + (callers + 3 if managed else 0)
    # Where a second process may run, both need these. Memory in use can't be released at once, so each gets half.
    available, memory_mb = (total - 2 * reserved, memory_mb // 2) if two_processes else (total - reserved, memory_mb)
    spare = max(4, available // 8)
    longest_hard_limit = max(p["HardLimit"] for p in facts["Profiles"])
    # The limit applies to five kinds of buffers, above the memory of the program itself.
    buffered = max(MIN_BUFFERED_BYTES, min(MAX_BUFFERED_BYTES, (memory_mb - PROGRAM_MB) * MIB // 6))
    accept_time, stop_time = SECOND // 2, min(longest_hard_limit * US, 3 * SECOND) + 600 * MS
    list_max_age = parse_duration(facts["Invariants"], "MustAskIn", "Invariants", default=0) or DEFAULT_LIST_MAX_AGE_NS
    drain_grace = parse_duration(facts["Invariants"], "DrainGrace", "Invariants", default=2 * SECOND)
    conn_idle = parse_duration(settings, "ConnIdle", "Limits", default=0) or 5 * SECOND
    return Limits(
        below_program=memory_mb < PROGRAM_MB,
        sockets=available - spare,
        clients=(available - spare) * 2 // 3,
        spare=spare,
        management_connections=callers,
        management_timeout=2 * SECOND,
        successor_sockets=min(24, available // 4) if two_processes else 0,
        backlog=1024,
        accepts_per_turn=16,
        line_bytes=2048,
        value_bytes=4 * MIB,
        answer_bytes=4 * MIB,
        stream_above_bytes=65536,
        chunk_bytes=max(MIN_READ_BYTES, min(65536, buffered // 256)),
        read_bytes=max(MIN_READ_BYTES, min(MAX_READ_BYTES, buffered // 256)),
        write_ahead_bytes=max(MIN_READ_BYTES, min(65536, buffered // 256)),
        buffered_bytes=buffered,
        pipelined=256,
        open_txs=int(parse_number(settings, "MostHeld", "Limits", 0, MAX_NUMBER, 0)) or 20000,
        tx_bytes=3 << 10,
        per_host_connection=max(1, int(parse_number(settings, "StreamsPerConn", "Limits", 0, MAX_NUMBER, 1))),
        presence_check_after=SECOND // 20,
        turn_duration=min(p["ServiceGoal"] for p in facts["Profiles"]) * US // 10,
        new_client_grace=SECOND,
        first_command_timeout=5 * SECOND // 2,
        idle_clients=total // 6,
        retry_after=parse_duration(settings, "MaxRetryAfter", "Limits", default=0) // 4
        if settings.get("RetryAfter")
        else 0,
        connect_timeout=parse_duration(settings, "DialTimeout", "Limits", default=0) or 250 * MS,
        host_idle_timeout=conn_idle * 3 // 5,
        sweep_interval=SECOND // 4,
        idle_loss_half_life=5 * SECOND,
        idle_loss_min_samples=8,
        stall_timeout=5 * SECOND,
        watch_wait=min(SILENCE_NS // 3, list_max_age // 2),
        answer_slack_max=SILENCE_NS // 6,
        answer_slack_min=SILENCE_NS // 24,
        first_wait=SECOND // 20,
        queue_time=5 * SILENCE_NS // 12,
        empty_answer_delay=SECOND // 10,
        pushed_retry_max=max(SECOND // 20, min(SECOND, drain_grace // 2)),
        watch_retry_min=SILENCE_NS // 12,
        watch_retry_max=SILENCE_NS // 6,
        fast_retry_window=2 * SILENCE_NS,
        fast_retry_max=SILENCE_NS // 24,
        first_list_timeout=SECOND,
        list_bytes=8 * MIB,
        accept_grace=accept_time,
        drain_cutoff_after=3 * SECOND,
        leave_after=max(accept_time, stop_time - SECOND // 3),
        last_answer_after=stop_time - 20 * MS,
        stop_after=stop_time,
        flush_timeout=60 * MS,
        warning_interval=SECOND,
    )
