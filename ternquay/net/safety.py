"""The one place that decides whether an attempt may begin, be repeated, be answered, or a client be closed now.

Drivers ask here in the step in which they act. What is done against these rules all the same is counted as a violation
and logged as an error, so that a fault elsewhere is seen in the run in which it happens. Reasons are counted, and the
latest events are kept for operators (`GET /control/events`, `GET /control/metrics`). Without I/O.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeVar

MAX_EVENTS = 256


class AttemptRefusal(StrEnum):
    """Why an attempt may not begin."""

    ANSWERED = "the request has its answer"
    OVERDUE = "the time of the attempt is over"
    FORGOTTEN = "a repeat would no longer be known as one"
    STALE = "it was decided on before the process stood still"
    DEPARTED = "the client has gone"


class CloseReason(StrEnum):
    """Why the balancer ends a client's connection."""

    REQUEST_OVERDUE = "its request was not whole in time"
    MALFORMED = "what it sent can't be followed"
    ANSWERS_UNREAD = "it takes no answers"
    MEMORY = "more is kept for it than there is room for"
    VALUE_BROKEN = "a value that was begun can't be finished"
    NO_REQUEST = "it sent no whole request and its place was wanted"
    STOPPED = "it stopped in a request and its place was wanted"
    IDLE = "idle, and its place was wanted"
    LEAVING = "idle, and this process is leaving"
    REMOVED = "its listener was taken away"


class ServerCloseReason(StrEnum):
    """Why the balancer ends a connection to a cache host."""

    BAD_ANSWER = "its answer can't be read, or is too large"
    GIVEN_UP = "only attempts that were given up are on it"
    VALUE_STOPPED = "a large value stands still on it"
    VALUE_UNWANTED = "nobody takes its large value any more"
    LEAVING = "its host is leaving, or has another address"
    UNFIT = "it was closed or written to while idle, or idle for too long"
    IDLE = "idle, and its place was wanted"
    REMOVED = "its tenant is gone"


class RequestRefusal(StrEnum):
    """Why a request was refused."""

    DECISIONS = "the decisions refused it"
    LATE_TURN = "the loop is behind"
    CROWDED = "too many connections"
    PIPELINED = "too many requests wait on its connection"
    REQUESTS = "too many requests are open"
    SHARE = "its tenant has too many requests open"


class Violation(StrEnum):
    """A rule that was broken by this process."""

    CLOSED_OWING = "a connection was closed on a request that waits for its answer"
    ANSWERED_TWICE = "a request was answered a second time"
    BEGUN_FORBIDDEN = "an attempt was begun that may not begin"


# Where the client is at fault, or memory has to be had, nothing holds the close up.
UNCONDITIONAL_CLOSES = frozenset(
    {CloseReason.ANSWERS_UNREAD, CloseReason.MEMORY, CloseReason.VALUE_BROKEN, CloseReason.REMOVED}
)
# Ordinary ends, which are counted and not logged.
ROUTINE_CLOSES = frozenset({CloseReason.IDLE, CloseReason.LEAVING})


class Attempt(NamedTuple):
    """What decides whether an attempt may begin. Times are whole nanoseconds, 0 for no bound."""

    answered: bool  # the request has its final answer
    fully_received: bool  # the last byte of the request has come
    deadline: int  # the end of the attempt's time
    begin_by: int  # a repeat is known as one until then
    stale: bool  # the process stood still after it was decided on


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened to a connection or a request, for operators: no key and no value."""

    at: int
    kind: str
    reason: str
    request: str = ""


def attempt_refusal(attempt: Attempt, now: int, departed: Callable[[], bool]) -> AttemptRefusal | None:
    """Why the attempt may not begin now, or None. `departed` costs a system call and is asked last."""
    if attempt.answered:
        return AttemptRefusal.ANSWERED
    if attempt.fully_received and now >= attempt.deadline:
        return AttemptRefusal.OVERDUE
    if attempt.begin_by and now >= attempt.begin_by:
        return AttemptRefusal.FORGOTTEN
    if attempt.stale:
        return AttemptRefusal.STALE
    return AttemptRefusal.DEPARTED if departed() else None


def may_close(reason: CloseReason, owing: bool, unread: bool = False) -> bool:
    """Whether a client's connection may be ended: not while it is owed an answer, or while bytes lie unread that may
    be a request's last."""
    return reason in UNCONDITIONAL_CLOSES or not (owing or unread)


Reason = TypeVar("Reason", bound=StrEnum)


def metric_lines(name: str, counts: Mapping[Reason, int], reasons: Iterable[Reason]) -> list[str]:
    """A line for each reason, also for one that has not come up."""
    return [f'ternquay_{name}_total{{reason="{one.name.lower()}"}} {counts.get(one, 0)}' for one in reasons]


class SafetyMonitor:
    """Asks the rules, counts what comes of it, and reports what is done against them.

    Requests are named by a function that tells their id, as most of the time nobody wants to know it.
    """

    def __init__(self, now: Callable[[], int], log: Callable[..., None]) -> None:
        self.now, self.log = now, log
        self.client_closes: Counter[CloseReason] = Counter()
        self.server_closes: Counter[ServerCloseReason] = Counter()
        self.attempt_refusals: Counter[AttemptRefusal] = Counter()
        self.request_refusals: Counter[RequestRefusal] = Counter()
        self.violations: Counter[Violation] = Counter()
        self.retries = 0
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def may_begin(
        self, attempt: Attempt, departed: Callable[[], bool], request: Callable[[], str]
    ) -> AttemptRefusal | None:
        """Why the attempt may not begin now, or None: then its first byte has to leave in this very step."""
        refusal = attempt_refusal(attempt, self.now(), departed)
        if refusal is not None:
            self.attempt_refusals[refusal] += 1
            self._record_event("attempt not begun", refusal, request())
        return refusal

    def record_attempt_start(self, answered: bool, request: Callable[[], str], number: int) -> None:
        """An attempt's first byte leaves."""
        if number:
            self.retries += 1
            self._record_event(f"attempt {number + 1}", "begun", request())
        if answered:
            self._record_violation(Violation.BEGUN_FORBIDDEN, request())

    def record_client_close(self, reason: CloseReason, owed: Sequence[str]) -> None:
        """A client's connection is ended on the requests of these ids."""
        self.client_closes[reason] += 1
        if owed and not may_close(reason, True):
            self._record_violation(Violation.CLOSED_OWING, owed[0])
        if reason not in ROUTINE_CLOSES:
            self._record_event("client closed", reason, owed[0] if owed else "")
            self.log("INFO", f"a client was closed: {reason.value}")

    def record_server_close(self, reason: ServerCloseReason) -> None:
        """A connection to a cache host is ended."""
        self.server_closes[reason] += 1
        if reason in (ServerCloseReason.BAD_ANSWER, ServerCloseReason.VALUE_STOPPED):
            self._record_event("server connection closed", reason, "")

    def record_request_refusal(self, reason: RequestRefusal, request: Callable[[], str]) -> None:
        """A request is refused: a retry of it is harmless."""
        self.request_refusals[reason] += 1
        if reason is not RequestRefusal.DECISIONS:  # those are many, and would leave no room for the rest
            self._record_event("request refused", reason, request())

    def may_answer(self, before: bool, request: Callable[[], str]) -> bool:
        """Whether an answer may be given: not if one was before."""
        if before:
            self._record_violation(Violation.ANSWERED_TWICE, request())
        return not before

    def metrics(self) -> str:
        """All counts as text, a line each, in the exposition format of Prometheus."""
        return "\n".join(
            [
                f"ternquay_attempts_repeated_total {self.retries}",
                *metric_lines("client_closes", self.client_closes, CloseReason),
                *metric_lines("server_closes", self.server_closes, ServerCloseReason),
                *metric_lines("attempts_not_begun", self.attempt_refusals, AttemptRefusal),
                *metric_lines("requests_refused", self.request_refusals, RequestRefusal),
                *metric_lines("violations", self.violations, Violation),
            ]
        )

    def recent_events(self) -> str:
        """The latest events as text, a line each, the oldest first: seconds on the monotonic clock come first."""
        return "\n".join(f"{one.at / 1e9:.6f} {one.kind}: {one.reason} {one.request}".rstrip() for one in self.events)

    def summary(self) -> str:
        """One line for the log at the end."""
        closes = ", ".join(
            f"{reason.name.lower()} {count}"
            for reason, count in sorted(self.client_closes.items(), key=lambda item: item[0].name)
        )
        return f"closed clients: {closes or 'none'}; violations: {sum(self.violations.values())}"

    def _record_violation(self, rule: Violation, request: str) -> None:
        self.violations[rule] += 1
        self._record_event("violation", rule, request)
        self.log("ERROR", f"violation: {rule.value}, request {{}}", request)

    def _record_event(self, what: str, reason: str, request: str) -> None:
        self.events.append(Event(self.now(), what, reason, request))
