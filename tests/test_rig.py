"""The rig as it is used: its command line, bad input, figures, and short plays with real processes on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from typer.testing import CliRunner

from ternquay.rig import records
from ternquay.rig import saturate as saturating
from ternquay.rig.child import Plan
from ternquay.rig.commands import app
from ternquay.rig.compare import interval, verdict
from ternquay.rig.contender import by_decisions, contender
from ternquay.rig.judge import judge
from ternquay.rig.laws.clients import Arrival
from ternquay.rig.load import Connection, Load
from ternquay.rig.measure import measure
from ternquay.rig.ports import drawn_from, free_place
from ternquay.rig.standins.reader import CommandError, CommandReader
from ternquay.rig.survey import Job, against, by_day
from ternquay.rig.terms import MS, SECOND, DayError, day_names, plan_faults, read_day
from ternquay.rig.virtual import World
from tests.test_judge import QUIET, Right

DAYS = {
    "calm",
    "slow-origin",
    "silent-host",
    "crash-fifth",
    "rolling-release",
    "hot-key",
    "burst",
    "discovery-down",
    "stale-list",
    "garbling",
    "resets",
    "balancer-killed",
    "planned-restarts",
    "reload",
    "all-together",
    "tenants",
    "tenants-changes",
    "tenants-shared-cold",
    "two-shapes",
    "drain-silent",
    "agree-crash",
    "agree-partition",
    "agree-slow",
    "agree-restart",
    "clock-steps",
    "system-calls",
    "half-written",
}


def rig(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(app, list(words))
    return done.exit_code, done.output


def test_all_days_are_there_and_each_has_a_line() -> None:
    assert set(day_names()) == DAYS
    code, text = rig("days")
    assert code == 0 and all(len(line.split(maxsplit=1)) == 2 for line in text.splitlines())
    assert {line.split()[0] for line in text.splitlines()} == DAYS


def test_a_fault_has_the_same_targets_for_the_same_seed() -> None:
    day = read_day("crash-fifth")
    assert plan_faults(day, 3) == plan_faults(day, 3)
    assert len({plan_faults(day, seed)[0].hosts for seed in range(9)}) > 1
    assert len(plan_faults(day, 3)[0].hosts) == 2


BAD = [
    ("line = 3", "line: Expected `str`, got `int`"),
    ("nonsense", "Expected '=' after a key"),
    ("seconds = -1.0", "seconds: Expected `float` > 0.0"),
    ("[hosts]\nspead = [1.0, 1.0]", "hosts: Object contains unknown field `spead`"),
    ('[[faults]]\nkind = "meteor"\nstart = 0.1\nend = 0.2', "faults[0].kind: Invalid enum value 'meteor'"),
    ('[[faults]]\nkind = "burst"\nstart = 0.5\nend = 0.2', "faults[0].end: 0.2 is not after the start"),
    ('[[faults]]\nkind = "host-crash"\nstart = 0.1\nend = 0.2', "faults[0].share: a share or a count"),
    ('[[faults]]\nkind = "reload"\nstart = 0.1\nend = 0.2\nbalancer = 7', "faults[0].balancer: there are 2"),
    ("profiles = []", "profiles: at least one is wanted"),
]


@pytest.mark.parametrize(("text", "said"), BAD)
def test_a_bad_day_is_told_in_a_line_that_names_file_and_field(text: str, said: str, tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(text if "line" in text else f'line = "mine"\n{text}')
    code, told = rig("play", str(path), "--out", str(tmp_path / "out"))
    assert code == 2 and len(told.strip().splitlines()) == 1
    assert "mine.toml" in told and said in told


def test_other_bad_input_is_told_in_a_line(tmp_path: Path) -> None:
    out = ["--out", str(tmp_path / "out")]
    settings = tmp_path / "s.toml"
    settings.write_text("[tables]\n")
    for words, said in (
        (["play", "monday", *out], "no day of that name"),
        (["play", "calm", "--decisions", "best", *out], "--decisions: best"),
        (["compare", "calm", "--a", "pat", "--b", "no-such-revision", *out], "no revision"),
        (["compare", "calm", "--a", "pat", "--b", str(settings), *out], "tables: only the tables"),
        (["compare", "calm", "--a", "pat", "--b", str(tmp_path / "none.toml"), *out], "No such file"),
        (["play", "calm", "--out", "/dev/null/x"], "Not a directory"),
    ):
        code, told = rig(*words)
        told = "".join(line for line in told.splitlines(True) if "too few cores" not in line)  # that is the machine's
        assert code == 2 and len(told.strip().splitlines()) == 1 and said in told, told
    assert rig("play", "calm", "--seconds", "soon", *out)[0] == 2


def test_the_balancer_does_not_load_the_rig() -> None:
    ours = ("ternquay.rig", "numpy", "msgspec", "matplotlib", "psutil")
    code = f"import sys, ternquay.cli, ternquay.net.serve\nprint([m for m in sys.modules if m.startswith({ours})])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout == "[]\n"


def test_commands_come_whole_however_they_are_cut_and_what_is_none_is_strange() -> None:
    text = b"mg k1 v Oa1 Pc=clip,d=900\r\nms k2 5 Ob2 Pc=note,d=50,k=m7\r\nhe\r\no\r\nmg k3 v Oc3 Pc=clip,d=1\r\n"
    for cut in (1, 2, 7, 200):
        reader, found = CommandReader(), []
        for at in range(0, len(text), cut):
            found += reader.feed(at, text[at : at + cut])
        assert [(c.id, c.key, c.write, c.mark, c.wait_ms) for c in found] == [
            ("a1", "k1", False, "", 900),
            ("b2", "k2", True, "m7", 50),
            ("c3", "k3", False, "", 1),
        ]
        if cut == 1:
            assert [c.received_at for c in found] == [0, 27, 65]
    for bad in (
        b"get k\r\n",
        b"mg k v Oa\r\n",
        b"mg k v Oa Pc=clip\r\n",
        b"mg k v Oa Pc=clip,d=0\r\n",
        b"ms k x Oa Pc=c,d=1\r\n",
        b"ms k 1 Oa Pc=c,d=1\r\nabc\r\n",
        b"mg k v Oa Ob Pc=c,d=1\r\n",
        b"x" * 5000,
    ):
        with pytest.raises(CommandError):
            CommandReader().feed(0, bad)


def test_figures_of_a_play_are_those_of_its_transactions() -> None:
    day = read_day("calm", QUIET)
    saw = World(day, 3, Right).run()
    result = measure(day, saw, judge(day, saw))
    assert result["txs"] == len({t.number for t in saw.loads[0].tries}) == result["committed"]
    assert result["service"] > 0.99 and not any(result["rules"].values())
    one = next(t for t in saw.loads[0].tries if t.profile == 2)
    asked = sum(day.profiles[t.profile].revenue for t in saw.loads[0].tries)
    one.ended += day.profiles[2].service_goal_ms * MS
    assert measure(day, saw, [])["service"] == pytest.approx(result["service"] - 5.0 / asked, abs=1e-4)


def test_a_play_that_was_late_says_so() -> None:
    day = read_day("calm", QUIET)
    saw = World(day, 3, Right).run()
    assert not measure(day, saw, [])["late"]
    saw.loads[0].late = [MS] * 90 + [60 * MS] * 10
    assert measure(day, saw, [])["late"]


def test_a_difference_is_told_only_where_there_is_one() -> None:
    assert verdict([0.02, 0.03, 0.025, 0.031, 0.019])["told"] == "b is higher"
    assert verdict([-0.02, -0.03, -0.025, -0.031])["told"] == "a is higher"
    assert verdict([0.02, -0.03, 0.025, -0.01, 0.0])["told"] == "no difference to be told"
    assert verdict([0.02, 0.03])["told"] == "no difference to be told"  # too few pairs
    mean, low, high = interval([1.0, 2.0, 3.0])
    assert mean == 2.0 and low <= mean <= high


def test_a_contender_is_a_revision_a_settings_file_or_a_baseline(tmp_path: Path) -> None:
    settings = tmp_path / "few.toml"
    settings.write_text("[settings.Limits]\nMostHops = 1\n")
    assert contender(str(settings), tmp_path).over == {"settings": {"Limits": {"MostHops": 1}}}
    assert contender("random", tmp_path).decisions == "random"
    if (Path(__file__).parents[1] / ".git").exists():
        assert (contender("HEAD", tmp_path).tree / "ternquay" / "balance.py").exists()
    with pytest.raises(DayError):
        contender("--output=x", tmp_path)


# ---- with real processes ----

PLAYS: list[tuple[str, list[str]]] = [
    ("crash-fifth", ["--seconds", "3"]),
    ("garbling", ["--seconds", "3", "--decisions", "bounded-load"]),
    ("planned-restarts", ["--seconds", "4"]),
    ("clock-steps", ["--seconds", "8"]),
    ("system-calls", ["--seconds", "8"]),
]
STRUCK = {"clock-steps": 1, "system-calls": 100}  # calls that failed, and steps that were seen, at least


def played(out: Path, *words: str) -> tuple[int, dict[str, Any]]:
    """A play of a few transactions; one that was late, as on a busy machine, is played again."""
    for _ in range(3):
        code, text = rig("play", *words, "--out", str(out), "--rate", "80", "--hosts", "5")
        if code != 3:
            break
    breaches = (out / "breaches.json").read_text()[:4000] if (out / "breaches.json").exists() else ""
    assert code in (0, 3), f"exit code {code}: {text}{breaches}"
    return code, json.loads((out / "result.json").read_text())


@pytest.mark.parametrize(("day", "words"), PLAYS, ids=lambda x: x if isinstance(x, str) else "")
def test_a_short_day_breaks_no_rule(day: str, words: list[str], tmp_path: Path) -> None:
    """Bounds hold on any machine: what the day asks for is answered, whatever it took."""
    _, result = played(tmp_path / "out", day, *words)
    assert result["rules"] == {"lost": 0, "twice": 0, "drains": 0, "cold": 0, "wrong": 0, "stopped": 0}
    assert result["crashes"] == 0 and result["txs"] > 100
    assert result["committed"] > 0.6 * result["txs"]
    assert sum(result["struck"].values()) >= STRUCK.get(day, 0)
    assert result["txs"] == result["committed"] + result["rolled_back"] + result["abandoned"]
    assert {"service", "latency_ms", "hops_per_tx", "hit_share", "origin", "balancers", "late", "seed"} <= set(result)
    page = (tmp_path / "out" / "report.html").read_text()
    # With the colon, which no picture in base64 can hold: four letters come up in one by chance.
    assert page.count("data:image/png;base64,") == 9 and "http:" not in page and "https:" not in page
    assert json.loads((tmp_path / "out" / "breaches.json").read_text()) == []


# Guards against: in a crowd of half-written values usual clients lose the answers that they wait for.
def test_a_crowd_of_half_written_values_costs_no_answer(tmp_path: Path) -> None:
    _, result = played(tmp_path / "out", "half-written", "--seconds", "6")
    assert result["rules"] == {"lost": 0, "twice": 0, "drains": 0, "cold": 0, "wrong": 0, "stopped": 0}
    assert result["crashes"] == 0 and result["committed"] > 0.6 * result["txs"]
    logs = [(tmp_path / "out" / "logs" / f"balancer-{number}.log").read_text() for number in range(2)]
    assert all("incomplete requests exceed the memory limit" in log and "violation:" not in log for log in logs)


def below(parent: psutil.Process) -> list[psutil.Process]:
    try:
        found: list[psutil.Process] = parent.children(recursive=True)
        return found
    except psutil.Error:
        return []


@pytest.mark.parametrize("victim", ["standins", "load-1", "itself"])
def test_a_process_of_the_rig_that_dies_ends_the_play_and_leaves_none_behind(victim: str, tmp_path: Path) -> None:
    out = tmp_path / "out"
    command = [
        sys.executable,
        "-m",
        "ternquay",
        "rig",
        "play",
        "calm",
        "--seconds",
        "30",
        "--rate",
        "50",
        "--out",
        str(out),
    ]
    play = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, cwd=Path(__file__).parents[1])
    parent, until = psutil.Process(play.pid), time.monotonic() + 30
    while len(children := below(parent)) < 5 and time.monotonic() < until:
        time.sleep(0.05)
    time.sleep(1.0)
    if victim == "itself":
        play.kill()
    else:
        found = next(c for c in children if f"{victim}.json" in " ".join(c.cmdline()))
        os.kill(found.pid, signal.SIGKILL)
    _, errors = play.communicate(timeout=30)
    gone, alive = psutil.wait_procs(children, timeout=10)
    assert not alive and len(gone) == len(children) == 5
    if victim != "itself":
        assert play.returncode == 2 and errors.count("\n") == 1 and f"{victim} ended" in errors


def test_what_was_seen_is_read_as_it_was_written(tmp_path: Path) -> None:
    saw = World(read_day("calm", QUIET | {"seconds": 1.0}), 3, Right).run()
    records.write(tmp_path / "load", saw.loads[0])
    records.write(tmp_path / "fleet", saw.fleet)
    assert records.read_load(tmp_path / "load") == saw.loads[0]
    assert records.read_fleet(tmp_path / "fleet") == saw.fleet


def test_a_port_that_is_taken_meanwhile_is_replaced_by_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[str] = []
    with socket.socket() as taken:
        taken.bind(("127.3.0.1", 0))
        taken.listen()

        def mostly_free(address: str) -> str:
            calls.append(address)
            return "{}:{}".format(*taken.getsockname()) if calls.count("127.3.0.1") == 1 else free_place(address)

        monkeypatch.setattr("ternquay.rig.balancer_process.free_place", mostly_free)
        _, result = played(tmp_path / "out", "calm", "--seconds", "1")
    assert calls.count("127.3.0.1") >= 2 and not any(result["rules"].values()) and result["crashes"] == 0


def test_a_place_that_was_told_to_be_free_is_told_once_and_given_to_nobody_by_the_system() -> None:
    """Else whoever connects, or binds none in particular, may have it before it is listened on."""
    places = [free_place("127.0.0.1") for _ in range(300)]
    assert len(set(places)) == 300
    assert all(int(place.rpartition(":")[2]) < drawn_from() for place in places) or drawn_from() <= 2048


def result_of(service: float, **terms: Any) -> dict[str, Any]:
    return {
        "service": service,
        "worst_2s": service,
        "hit_share": 0.5,
        "hops_per_tx": 1.0,
        "late": False,
        "crashes": 0,
        "origin": {"peak_rate": 100.0, "stopping_rate": 200.0, "stops": 0},
        "rules": {"lost": 0},
        "latency_ms": {"p50": 1.0, "p99": 9.0},
        "service_by_profile": {"clip": service},
        "balancers": [{"cpu_us_per_tx": 300.0}],
    } | terms


def test_a_survey_tells_the_spread_by_day_and_pairs_by_seed() -> None:
    results = {
        Job("calm", seed, name): result_of(0.9 + 0.01 * seed - 0.1 * (name == "random"))
        for seed in range(1, 6)
        for name in ("pat", "random")
    }
    assert by_day(results)[2].startswith("| calm | 0.930 (0.910 to 0.950) | 0.93 (0.91 to 0.95) | 9 (9 to 9) |")
    rows = against(results)
    assert "| calm | random | service | 0.930 | 0.830 | +0.100 [+0.100, +0.100] | pat higher |" in rows
    assert any("hit_share" in row and "no difference to be told" in row for row in rows)
    results[Job("calm", 1, "random")]["late"] = True  # a void play and its pair don't count
    assert "| calm | random | service | 0.935 | 0.835 |" in "\n".join(against(results))
    results = {job: result for job, result in results.items() if job.decisions == "pat"}
    assert against(results) == []


def test_more_lanes_than_cores_are_told_in_a_line(tmp_path: Path) -> None:
    code, text = rig("survey", "calm", "--lanes", "64", "--out", str(tmp_path))
    assert (code, text.count("\n")) == (2, 1) and "--lanes: 64" in text


def test_the_highest_rate_is_found_by_halving_and_twice_of_it_is_tried(monkeypatch: pytest.MonkeyPatch) -> None:
    tried: list[float] = []

    def point(limit: float) -> Any:
        def at(rate: float, *terms: Any) -> dict[str, Any]:
            tried.append(rate)
            return {"rate": rate, "late": rate > 9000, "p99_ms": 20.0 if rate <= limit else 300.0, "committed": 1.0}

        return at

    monkeypatch.setattr(saturating, "point", point(2700.0))
    found = saturating.saturate(1, by_decisions("pat"), Path("."))
    assert (found["highest_rate"], found["twice"]["rate"], found["bound_by_rig"]) == (2500.0, 5000.0, False)
    assert tried == [1000.0, 2000.0, 4000.0, 3000.0, 2500.0, 2750.0, 5000.0]
    monkeypatch.setattr(saturating, "point", point(300.0))
    assert saturating.saturate(1, by_decisions("pat"), Path("."))["highest_rate"] == 250.0
    monkeypatch.setattr(saturating, "point", point(50_000.0))
    assert saturating.saturate(4, by_decisions("pat"), Path("."))["bound_by_rig"]


class Clients:
    """A load process without sockets: one connection, a clock of the test's own."""

    def __init__(self) -> None:
        self.reactor: Any = Clock()
        self.day = read_day("calm", {"clients": {"rate": 0.001}})
        self.load = Load(self.reactor, Plan(self.day, 1, "", balancers=["127.0.0.1:1"]))
        self.load.clock = lambda: int(self.reactor.seconds() * SECOND) + SECOND
        self.load.begin = SECOND
        self.connection = Connection(self.load, 0, 1)
        self.load.all[0].append(self.connection)
        transport: Any = StringTransport()  # type: ignore[no-untyped-call]
        transport.setTcpNoDelay = lambda on: None
        self.connection.makeConnection(transport)  # type: ignore[no-untyped-call]

    def send(self, number: int, profile: int) -> records.Try:
        """One try on that connection, behind all that is owed there."""
        now = self.load.clock() - SECOND
        self.load.resting[0] = [self.connection]
        self.load._try(Arrival(number, now, profile, "k", 10, 0, False), 1, now + SECOND)
        return self.load.tries[-1]


def test_a_client_waits_past_its_limit_for_what_is_before_it_and_for_nothing_else() -> None:
    # Seen as a loss: an answer that had to wait behind another's, while the client closed the connection.
    clients = Clients()
    note, clip = clients.send(1, 3), clients.send(2, 0)
    clients.reactor.pump([0.1] * 15)
    assert clip.answer == "none" and not clients.connection.over
    clients.connection.rawDataReceived(b"HD Ot1.1 ca\r\n")
    clients.reactor.pump([0.01] * 5)
    clients.connection.rawDataReceived(b"VA 3 Ot2.1 h1\r\nabc\r\n")
    assert (note.answer, clip.answer) == ("receipt", "value") and clip.waited > clip.planned + clip.limit
    alone = clients.send(3, 0)
    clients.reactor.pump([0.1] * 12)
    assert alone.answer == "none" and clients.connection.over
