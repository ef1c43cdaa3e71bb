"""How tenants share one process: rates with a burst, parts that are lent and taken back, and turns by measured time.

All pure: times are whole nanoseconds that the caller hands in. Nothing here knows what a tenant is but its name.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass(slots=True)
class Bucket:
    """So many a second, up to a burst at once."""

    rate: float
    burst: float
    left: float = field(init=False)
    at: int = 0

    def __post_init__(self) -> None:
        self.left = self.burst

    def take(self, now: int) -> int:
        """Nought if one more fits, and it is counted; else how long until one does, and it is not."""
        if now > self.at:
            self.left = min(self.burst, self.left + self.rate * (now - self.at) / SECOND)
            self.at = now
        if self.left >= 1.0:
            self.left -= 1.0
            return 0
        return int((1.0 - self.left) / self.rate * SECOND) + 1

    def change(self, now: int, rate: float, burst: float) -> None:
        """Another limit from now on; what was saved up beyond the new burst is gone."""
        self.take(now)
        self.left = min(burst, self.left + 1.0)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, frozen=True)
class Part:
    """Of a whole, in its own unit: always there for its owner, and the most that it gets."""

    least: int
    most: int


@dataclass(slots=True)
class Lent:
    """One thing of which there is a whole (sockets, bytes): what its owners leave is lent to others.

    An owner within its part is never turned away, so the whole may be passed for a moment; owed() then says who
    has to give back how much. Whoever calls sheds that at once, so the parts must add up to the whole at most.
    """

    whole: int
    parts: dict[str, Part] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def settle(self, parts: Mapping[str, Part]) -> None:
        """The parts of all tenants from now on. One without a part keeps what it has and gets no more."""
        self.parts = dict(parts)
        self.used = {name: used for name, used in self.used.items() if used or name in parts}

    def take(self, name: str, amount: int = 1) -> bool:
        part = self.parts.get(name)
        used = self.used.get(name, 0) + amount
        if part is None or used > part.most:
            return False
        if used > part.least and self.total + amount > self.whole:
            return False
        self.used[name] = used
        self.total += amount
        return True

    def count(self, name: str, amount: int) -> None:
        """What is there already, whatever the parts say; with a minus what is no more."""
        if amount < 0:
            return self.give(name, -amount)
        self.used[name] = self.used.get(name, 0) + amount
        self.total += amount

    def room(self, name: str) -> int:
        """How much it may have in all as things stand; what others left is for it too."""
        part = self.parts.get(name)
        if part is None:
            return 0
        return min(part.most, max(part.least, self.used.get(name, 0) + self.whole - self.total))

    def give(self, name: str, amount: int = 1) -> None:
        """Gives back; more than was taken is a fault of the caller's and changes nothing beyond nought."""
        amount = min(amount, self.used.get(name, 0))
        self.total -= amount
        self.used[name] = self.used.get(name, 0) - amount
        if not self.used[name] and name not in self.parts:
            del self.used[name]

    def owed(self) -> list[tuple[str, int]]:
        """Who has to give back how much for the whole to hold again, whoever borrowed most first."""
        excess, owed = self.total - self.whole, []
        lent = [(self.used[name] - (self.parts[name].least if name in self.parts else 0), name) for name in self.used]
        for borrowed, name in sorted(lent, key=lambda pair: (-pair[0], pair[1])):
            if excess <= 0 or borrowed <= 0:
                break
            owed.append((name, min(borrowed, excess)))
            excess -= borrowed
        return owed


@dataclass(slots=True)
class Turns:
    """Whose turn it is on the one loop: deficit round robin (Shreedhar and Varghese, 1995) over measured time.

    What a turn costs is known only after it, so it is charged then and a name may go into debt; it sits out as many
    rounds as that takes. Who has nothing waiting loses what it saved, but keeps its debt until rounds have paid it or
    `forget` is past. Each step is of constant cost, but the one that begins a round.
    """

    quantum: int  # of time for a weight of one, in each round
    forget: int = SECOND
    others: float = 0.0  # the weight of names that settle() was not told of; with nought they get no turn
    weights: dict[str, float] = field(default_factory=dict)
    waiting: "OrderedDict[str, None]" = field(default_factory=OrderedDict)
    left: dict[str, float] = field(default_factory=dict)
    since: dict[str, int] = field(default_factory=dict)  # who is in debt with nothing waiting, and since when

    def settle(self, weights: Mapping[str, float]) -> None:
        """The weights of all tenants from now on; one that is gone waits for nothing any more."""
        self.weights = dict(weights)
        self.waiting = OrderedDict((name, None) for name in self.waiting if name in weights)
        self.left = {name: left for name, left in self.left.items() if name in weights}
        self.since = {name: at for name, at in self.since.items() if name in weights}

    def _weight(self, name: str) -> float:
        return self.weights.get(name, self.others)

    def ready(self, now: int, name: str) -> None:
        """It has something waiting."""
        if name in self.waiting or not self._weight(name):
            return
        if now - self.since.pop(name, now) >= self.forget:
            self.left.pop(name, None)
        self.left.setdefault(name, 0.0)
        self.waiting[name] = None

    def next(self) -> str | None:
        """Whose turn it is; None if nobody waits."""
        if not self.waiting:
            return None
        for again in (False, True):
            for _ in range(len(self.waiting)):
                name = next(iter(self.waiting))
                if self.left[name] > 0:
                    return name
                self.waiting.move_to_end(name)
            if not again:
                self._rounds()
        raise AssertionError

    def _rounds(self) -> None:
        """As many rounds at once as bring the first of them out of its debt; they pay off who waits for nothing too."""
        due = min(-self.left[name] / (self.quantum * self._weight(name)) for name in self.waiting)
        quantum = (int(due) + 1) * self.quantum
        for name in self.waiting:
            self.left[name] += quantum * self._weight(name)
        for name in list(self.since):
            self.left[name] += quantum * self._weight(name)
            if self.left[name] >= 0:
                del self.since[name], self.left[name]

    def spent(self, now: int, name: str, took: int, more: bool) -> None:
        """Its turn took so long; `more`: it still has something waiting."""
        if name not in self.left:
            return  # gone in its turn
        self.left[name] -= took
        if not more and name in self.waiting:
            del self.waiting[name]
            if self.left[name] >= 0:
                del self.left[name]
            else:
                self.since[name] = now
        elif self.left[name] <= 0 and name in self.waiting:
            self.waiting.move_to_end(name)

    def charge(self, now: int, name: str, took: int) -> None:
        """It took so long outside its turns. While nobody waits the time was nobody else's."""
        if not self.waiting or not self._weight(name):
            return
        self.left[name] = self.left.get(name, 0.0) - took
        if name not in self.waiting:
            self.since.setdefault(name, now)

    def drop(self, name: str) -> None:
        """It is gone."""
        self.waiting.pop(name, None)
        self.left.pop(name, None)
        self.since.pop(name, None)

    def sweep(self, now: int) -> None:
        """Debts that are forgotten leave the table."""
        for name in [name for name, at in self.since.items() if now - at >= self.forget]:
            del self.since[name]
            self.left.pop(name, None)


@dataclass(slots=True)
class Ceiling:
    """The most that one gets of the loop's time, whether others want it or not; over spans of a tenth of a second."""

    most: float
    span: int = SECOND // 10
    left: float = field(init=False)
    at: int = 0

    def __post_init__(self) -> None:
        self.left = self.most * self.span

    def spent(self, now: int, took: int) -> None:
        if self.most < 1.0:
            self.left = min(self.most * self.span, self.left + self.most * max(0, now - self.at)) - took
            self.at = max(self.at, now)

    def wait(self, now: int) -> int:
        """Nought, or how long it has to pause."""
        if self.most >= 1.0:
            return 0
        left = self.left + self.most * max(0, now - self.at)
        return 0 if left > 0 else int(-left / self.most) + 1


@dataclass(slots=True)
class Client:
    """What one client (an address) of a tenant has left of its equal part, and has open."""

    left: float
    at: int
    open: int = 0


@dataclass(slots=True)
class Dues:
    """Which client of a tenant may have one more transaction now: its rate, in equal parts while several want it.

    A client within its part is never turned away; what others leave of the rate is lent to whoever asks. Clients that
    asked for nothing over the last second have no part. The table has a bound: who asked longest ago leaves first.
    """

    rate: float
    burst: float
    most: int = 4096
    clients: "OrderedDict[str, Client]" = field(default_factory=OrderedDict)  # by when they last asked
    whole: float = field(init=False)
    at: int = 0
    open: int = 0

    def __post_init__(self) -> None:
        self.whole = self.burst

    def change(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.whole = rate, burst, min(self.whole, burst)

    def _client(self, now: int, who: str) -> Client:
        client = self.clients.get(who)
        if client is None:
            client = self.clients[who] = Client(1.0, now)
        else:
            self.clients.move_to_end(who)
        while self.clients:
            first = next(iter(self.clients))
            old = self.clients[first]
            if first == who or old.open or (now - old.at < SECOND and len(self.clients) <= self.most):
                break
            del self.clients[first]
        return client

    def take(self, now: int, who: str) -> int:
        """Nought if it may, and it is counted; else how long until it may."""
        client = self._client(now, who)
        many = len(self.clients)
        if now > self.at:
            self.whole = min(self.burst, self.whole + self.rate * (now - self.at) / SECOND)
            self.at = now
        part = self.rate / many
        client.left = min(max(1.0, self.burst / many), client.left + part * max(0, now - client.at) / SECOND)
        client.at = max(client.at, now)
        if client.left >= 1.0:
            client.left -= 1.0
            # Whoever takes its part takes it from what would be lent.
            self.whole = max(-self.burst, self.whole - 1.0)
            return 0
        if self.whole >= 1.0:
            self.whole -= 1.0
            return 0
        return int(min((1.0 - client.left) / part, (1.0 - self.whole) / self.rate) * SECOND) + 1

    def opened(self, who: str) -> None:
        client = self.clients.get(who)
        if client is not None:
            client.open += 1
            self.open += 1

    def closed(self, who: str) -> None:
        client = self.clients.get(who)
        if client is not None and client.open:
            client.open -= 1
            self.open -= 1

    def part(self, whole: int) -> float:
        """The equal part of so much of something, for each that asks for any."""
        return whole / max(1, len(self.clients))

    def crowds(self, who: str, least: int, times: float) -> bool:
        """Whether it has open more than its part, while others have some too."""
        client = self.clients.get(who)
        if client is None or client.open < least or client.open >= self.open:
            return False
        return client.open > times * self.part(self.open)
