"""Safety rules: whether an attempt may start, a request may be answered and a client connection may be closed.

Protocol drivers ask these rules immediately before they act. An action that breaks a rule is counted as a violation
and logged as an error, so that a fault elsewhere shows in the run in which it happens. The module counts the reasons
of closes and refusals and keeps the latest events for operators (`GET /control/events`, `GET /control/metrics`).
It does no I/O.

The lower-case names of the enum members are metric labels; their texts appear in log lines and `GET /control/events`.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeVar

MAX_EVENTS = 256


class AttemptRefusal(StrEnum):
    """Why an attempt may not start."""

    ANSWERED = "the request has its answer"
    OVERDUE = "the time of the attempt is over"
    FORGOTTEN = "a repeat would no longer be known as one"
    STALE = "it was decided on before the process stood still"
    DEPARTED = "the client has gone"
    UNSEEN = "the client may have closed behind what is unread"


class CloseReason(StrEnum):
    """Why the balancer closes a client connection."""

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
    """Why the balancer closes a connection to a cache host."""

    BAD_ANSWER = "its answer can't be read, or is too large"
    GIVEN_UP = "only attempts that were given up are on it"
    VALUE_STOPPED = "a large value stands still on it"
    VALUE_UNWANTED = "nobody takes its large value any more"
    LEAVING = "its host is leaving, or has another address"
    UNFIT = "it was closed or written to while idle, or idle for too long"
    IDLE = "idle, and its place was wanted"
    REMOVED = "its tenant is gone"


class RequestRefusal(StrEnum):
    """Why the balancer refuses a request."""

    DECISIONS = "the decisions refused it"
    LATE_TURN = "the loop is behind"
    CROWDED = "too many connections"
    PIPELINED = "too many requests wait on its connection"
    REQUESTS = "too many requests are open"
    SHARE = "its tenant has too many requests open"
    MEMORY = "there is no memory for it"
    VALUE_HELD = "no server took its value in time"
    BACKLOG = "it was read late, and its client may have closed behind what is unread"
    VALUE_AHEAD = "a value before it may still break off, and there is no memory to keep it until then"
    VALUE_BROKEN = "its value broke off before the first byte was passed on"


class HoldEnd(StrEnum):
    """How the time ended for which a large value was kept to become whole."""

    WHOLE = "it was whole"
    INCOMPLETE = "a part of it was passed on before the rest had come"
    BROKEN = "its cache host broke it off"


class Violation(StrEnum):
    """A safety rule that this process broke."""

    CLOSED_OWING = "a connection was closed on a request that waits for its answer"
    ANSWERED_TWICE = "a request was answered a second time"
    BEGUN_FORBIDDEN = "an attempt was begun that may not begin"


# These closes are never postponed: the client is at fault, or its listener was removed.
UNCONDITIONAL_CLOSES = frozenset({CloseReason.ANSWERS_UNREAD, CloseReason.REMOVED})
# Routine closes are counted but not logged.
ROUTINE_CLOSES = frozenset({CloseReason.IDLE, CloseReason.LEAVING})
# These end a value or a response that was still arriving.
CUTTING_SERVER_CLOSES = frozenset(
    {ServerCloseReason.BAD_ANSWER, ServerCloseReason.VALUE_STOPPED, ServerCloseReason.VALUE_UNWANTED}
)
VALUE_REFUSALS = frozenset({RequestRefusal.VALUE_HELD, RequestRefusal.VALUE_AHEAD, RequestRefusal.VALUE_BROKEN})


class Attempt(NamedTuple):
    """The state that decides whether an attempt may start. Times are integer nanoseconds; 0 means no bound."""

    answered: bool  # the request has its final answer
    fully_received: bool  # the last byte of the request has arrived
    deadline: int
    begin_by: int  # cache hosts recognise a repeat until this time
    stale: bool  # the process stalled after the attempt was decided on


@dataclass(frozen=True, slots=True)
class Event:
    """An event of a connection or a request, shown to operators. It holds no key and no value."""

    at: int
    kind: str
    reason: str
    request: str = ""


def attempt_refusal(attempt: Attempt, now: int, presence: Callable[[], AttemptRefusal | None]) -> AttemptRefusal | None:
    """Returns why the attempt may not start now, or None.

    `presence` returns why it may not for its client. It costs a system call, so it is called last.
    """
    if attempt.answered:
        return AttemptRefusal.ANSWERED
    if attempt.fully_received and now >= attempt.deadline:
        return AttemptRefusal.OVERDUE
    if attempt.begin_by and now >= attempt.begin_by:
        return AttemptRefusal.FORGOTTEN
    if attempt.stale:
        return AttemptRefusal.STALE
    return presence()


def may_close(reason: CloseReason, owes_answer: bool, unread: bool = False) -> bool:
    """Whether a client connection may be closed.

    `owes_answer`: the client waits for an answer. `unread`: bytes that may complete a request arrived but are not read.
    """
    return reason in UNCONDITIONAL_CLOSES or not (owes_answer or unread)


Reason = TypeVar("Reason", bound=StrEnum)


def metric_lines(name: str, counts: Mapping[Reason, int], reasons: Iterable[Reason]) -> list[str]:
    """Returns one metric line for each reason, including reasons that have not occurred."""
    return [f'ternquay_{name}_total{{reason="{reason.name.lower()}"}} {counts.get(reason, 0)}' for reason in reasons]


class SafetyMonitor:
    """Applies the safety rules, counts their results and reports violations.

    Callers identify a request by a function that returns its id, because the id is rarely needed.
    """

    def __init__(self, now: Callable[[], int], log: Callable[..., None]) -> None:
        self.now, self.log = now, log
        self.client_closes: Counter[CloseReason] = Counter()
        self.server_closes: Counter[ServerCloseReason] = Counter()
        self.attempt_refusals: Counter[AttemptRefusal] = Counter()
        self.request_refusals: Counter[RequestRefusal] = Counter()
        self.hold_ends: Counter[HoldEnd] = Counter()
        self.violations: Counter[Violation] = Counter()
        self.retries = self.known_request_ids = 0
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def may_begin(
        self, attempt: Attempt, presence: Callable[[], AttemptRefusal | None], request: Callable[[], str]
    ) -> AttemptRefusal | None:
        """Returns why the attempt may not start now, or None. After None, the caller must write its first byte
        immediately."""
        refusal = attempt_refusal(attempt, self.now(), presence)
        if refusal is not None:
            self.attempt_refusals[refusal] += 1
            self._record_event("attempt not begun", refusal, request())
        return refusal

    def record_attempt_start(self, answered: bool, request: Callable[[], str], attempt_index: int) -> None:
        """Records that the first byte of an attempt is being written. `attempt_index` is 0 for the first attempt."""
        if attempt_index:
            self.retries += 1
            self._record_event(f"attempt {attempt_index + 1}", "begun", request())
        if answered:
            self._record_violation(Violation.BEGUN_FORBIDDEN, request())

    def record_client_close(self, reason: CloseReason, unanswered_ids: Sequence[str]) -> None:
        """Records that a client connection is closed. `unanswered_ids` holds the ids of its unanswered requests."""
        self.client_closes[reason] += 1
        if unanswered_ids and not may_close(reason, True):
            self._record_violation(Violation.CLOSED_OWING, unanswered_ids[0])
        if reason not in ROUTINE_CLOSES:
            self._record_event("client closed", reason, unanswered_ids[0] if unanswered_ids else "")
            self.log("INFO", f"closed a client connection: {reason.value}")

    def record_server_close(self, reason: ServerCloseReason) -> None:
        """Records that a connection to a cache host is closed."""
        self.server_closes[reason] += 1
        if reason in CUTTING_SERVER_CLOSES:
            self._record_event("server connection closed", reason, "")
        if reason is ServerCloseReason.VALUE_UNWANTED:  # the others have a warning that names the cache host
            self.log("INFO", f"closed a connection to a cache host: {reason.value}")

    def record_request_refusal(self, reason: RequestRefusal, request: Callable[[], str]) -> None:
        """Records that a request is refused. It has not run, so a retry is safe."""
        self.request_refusals[reason] += 1
        if reason is not RequestRefusal.DECISIONS:  # too frequent: these would displace all other events
            self._record_event("request refused", reason, request())
        if reason in VALUE_REFUSALS:
            self.log("INFO", f"refused a request: {reason.value}")

    def record_hold_end(self, end: HoldEnd, request: Callable[[], str]) -> None:
        """Records how the time ended for which a large value was kept to become whole."""
        self.hold_ends[end] += 1
        if end is not HoldEnd.WHOLE:
            self._record_event("value kept", end, request())

    def record_known_request_id(self, request: Callable[[], str]) -> None:
        """Records that a request was not accepted, as its id is open or may have run."""
        self.known_request_ids += 1
        self._record_event("request not accepted", "its id is not new", request())

    def may_answer(self, already_answered: bool, request: Callable[[], str]) -> bool:
        """Whether a request may be answered. `already_answered`: it was already answered, which is a violation."""
        if already_answered:
            self._record_violation(Violation.ANSWERED_TWICE, request())
        return not already_answered

    def metrics(self) -> str:
        """Returns all counts in the Prometheus text exposition format, one per line."""
        return "\n".join(
            [
                f"ternquay_attempts_repeated_total {self.retries}",
                f"ternquay_requests_known_id_total {self.known_request_ids}",
                *metric_lines("client_closes", self.client_closes, CloseReason),
                *metric_lines("server_closes", self.server_closes, ServerCloseReason),
                *metric_lines("attempts_not_begun", self.attempt_refusals, AttemptRefusal),
                *metric_lines("requests_refused", self.request_refusals, RequestRefusal),
                *metric_lines("values_kept", self.hold_ends, HoldEnd),
                *metric_lines("violations", self.violations, Violation),
            ]
        )

    def recent_events(self) -> str:
        """Returns the latest events as text, one per line, oldest first. Times are seconds on the monotonic clock."""
        return "\n".join(
            f"{event.at / 1e9:.6f} {event.kind}: {event.reason} {event.request}".rstrip() for event in self.events
        )

    def summary(self) -> str:
        """Returns a one-line summary for the log at the end of the process."""
        closes = ", ".join(
            f"{reason.name.lower()} {count}"
            for reason, count in sorted(self.client_closes.items(), key=lambda item: item[0].name)
        )
        return f"closed clients: {closes or 'none'}; violations: {sum(self.violations.values())}"

    def _record_violation(self, rule: Violation, request: str) -> None:
        self.violations[rule] += 1
        self._record_event("violation", rule, request)
        self.log("ERROR", f"violation: {rule.value}, request {{}}", request)

    def _record_event(self, kind: str, reason: str, request: str) -> None:
        self.events.append(Event(self.now(), kind, reason, request))
