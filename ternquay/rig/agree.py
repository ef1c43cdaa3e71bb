"""Plays a day with a fleet: several hosted balancers that agree on changes, while members fail and messages get lost.

    found = play_agreement(day, seed, out)     # the object of result.json, and each breach

Two tenants are served by every member: `sur`, which nothing happens to, and `norte`, which is suspended, resumed, and
loses and regains cache hosts all the time. What was in force when, each member writes to its log; it is held against
what clients and cache hosts saw (rule `mixed`): who asks after a suspension is in force anywhere, and has an answer
before anybody knows of its end, must not have a value; who asks after a cache host was taken out must not reach it.
"""

import json
import shutil
import signal
import threading
import time
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ternquay.hosted.administration import keys
from ternquay.hosted.administration.caller import Caller, CallFailed, Target
from ternquay.rig import records
from ternquay.rig.between import Between
from ternquay.rig.child import Plan
from ternquay.rig.configuration import tail_ms
from ternquay.rig.judge import Breach, judge
from ternquay.rig.measure import measure, percentile
from ternquay.rig.play import follow
from ternquay.rig.ports import free_place
from ternquay.rig.processes import PlayError, PortTaken, Running, Stage, staged
from ternquay.rig.tenants import (
    TRIES,
    Hosted,
    Party,
    child,
    cores_for,
    day_of,
    document,
    standins,
    tenant_figures,
)
from ternquay.rig.terms import MS, SECOND, Day, Trouble

STILL, CHANGED = "sur", "norte"
KEY = b"a key of the rig, for its own fleet"
OUT_MOST = 2  # cache hosts that are taken out at a time
RESOLVED_WITHIN, SETTLED_WITHIN = 20.0, 30.0
NAMES = "abcdefghijklmno"


class Fellow(Hosted):
    """One member through all its lives."""

    def __init__(
        self,
        stage: Stage,
        day: Day,
        number: int,
        seed: int,
        core: int,
        token: str,
        ports: dict[str, int],
        places: dict[str, str],
        own: str,
    ) -> None:
        super().__init__(stage, day, seed, core)
        self.number, self.name, self.token = number, NAMES[number], token
        self.address = f"127.7.0.{number + 1}"
        self.listens = {tenant: f"{self.address}:{port}" for tenant, port in ports.items()}
        self.folder = stage.out / f"member-{self.name}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir()
        self.file = self.folder / "service.toml"
        (self.folder / "fleet.key").write_bytes(KEY)
        self.copy = self.folder / "copy"
        self.pauses: list[records.Pause] = []
        rows = "".join(
            f'[[peers.members]]\nname = "{name}"\nplace = "{own if name == self.name else place}"\n'
            for name, place in places.items()
        )
        self.file.write_text(
            f'name = "{self.name}"\n[process]\nsockets = 1024\n[store]\npath = "registry.db"\n[api]\n'
            f'listen = "{self.api}"\ncalls_a_second = 500.0\nburst = 500\n[[api.operators]]\nname = "rig"\n'
            f'digest = "{keys.digest_of(token).hex()}"\n'
            + (
                f'[peers]\nfleet = "rig"\nme = "{self.name}"\nkey_file = "fleet.key"\naddress = "{self.address}"\n'
                f'lease_ms = {day.agreement.lease_ms}\nalone = "{day.agreement.alone}"\n{rows}'
                if day.agreement.peers
                else ""
            )
            + "[end]\n"
        )

    def start(self) -> None:
        super().start()
        self.lives[-1].balancer = self.number

    def label(self) -> str:
        return f"member-{self.name}"

    @property
    def up(self) -> bool:
        return self.running is not None and self.running.process.poll() is None and not self.lives[-1].ended

    @property
    def stopped(self) -> bool:
        return bool(self.pauses) and not self.pauses[-1].ended

    def stop(self) -> None:
        if self.up and not self.stopped:
            self.pauses.append(records.Pause(self.number, time.monotonic_ns(), 0))
            self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        if self.stopped:
            self.signal(signal.SIGCONT)
            self.pauses[-1].ended = time.monotonic_ns()

    def disk(self) -> list[Path]:
        return list(self.folder.glob("registry.db*"))

    def lose_disk(self) -> None:
        for path in self.disk():
            path.unlink()

    def keep_copy(self) -> None:
        shutil.rmtree(self.copy, ignore_errors=True)
        self.copy.mkdir()
        for path in self.disk():
            shutil.copy(path, self.copy)

    def set_back(self) -> None:
        self.lose_disk()
        for path in self.copy.iterdir():
            shutil.copy(path, self.folder)

    def caller(self, timeout: float = 1.0) -> Caller:
        return Caller(Target(f"http://{self.api}", self.token, timeout=timeout))

    def status(self) -> dict[str, Any]:
        """What it says of the fleet, {} where it says nothing."""
        try:
            found: dict[str, Any] = once(self.caller(), "GET", "/v1/fleet")[1]
            return found
        except OSError:
            return {}

    def lines(self) -> list[dict[str, Any]]:
        """Its log, of all its lives."""
        found = []
        for text in (self.stage.out / "logs" / f"{self.label()}.log").read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(text))
            except ValueError:
                continue  # half written as it was killed
        return found


def once(caller: Caller, method: str, path: str, body: Any = None, key: str = "") -> tuple[int, Any]:
    """One call, and never again by itself: its status and body. Raises OSError where there is no answer."""
    import http.client

    headers = {"authorization": f"Bearer {caller.target.token}", "content-type": "application/json"}
    if method != "GET":
        headers |= {"if-match": "*", "idempotency-key": key}
    try:
        status, text, _ = caller._send_once(method, path, json.dumps(body) if body is not None else None, headers)
    except http.client.HTTPException as fault:
        raise OSError(str(fault)) from fault
    finally:
        caller.close()
    return status, json.loads(text) if text else None


@dataclass
class Made:
    """A change that was asked for, from its first call to its outcome."""

    kind: str
    key: str
    method: str
    path: str
    body: Any
    server: str = ""
    began: int = 0
    ended: int = 0
    status: int = 0  # 0 while its outcome isn't known
    version: int = 0


@dataclass
class Changes(threading.Thread):
    """Changes the fleet through any of its members; a call that isn't answered is made again at another one."""

    fellows: list[Fellow]
    seed: int
    a_second: float
    servers: list[dict[str, Any]]
    begin: int
    end: int
    made: list[Made] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(daemon=True)
        self.random = Random(f"{self.seed}/agreement")
        self.away: list[dict[str, Any]] = []
        self.suspended = False
        self.fault = ""

    def __hash__(self) -> int:
        return id(self)

    def run(self) -> None:
        due = self.begin + SECOND // 2
        while due < self.end:
            time.sleep(max(0, due - time.monotonic_ns()) / SECOND)
            try:
                self.one()
            except Exception as fault:  # told at the play's end
                self.fault = f"{type(fault).__name__}: {fault}"
                return
            due = max(due + int(self.random.expovariate(self.a_second) * SECOND), time.monotonic_ns() - SECOND)

    def one(self) -> None:
        kind = self.random.choice(("state", "state", "remove", "add", "limits", "nowhere"))
        path = f"/v1/tenants/{CHANGED}"
        if kind == "state":
            self.carry(Made(kind, "", "PUT", f"{path}/state", {"state": "active" if self.suspended else "suspended"}))
        elif kind == "remove" and len(self.away) < OUT_MOST:
            one = self.random.choice([s for s in self.servers if s not in self.away])
            self.carry(Made(kind, "", "DELETE", f"{path}/servers/{one['name']}", None, one["name"]))
        elif kind == "add" and self.away:
            one = self.away[0]
            self.carry(Made(kind, "", "PUT", f"{path}/servers/{one['name']}", one, one["name"]))
        elif kind == "limits":
            limits = {"burst": self.random.randint(140, 160)}
            self.carry(
                Made(
                    kind,
                    "",
                    "PUT",
                    f"{path}/limits",
                    {
                        **limits,
                        "cpu": {"least": 0.1, "most": 0.9},
                        "sockets": {"least": 0.1, "most": 0.8},
                        "memory": {"least": 0.1, "most": 0.8},
                        "txs_a_second": 2000.0,
                    },
                )
            )
        elif kind == "nowhere":
            # A listener that one member's machine has in use: nobody may have it.
            taken = self.random.choice(self.fellows)
            port = taken.api.rpartition(":")[2]
            tenant = {
                "name": "este",
                "listeners": [f"{taken.api.rpartition(':')[0]}:{port}"],
                "profiles": [{"name": "read", "kind": "idempotent", "service_goal_ms": 300, "hard_limit_ms": 900}],
            }
            self.carry(Made(kind, "", "POST", "/v1/tenants", tenant))

    def carry(self, made: Made) -> None:
        made.key, made.began = f"{self.seed}-{len(self.made)}", time.monotonic_ns()
        self.made.append(made)
        self.resolve(made, RESOLVED_WITHIN)

    def resolve(self, made: Made, within: float) -> None:
        until = time.monotonic() + within
        while time.monotonic() < until:
            fellow = self.random.choice(self.fellows)
            try:
                status, body = once(fellow.caller(8.0), made.method, made.path, made.body, made.key)
            except OSError:
                time.sleep(0.05)
                continue
            if status in (429, 500, 503, 504):
                time.sleep(0.1)
                continue
            made.status, made.ended = status, time.monotonic_ns()
            if status < 300:
                made.version = body["version"]
                self._note(made)
            return

    def _note(self, made: Made) -> None:
        if made.kind == "state":
            self.suspended = made.body["state"] == "suspended"
        elif made.kind == "remove":
            self.away += [one for one in self.servers if one["name"] == made.server]
        elif made.kind == "add":
            self.away = [one for one in self.away if one["name"] != made.server]


# ---- troubles ----


class Troubles:
    """Carries out a day's troubles; whom they meet is drawn as they begin."""

    def __init__(self, day: Day, seed: int, fellows: list[Fellow], between: Between) -> None:
        self.fellows, self.between, self.random = fellows, between, Random(f"{seed}/troubles")
        self.met: dict[int, list[Fellow]] = {}
        self.restarted = 0
        length = day.seconds * SECOND
        self.events: list[tuple[int, Callable[[], bool | None]]] = []
        for n, one in enumerate(day.agreement.troubles):
            step = (one.end - one.start) / (2 * one.flaps - 1)
            for flap in range(one.flaps):
                at = one.start + 2 * flap * step
                self.events.append((int(at * length), lambda n=n, one=one: self.begins(n, one)))  # type: ignore[misc]
                end = int((at + step) * length)
                self.events.append((end, lambda n=n, one=one: self.ends(n, one)))  # type: ignore[misc]
        self.events.sort(key=lambda event: event[0])

    def leader(self) -> Fellow | None:
        for fellow in self.fellows:
            name = fellow.status().get("leader") if fellow.up and not fellow.stopped else ""
            if name:
                return self.fellows[NAMES.index(name)]
        return None

    def whom(self, one: Trouble) -> list[Fellow]:
        if one.who == "all":
            return list(self.fellows)
        up = [fellow for fellow in self.fellows if fellow.up and not fellow.stopped]
        leader = self.leader()
        if one.who == "leader" and leader in up:
            return [leader]
        rest = [fellow for fellow in up if fellow is not leader] if one.who == "follower" else up
        return [self.random.choice(rest)] if rest else []

    def begins(self, n: int, one: Trouble) -> None:
        met = self.met[n] = self.whom(one)
        names = {fellow.name for fellow in met}
        others = {fellow.name for fellow in self.fellows} - names
        if one.kind in ("kill", "kill-all", "disk-old", "disk-lost"):
            for fellow in self.fellows if one.kind == "kill-all" else met:
                if one.kind == "disk-old":
                    fellow.keep_copy()  # of a running one, as a careless backup is
                fellow.kill()
        elif one.kind == "restart":
            for fellow in met:
                fellow.ask_to_end()
        elif one.kind == "stop":
            for fellow in met:
                fellow.stop()
        elif one.kind in ("cut", "cut-out", "cut-in"):
            if one.kind == "cut-in":
                self.between.cut(others, names, back=False)
            else:
                self.between.cut(names, others, back=one.kind == "cut")
        elif one.kind == "halves":
            drawn = self.random.sample([fellow.name for fellow in self.fellows], len(self.fellows) // 2)
            self.between.cut(drawn, {fellow.name for fellow in self.fellows} - set(drawn))
        else:
            for pair, way in self.between.ways.items():
                if set(pair) & (names or set(pair)):
                    way.delay, way.loss, way.double = one.ms / 1000, one.part, one.part
                    way.drip = 64 if one.kind == "drip" else 0

    def ends(self, n: int, one: Trouble) -> bool | None:
        met = self.fellows if one.kind == "kill-all" else self.met[n]
        if one.kind in ("kill", "kill-all", "restart", "disk-old", "disk-lost"):
            for fellow in met:
                if fellow.up and not fellow.lives[-1].told_to_end:
                    continue  # started again already
                if one.kind == "disk-lost":
                    fellow.lose_disk()
                elif one.kind == "disk-old":
                    fellow.set_back()
                if not fellow.again():
                    return False
                if one.kind == "kill-all":
                    time.sleep(0.1)  # one by one
        elif one.kind == "stop":
            for fellow in met:
                fellow.go_on()
        else:
            self.between.heal()
        return None


# ---- a play ----


def play_agreement(
    day: Day,
    seed: int,
    out: Path,
    progress: Callable[[float], None] = lambda at: None,
) -> tuple[dict[str, Any], list[Breach]]:
    shutil.rmtree(out / "logs", ignore_errors=True)
    for last in (False,) * (TRIES - 1) + (True,):
        try:
            with staged(out) as stage:
                return _play(stage, day, seed, progress)
        except PortTaken:
            if last:
                raise
    raise AssertionError


def _play(stage: Stage, day: Day, seed: int, progress: Callable[[float], None]) -> tuple[dict[str, Any], list[Breach]]:
    many = day.balancers.count
    cores = cores_for(many + 4)
    names = NAMES[:many]
    # At an address of each one's own: what lies between them listens elsewhere, and would be given the same ports.
    own = {name: free_place(f"127.7.1.{n + 1}") for n, name in enumerate(names)}
    between = Between(
        {name: (place.rpartition(":")[0], int(place.rpartition(":")[2])) for name, place in own.items()}, seed
    )
    try:
        ports = {tenant: int(free_place("127.7.0.1").rpartition(":")[2]) for tenant in (STILL, CHANGED)}
        token = keys.generate_token("", "rig")
        fellows = [
            Fellow(
                stage,
                day,
                n,
                seed,
                cores[n],
                token,
                ports,
                {other: own[other] if other == name else between.place(name, other) for other in names},
                own[name],
            )
            for n, name in enumerate(names)
        ]
        return _played(stage, day, seed, fellows, between, cores[many:], progress)
    finally:
        between.end()


def _parties(day: Day, fellows: list[Fellow]) -> list[Party]:
    found = []
    for n, terms in enumerate(day.tenants):
        own = day_of(day, terms)
        own = msgspec.structs.replace(own, balancers=msgspec.structs.replace(own.balancers, count=len(fellows)))
        found.append(Party(terms, own, f"0.0.0.0:{fellows[0].listens[terms.name].rpartition(':')[2]}", n))
    return found


def _played(
    stage: Stage,
    day: Day,
    seed: int,
    fellows: list[Fellow],
    between: Between,
    cores: list[int],
    progress: Callable[[float], None],
) -> tuple[dict[str, Any], list[Breach]]:
    for fellow in fellows:
        fellow.start()
    parties = _parties(day, fellows)
    fleets = {party.terms.name: standins(stage, party, seed, n, cores[n]) for n, party in enumerate(parties)}
    for party in parties:
        known = json.loads(fleets[party.terms.name].told()["known"])
        party.servers = [{"name": "-".join(m["id"].split("-")[:2]), "place": m["host_port"]} for m in known["members"]]
    for fellow in fellows:
        fellow.wait_ready()
    if day.agreement.peers:
        _led(fellows).take_in([document(party) for party in parties])
        settled(fellows)
    else:
        for fellow in fellows:
            fellow.take_in([document(party) | {"listeners": [fellow.listens[party.terms.name]]} for party in parties])
    loads = {}
    for n, party in enumerate(parties):
        plan = Plan(
            party.day,
            seed + 1000 * n,
            "",
            balancers=[fellow.listens[party.terms.name] for fellow in fellows],
            tail_ms=tail_ms(party.day),
            prefix=f"{party.terms.name}-",
            addresses=[f"127.5.{n}.{m + 1}" for m in range(party.terms.addresses)],
        )
        loads[party.terms.name] = child(stage, f"load-{party.terms.name}", "ternquay.rig.load", cores[2 + n], plan)
    for load in loads.values():
        load.told()
    begin = time.monotonic_ns() + 300 * MS
    children: list[Running] = [*fleets.values(), *loads.values()]
    for running in children:
        running.say(f"begin {begin}\n")
    changed = next(party for party in parties if party.terms.name == CHANGED)
    changes = Changes(
        fellows,
        seed,
        day.agreement.a_second,
        list(changed.servers or ()),
        begin,
        begin + int((day.seconds - 1) * SECOND if day.agreement.peers else 0),
    )
    changes.start()
    follow(day, begin, Troubles(day, seed, fellows, between).events, list(fellows), children, progress)
    between.heal()
    for fellow in fellows:
        fellow.go_on()
        if not fellow.up:
            fellow.again()
    changes.join(RESOLVED_WITHIN + 10)
    if changes.fault or changes.is_alive():
        raise PlayError(f"the changes ended: {changes.fault or 'not in their time'}")
    if day.agreement.peers:
        settled(fellows)
        for made in changes.made:
            if not made.status:
                changes.resolve(made, RESOLVED_WITHIN)
        settled(fellows)
    histories = {fellow.name: _history(fellow) for fellow in fellows}
    for fellow in fellows:
        fellow.finish()
    return _gathered(stage, day, seed, begin, parties, fellows, changes, histories)


def _led(fellows: list[Fellow]) -> Fellow:
    until = time.monotonic() + SETTLED_WITHIN
    while time.monotonic() < until:
        for fellow in fellows:
            if fellow.status().get("leader") == fellow.name:
                return fellow
        time.sleep(0.05)
    raise PlayError("the fleet has no leader")


def settled(fellows: list[Fellow]) -> None:
    """Until all take by the same. Raises PlayError."""
    until = time.monotonic() + SETTLED_WITHIN
    rows: list[Any] = []
    while time.monotonic() < until:
        rows = []
        for fellow in fellows:
            told = fellow.status()
            mine = [one for one in told.get("members", ()) if one["name"] == fellow.name]
            rows.append((mine[0]["version"], mine[0]["why"], told["under_way"]) if mine else (None, "silent", True))
        if len(set(rows)) == 1 and not rows[0][1] and not rows[0][2]:
            return
        time.sleep(0.1)
    raise PlayError(f"the fleet does not settle: {rows}")


def _history(fellow: Fellow) -> dict[int, tuple[str, str]]:
    """The change log as that member has it, by version."""
    found: dict[int, tuple[str, str]] = {}
    after = 0
    while True:
        try:
            lines = fellow.caller(10.0).call("GET", f"/v1/changes?after={after}&limit=200").body["changes"]
        except CallFailed as fault:
            raise PlayError(f"{fellow.name}: {fault}") from fault
        if not lines:
            return found
        found |= {line["version"]: (line["tenant"], line["kind"]) for line in lines}
        after = lines[-1]["version"]


# ---- what was seen ----


@dataclass(slots=True)
class Span:
    """From when something was in force anywhere until its end was."""

    began: int
    ended: int

    def holds(self, sent: int, ended: int) -> bool:
        return sent >= self.began and ended <= self.ended


FOREVER = 1 << 62


def first_in_force(fellows: list[Fellow]) -> dict[int, list[int]]:
    """When each version was in force at the members, by their own logs, the first first."""
    found: dict[int, dict[str, int]] = {}
    for fellow in fellows:
        for line in fellow.lines():
            if line.get("message") == "changed" and "clock" in line:
                found.setdefault(line["version"], {}).setdefault(fellow.name, line["clock"])
    return {version: sorted(times.values()) for version, times in found.items()}


def spans(made: list[Made], times: dict[int, list[int]]) -> tuple[list[Span], dict[str, list[Span]]]:
    """When the tenant was suspended, and when each of its cache hosts was out."""
    suspended: list[Span] = []
    out: dict[str, list[Span]] = {}
    for one in sorted((m for m in made if m.version in times), key=lambda m: m.version):
        at = times[one.version][0]
        if one.kind == "state" and one.body["state"] == "suspended":
            suspended.append(Span(at, FOREVER))
        elif one.kind == "state":
            for span in suspended:
                span.ended = min(span.ended, at)
        elif one.kind == "remove":
            out.setdefault(one.server, []).append(Span(at, FOREVER))
        elif one.kind == "add" and out.get(one.server):
            out[one.server][-1].ended = min(out[one.server][-1].ended, at)
    return suspended, out


def mixed(saw: records.Saw, made: list[Made], times: dict[int, list[int]]) -> list[Breach]:
    """Takings by an older version than was in force anywhere."""
    suspended, out = spans(made, times)
    found: list[Breach] = []
    begins = [span.began for span in suspended]
    sent = {one.id: one for load in saw.loads for one in load.tries if one.sent}
    for one in sent.values():
        at = bisect_left(begins, one.sent + 1) - 1
        if at >= 0 and one.answer in ("value", "receipt") and suspended[at].holds(one.sent, one.ended):
            found.append(
                Breach(
                    "mixed",
                    one.ended,
                    "taken though the tenant was suspended",
                    {"try": msgspec.structs.asdict(one), "since": suspended[at].began},
                )
            )
    for hop in saw.fleet.hops:
        taken, name = sent.get(hop.id), "-".join(hop.name.split("-")[:2])
        if taken is not None and any(span.holds(taken.sent, hop.whole) for span in out.get(name, ())):
            found.append(
                Breach(
                    "mixed",
                    hop.whole,
                    "reached a cache host that was taken out before it was taken",
                    {"try": msgspec.structs.asdict(taken), "hop": msgspec.structs.asdict(hop)},
                )
            )
    return found


def told_of(made: list[Made], fellows: list[Fellow]) -> list[records.Told]:
    """What each member was told of the changed tenant's cache hosts, by its own log."""
    kinds = {one.version: one for one in made if one.version and one.kind in ("remove", "add")}
    found = []
    for fellow in fellows:
        for line in fellow.lines():
            one = kinds.get(line.get("version", 0)) if line.get("message") == "changed" else None
            if one is not None:
                # Also of a change that it had again, after its disk was lost: then it is told of its end as well.
                found.append(
                    records.Told(fellow.number, line["clock"], one.server, "removed" if one.kind == "remove" else "up")
                )
    return sorted(found, key=lambda told: told.at)


def _gathered(
    stage: Stage,
    day: Day,
    seed: int,
    begin: int,
    parties: list[Party],
    fellows: list[Fellow],
    changes: Changes,
    histories: dict[str, dict[int, tuple[str, str]]],
) -> tuple[dict[str, Any], list[Breach]]:
    times = first_in_force(fellows)
    lives = [life for fellow in fellows for life in fellow.lives]
    samples = [sample for fellow in fellows for sample in fellow.samples]
    pauses = [pause for fellow in fellows for pause in fellow.pauses]
    breaches: list[Breach] = []
    tenants: dict[str, Any] = {}
    whole: dict[str, Any] = {}
    for party in parties:
        name = party.terms.name
        try:
            fleet = records.read_fleet(stage.out / f"standins-{name}.saw")
            load = records.read_load(stage.out / f"load-{name}.saw")
        except (OSError, msgspec.DecodeError) as fault:
            raise PlayError(f"what was seen can't be read: {fault}") from fault
        told = told_of(changes.made, fellows) if name == CHANGED else []
        saw = records.Saw(
            day=party.day.name,
            seed=seed,
            seconds=day.seconds,
            begin=begin,
            loads=[load],
            fleet=msgspec.structs.replace(fleet, told=told),
            lives=lives,
            samples=samples,
            pauses=pauses,
        )
        found = judge(party.day, saw)
        if name == CHANGED:
            found += mixed(saw, changes.made, times)
        breaches += found
        one = measure(party.day, saw, found)
        tenants[name] = tenant_figures(one) | {"lateness": one["lateness"], "service_by_member": by_member(saw, party)}
        whole = one if name == STILL else whole
        rules = tenants[name]["rules"]
        rules["mixed"] = sum(breach.rule == "mixed" for breach in found)
    result = whole | {
        "day": day.name,
        "tenants": tenants,
        "crashes": whole["crashes"],
        "rules": {rule: sum(one["rules"][rule] for one in tenants.values()) for rule in tenants[STILL]["rules"]},
        "late": any(max(one["lateness"].values()) > 30 for one in tenants.values()),
        "agreement": agreement(fellows, changes.made, times, histories, len(fellows)),
    }
    result["agreement"]["mixed"] = result["rules"]["mixed"]
    return result, breaches


def by_member(saw: records.Saw, party: Party) -> list[float]:
    """What of the tries sent to each member ended well."""
    asked = [0] * party.day.balancers.count
    done = [0] * party.day.balancers.count
    for load in saw.loads:
        for one in load.tries:
            asked[one.balancer] += 1
            done[one.balancer] += one.answer in ("value", "receipt")
    return [round(d / max(1, a), 4) for d, a in zip(done, asked, strict=True)]


def agreement(
    fellows: list[Fellow],
    made: list[Made],
    times: dict[int, list[int]],
    histories: dict[str, dict[int, tuple[str, str]]],
    many: int,
) -> dict[str, Any]:
    told = [one for one in made if one.version]
    lost = sum(any(one.version not in history for history in histories.values()) for one in told)
    decided = [one.ended - one.began for one in told]
    # Until a majority has it: the rest may be down, and adopts it as it comes back.
    switched = [at[many // 2] - at[0] for at in times.values() if len(at) > many // 2]
    fenced = sum(line.get("message") == "refusing new transactions" for fellow in fellows for line in fellow.lines())
    figures = {
        name: {"p50": round(percentile(spent, 0.5) / MS, 2), "p99": round(percentile(spent, 0.99) / MS, 2)}
        for name, spent in (("decided_ms", decided), ("switch_ms", switched))
    }
    return {
        "changes": len(made),
        "in_force": len(told),
        "nowhere": sum(one.status == 422 for one in made),
        "unknown": sum(not one.status for one in made),
        "mixed": 0,
        "lost": lost,
        "fenced": fenced,
        "other": sorted({one.status for one in made if one.status not in (200, 201, 202, 422, 0)}),
        **figures,
    }
