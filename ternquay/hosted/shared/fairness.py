"""Fair sharing of one process: token buckets, borrowable capacity, and deficit round robin over measured time.

Everything here is pure: the caller passes the time, in whole nanoseconds. Tenants and clients are known only by name.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

SECOND = 1_000_000_000  # in nanoseconds


@dataclass(slots=True)
class TokenBucket:
    """Admits `rate` events a second, and up to `burst` at once."""

    rate: float
    burst: float
    tokens: float = field(init=False)
    updated_at: int = 0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def take(self, now: int) -> int:
        """Takes a token and returns 0, or returns the nanoseconds until one is available and takes nothing."""
        if now > self.updated_at:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self.updated_at) / SECOND)
            self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0
        return int((1.0 - self.tokens) / self.rate * SECOND) + 1

    def change(self, now: int, rate: float, burst: float) -> None:
        """Applies new limits from now on. Tokens beyond the new burst are lost."""
        self.take(now)
        self.tokens = min(burst, self.tokens + 1.0)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, frozen=True)
class Allocation:
    """A tenant's part of a capacity, in the unit of that capacity: what is guaranteed, and the limit."""

    guaranteed: int
    limit: int


@dataclass(slots=True)
class SharedCapacity:
    """A capacity (sockets, bytes) whose unused part is lent to tenants that need more than their guarantee.

    A tenant within its guarantee is never refused, so the total may exceed the capacity for a moment. reclaimable()
    then lists who has to give back how much, and the caller reclaims it at once. The guarantees must not add up to more
    than the capacity.
    """

    capacity: int
    allocations: dict[str, Allocation] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)
    total_used: int = 0

    def set_allocations(self, allocations: Mapping[str, Allocation]) -> None:
        """Sets the allocations of all tenants. A tenant without one keeps what it has and gets no more."""
        self.allocations = dict(allocations)
        self.used = {name: used for name, used in self.used.items() if used or name in allocations}

    def acquire(self, name: str, amount: int = 1) -> bool:
        """Takes `amount` for the tenant if its limit and the capacity allow it. Returns whether it was taken."""
        allocation = self.allocations.get(name)
        used = self.used.get(name, 0) + amount
        if allocation is None or used > allocation.limit:
            return False
        if used > allocation.guaranteed and self.total_used + amount > self.capacity:
            return False
        self.used[name] = used
        self.total_used += amount
        return True

    def adjust(self, name: str, amount: int) -> None:
        """Counts a use that exists already, whatever the allocations allow; a negative amount is a release."""
        if amount < 0:
            return self.release(name, -amount)
        self.used[name] = self.used.get(name, 0) + amount
        self.total_used += amount

    def current_limit(self, name: str) -> int:
        """Returns how much the tenant may use in all at present, including what other tenants leave unused."""
        allocation = self.allocations.get(name)
        if allocation is None:
            return 0
        return min(
            allocation.limit,
            max(allocation.guaranteed, self.used.get(name, 0) + self.capacity - self.total_used),
        )

    def release(self, name: str, amount: int = 1) -> None:
        """Gives back `amount`. Releasing more than was taken is a caller's fault; the use does not fall below zero."""
        amount = min(amount, self.used.get(name, 0))
        self.total_used -= amount
        self.used[name] = self.used.get(name, 0) - amount
        if not self.used[name] and name not in self.allocations:
            del self.used[name]

    def reclaimable(self) -> list[tuple[str, int]]:
        """Returns who has to give back how much for the total to fit again, the largest borrower first."""
        excess, reclaimable = self.total_used - self.capacity, []
        borrowers = [
            (self.used[name] - (self.allocations[name].guaranteed if name in self.allocations else 0), name)
            for name in self.used
        ]
        for borrowed, name in sorted(borrowers, key=lambda pair: (-pair[0], pair[1])):
            if excess <= 0 or borrowed <= 0:
                break
            reclaimable.append((name, min(borrowed, excess)))
            excess -= borrowed
        return reclaimable


@dataclass(slots=True)
class DeficitRoundRobin:
    """Deficit round robin (Shreedhar and Varghese, 1995) over measured time.

    The cost of a turn is known only after it, so it is charged then and a name's credit may become negative. The name
    then sits out as many rounds as it takes to pay the debt. A name with nothing waiting loses unused credit but keeps
    its debt until rounds have paid it or `debt_expiry_ns` has passed. Each operation takes constant time, except the
    one that starts a round.
    """

    quantum: int  # nanoseconds of a round for a weight of 1.0
    debt_expiry_ns: int = SECOND
    default_weight: float = 0.0  # of names that set_weights() did not list; names of weight 0 get no turn
    weights: dict[str, float] = field(default_factory=dict)
    waiting: "OrderedDict[str, None]" = field(default_factory=OrderedDict)
    credit: dict[str, float] = field(default_factory=dict)
    idle_debt_since: dict[str, int] = field(default_factory=dict)  # names in debt with nothing waiting

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Sets the weights of all names. Names that are not listed any more are forgotten."""
        self.weights = dict(weights)
        self.waiting = OrderedDict((name, None) for name in self.waiting if name in weights)
        self.credit = {name: credit for name, credit in self.credit.items() if name in weights}
        self.idle_debt_since = {name: since for name, since in self.idle_debt_since.items() if name in weights}

    def _weight(self, name: str) -> float:
        return self.weights.get(name, self.default_weight)

    def enqueue(self, now: int, name: str) -> None:
        """Notes that the name has work waiting."""
        if name in self.waiting or not self._weight(name):
            return
        if now - self.idle_debt_since.pop(name, now) >= self.debt_expiry_ns:
            self.credit.pop(name, None)
        self.credit.setdefault(name, 0.0)
        self.waiting[name] = None

    def next_turn(self) -> str | None:
        """Returns the name whose turn it is, or None if nothing is waiting."""
        if not self.waiting:
            return None
        for again in (False, True):
            for _ in range(len(self.waiting)):
                name = next(iter(self.waiting))
                if self.credit[name] > 0:
                    return name
                self.waiting.move_to_end(name)
            if not again:
                self._start_rounds()
        raise AssertionError

    def _start_rounds(self) -> None:
        """Starts as many rounds at once as it takes until a waiting name is out of debt.

        The rounds also pay off the debts of names with nothing waiting.
        """
        due = min(-self.credit[name] / (self.quantum * self._weight(name)) for name in self.waiting)
        quantum = (int(due) + 1) * self.quantum
        for name in self.waiting:
            self.credit[name] += quantum * self._weight(name)
        for name in list(self.idle_debt_since):
            self.credit[name] += quantum * self._weight(name)
            if self.credit[name] >= 0:
                del self.idle_debt_since[name], self.credit[name]

    def end_turn(self, now: int, name: str, took: int, more: bool) -> None:
        """Charges a turn of `took` nanoseconds; `more` says whether the name still has work waiting."""
        if name not in self.credit:
            return  # removed during its turn
        self.credit[name] -= took
        if not more and name in self.waiting:
            del self.waiting[name]
            if self.credit[name] >= 0:
                del self.credit[name]
            else:
                self.idle_debt_since[name] = now
        elif self.credit[name] <= 0 and name in self.waiting:
            self.waiting.move_to_end(name)

    def charge(self, now: int, name: str, took: int) -> None:
        """Charges time spent outside the name's turns. While nothing waits, the time is free: nobody else wanted it."""
        if not self.waiting or not self._weight(name):
            return
        self.credit[name] = self.credit.get(name, 0.0) - took
        if name not in self.waiting:
            self.idle_debt_since.setdefault(name, now)

    def remove(self, name: str) -> None:
        """Forgets the name."""
        self.waiting.pop(name, None)
        self.credit.pop(name, None)
        self.idle_debt_since.pop(name, None)

    def expire_debts(self, now: int) -> None:
        """Forgets debts that are older than `debt_expiry_ns`."""
        for name in [name for name, since in self.idle_debt_since.items() if now - since >= self.debt_expiry_ns]:
            del self.idle_debt_since[name]
            self.credit.pop(name, None)


@dataclass(slots=True)
class TimeCeiling:
    """Caps the fraction of the event loop's time that a tenant may use, even when nobody else needs it.

    The cap holds over windows of a tenth of a second.
    """

    fraction: float
    window_ns: int = SECOND // 10
    budget: float = field(init=False)
    updated_at: int = 0

    def __post_init__(self) -> None:
        self.budget = self.fraction * self.window_ns

    def charge(self, now: int, took: int) -> None:
        """Charges `took` nanoseconds that ended at `now`."""
        if self.fraction < 1.0:
            self.budget = (
                min(
                    self.fraction * self.window_ns,
                    self.budget + self.fraction * max(0, now - self.updated_at),
                )
                - took
            )
            self.updated_at = max(self.updated_at, now)

    def wait(self, now: int) -> int:
        """Returns 0, or the nanoseconds for which the tenant has to pause."""
        if self.fraction >= 1.0:
            return 0
        budget = self.budget + self.fraction * max(0, now - self.updated_at)
        return 0 if budget > 0 else int(-budget / self.fraction) + 1


@dataclass(slots=True)
class ClientState:
    """The remaining tokens and the open transactions of one client address of a tenant."""

    tokens: float
    updated_at: int
    open: int = 0


@dataclass(slots=True)
class ClientLimiter:
    """Divides a tenant's transaction rate equally among the client addresses that are active.

    A client within its equal part is never refused; what others leave of the rate is lent to any client that asks. A
    client that asked for nothing during the last second has no part. The table is bounded: the client that asked
    longest ago is removed first.
    """

    rate: float
    burst: float
    max_clients: int = 4096
    clients: "OrderedDict[str, ClientState]" = field(default_factory=OrderedDict)  # in the order of their last request
    shared_tokens: float = field(init=False)
    updated_at: int = 0
    open: int = 0

    def __post_init__(self) -> None:
        self.shared_tokens = self.burst

    def change(self, rate: float, burst: float) -> None:
        """Applies new limits from now on. Shared tokens beyond the new burst are lost."""
        self.rate, self.burst, self.shared_tokens = rate, burst, min(self.shared_tokens, burst)

    def _touch(self, now: int, address: str) -> ClientState:
        """Returns the state of a client that asks now, and removes clients that are idle or beyond the bound."""
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = ClientState(1.0, now)
        else:
            self.clients.move_to_end(address)
        while self.clients:
            first = next(iter(self.clients))
            oldest = self.clients[first]
            if (
                first == address
                or oldest.open
                or (now - oldest.updated_at < SECOND and len(self.clients) <= self.max_clients)
            ):
                break
            del self.clients[first]
        return client

    def take(self, now: int, address: str) -> int:
        """Admits a transaction and returns 0, or returns the nanoseconds until the client may try again."""
        client = self._touch(now, address)
        count = len(self.clients)
        if now > self.updated_at:
            self.shared_tokens = min(self.burst, self.shared_tokens + self.rate * (now - self.updated_at) / SECOND)
            self.updated_at = now
        client_rate = self.rate / count
        client.tokens = min(
            max(1.0, self.burst / count), client.tokens + client_rate * max(0, now - client.updated_at) / SECOND
        )
        client.updated_at = max(client.updated_at, now)
        if client.tokens >= 1.0:
            client.tokens -= 1.0
            # A client that uses its own part leaves less to lend.
            self.shared_tokens = max(-self.burst, self.shared_tokens - 1.0)
            return 0
        if self.shared_tokens >= 1.0:
            self.shared_tokens -= 1.0
            return 0
        return int(min((1.0 - client.tokens) / client_rate, (1.0 - self.shared_tokens) / self.rate) * SECOND) + 1

    def opened(self, address: str) -> None:
        """Counts a transaction that the client has opened."""
        client = self.clients.get(address)
        if client is not None:
            client.open += 1
            self.open += 1

    def closed(self, address: str) -> None:
        """Counts a transaction of the client that has ended."""
        client = self.clients.get(address)
        if client is not None and client.open:
            client.open -= 1
            self.open -= 1

    def equal_part(self, total: int) -> float:
        """Returns the equal part of `total` for each active client."""
        return total / max(1, len(self.clients))

    def crowds(self, address: str, least: int, factor: float) -> bool:
        """Whether the client has at least `least` open and more than `factor` equal parts, and others have some too."""
        client = self.clients.get(address)
        if client is None or client.open < least or client.open >= self.open:
            return False
        return client.open > factor * self.equal_part(self.open)
