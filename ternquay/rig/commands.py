"""`ternquay rig ...`: days, plays, comparisons. The balancer's own command line loads this when it is asked for."""

import json
import shutil
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any, get_args

import typer

from ternquay.rig.compare import compare, table
from ternquay.rig.contender import by_decisions, contender
from ternquay.rig.judge import judge
from ternquay.rig.measure import measure
from ternquay.rig.play import play
from ternquay.rig.processes import PlayError, share_cores
from ternquay.rig.results import write_result
from ternquay.rig.saturate import saturate
from ternquay.rig.survey import Job, against, by_day, survey
from ternquay.rig.terms import Day, DayError, FloodShape, day_names, read_day, with_flood

BROKEN, UNPLAYED, LATE = 1, 2, 3
FLOODS = get_args(FloodShape)

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="The project's own fleet on loopback: days, faults, a judge, experiments.",
)
Out = Annotated[Path, typer.Option("--out", help="Where results go.")]
Seed = Annotated[int, typer.Option("--seed", min=0)]
Seconds = Annotated[float | None, typer.Option("--seconds", min=1.0, max=3600.0, help="Instead of the day's.")]
Balancers = Annotated[int | None, typer.Option("--balancers", min=1, max=16)]
Hosts = Annotated[int | None, typer.Option("--hosts", min=1, max=200)]
Rate = Annotated[float | None, typer.Option("--rate", min=1.0, max=50_000.0, help="Transactions a second.")]
Loads = Annotated[int, typer.Option("--loads", min=1, max=8, help="Load processes.")]
Shards = Annotated[int, typer.Option("--shards", min=1, max=8, help="Processes of cache hosts.")]
DayName = Annotated[str, typer.Argument(help="A day's name, or a TOML file.")]


@contextmanager
def told_in_a_line() -> Iterator[None]:
    try:
        yield
    except (DayError, PlayError, OSError) as fault:
        typer.echo(f"ternquay rig: {' '.join(str(fault).split())}", err=True)
        raise typer.Exit(UNPLAYED) from fault


def show(text: str) -> None:
    """Progress, on a terminal only."""
    if sys.stderr.isatty():
        print(f"\r\033[K{text}", end="", file=sys.stderr, flush=True)


def day_with(name: str, seconds: float | None, balancers: int | None, hosts: int | None, rate: float | None) -> Day:
    over: dict[str, Any] = {}
    for table_name, field, value in (
        ("", "seconds", seconds),
        ("balancers", "count", balancers),
        ("hosts", "count", hosts),
        ("clients", "rate", rate),
    ):
        if value is not None:
            (over.setdefault(table_name, {}) if table_name else over)[field] = value
    return read_day(name, over)


def warn_of_cores(balancers: int, loads: int, shards: int = 1) -> None:
    if share_cores(balancers, loads, shards).shared:
        typer.echo("ternquay rig: too few cores to set one apart for each part; times are not to be trusted", err=True)


@app.command()
def days() -> None:
    """Names of the days and one line on each."""
    with told_in_a_line():
        for name in day_names():
            typer.echo(f"{name:18} {read_day(name).line}")


def plain_days() -> list[str]:
    """All days but those with tenants, of which other figures are told."""
    return [name for name in day_names() if not read_day(name).tenants]


def exit_code(result: dict[str, Any]) -> int:
    if any(result["rules"].values()) or result["crashes"]:
        return BROKEN
    return LATE if result["late"] else 0


@app.command("play")
def play_day(
    day: DayName,
    out: Out,
    seed: Seed = 1,
    seconds: Seconds = None,
    balancers: Balancers = None,
    hosts: Hosts = None,
    rate: Rate = None,
    loads: Loads = 2,
    decisions: Annotated[str, typer.Option("--decisions", help="pat, or a baseline's name.")] = "pat",
    report: Annotated[bool, typer.Option("--report/--no-report", help="Draw report.html.")] = True,
    flood: Annotated[str, typer.Option(help="Of a day with tenants: another shape, or none.")] = "",
) -> None:
    """Play one day. Exit 0: no rule was broken; 1: one was; 2: it could not be played; 3: the rig was late."""
    with told_in_a_line():
        world = day_with(day, seconds, balancers, hosts, rate)
        if world.agreement.a_second:
            return play_fleet(world, seed, out)
        if world.tenants:
            return play_hosted(world, seed, out, flood)
        one = by_decisions(decisions)
        warn_of_cores(world.balancers.count, loads)
        saw = play(world, seed, one, out, loads, lambda at: show(f"{world.name} {at:.0f} of {world.seconds:.0f} s"))
        breaches = judge(world, saw)
        result = measure(world, saw, breaches)
        result["cores_shared"] = share_cores(world.balancers.count, loads).shared
        write_result(out, result, breaches)
        if report:
            from ternquay.rig.report import write_report  # plots take their time to load

            write_report(out, world, saw, result, breaches)
    show("")
    typer.echo(
        f"{world.name}: service {result['service']:.3f}, p99 {result['latency_ms']['p99']} ms, "
        f"{result['txs']} txs, rules {result['rules']}" + (", late: void" if result["late"] else "")
    )
    for breach in breaches[:5]:
        typer.echo(f"  {breach.rule}: {breach.what}")
    raise typer.Exit(exit_code(result))


def play_hosted(day: Day, seed: int, out: Path, flood: str) -> None:
    from ternquay.rig.tenants import play_tenants  # with what a hosted service wants

    if flood:
        day = flooded(day, flood)
    result, breaches = play_tenants(day, seed, out, lambda at: show(f"{day.name} {at:.0f} of {day.seconds:.0f} s"))
    write_result(out, result, breaches)
    show("")
    typer.echo(
        f"{day.name}: service {result['service']:.3f}, rules {result['rules']}"
        + (", late: void" if result["late"] else "")
    )
    for name, one in result["tenants"].items():
        typer.echo(f"  {name:12} service {one['service']:.3f}  p99 {one['p99_ms']} ms  {one['txs']} txs")
    for part in ("flood", "changes"):
        if part in result:
            typer.echo(f"  {part}: {result[part]}")
    for breach in breaches[:5]:
        typer.echo(f"  {breach.rule}: {breach.what}")
    raise typer.Exit(exit_code(result))


def play_fleet(day: Day, seed: int, out: Path) -> None:
    from ternquay.rig.agree import play_agreement  # with what a hosted service wants

    result, breaches = play_agreement(day, seed, out, lambda at: show(f"{day.name} {at:.0f} of {day.seconds:.0f} s"))
    write_result(out, result, breaches)
    show("")
    typer.echo(
        f"{day.name}: {result['agreement']}, rules {result['rules']}" + (", late: void" if result["late"] else "")
    )
    for name, one in result["tenants"].items():
        typer.echo(f"  {name:12} service {one['service']:.3f}  by member {one['service_by_member']}  {one['txs']} txs")
    for breach in breaches[:5]:
        typer.echo(f"  {breach.rule}: {breach.what}")
    agreed = result["agreement"]
    raise typer.Exit(BROKEN if agreed["unknown"] or agreed["lost"] else exit_code(result))


def flooded(day: Day, shape: str) -> Day:
    """The day with another shape of its flood; raises DayError if there is none of that name."""
    if shape not in FLOODS:
        raise DayError(f"--flood: {shape}: there are {', '.join(FLOODS)}")
    return with_flood(day, shape)


@app.command("compare")
def compare_day(
    day: DayName,
    a: Annotated[str, typer.Option("--a")],
    b: Annotated[str, typer.Option("--b")],
    out: Out,
    repeat: Annotated[int, typer.Option("--repeat", min=1, max=100)] = 5,
    seed: Seed = 1,
    seconds: Seconds = None,
    balancers: Balancers = None,
    hosts: Hosts = None,
    rate: Rate = None,
    loads: Loads = 2,
) -> None:
    """Play two contenders, each a revision, a settings file, `now` or a baseline's name, paired by seed."""
    scratch = Path(tempfile.mkdtemp(prefix="ternquay-rig-"))
    try:
        with told_in_a_line():
            world = day_with(day, seconds, balancers, hosts, rate)
            warn_of_cores(world.balancers.count, loads)
            found = compare(
                world, contender(a, scratch), contender(b, scratch), list(range(seed, seed + repeat)), out, loads, show
            )
            out.mkdir(parents=True, exist_ok=True)
            (out / "compare.json").write_text(json.dumps(found, indent=1) + "\n")
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    show("")
    for line in table(found):
        typer.echo(line)
    raise typer.Exit(0 if found["pairs"] else LATE)


@app.command("survey")
def survey_days(
    out: Out,
    names: Annotated[list[str] | None, typer.Argument(help="Days; all if none is named.")] = None,
    seeds: Annotated[int, typer.Option("--seeds", min=1, max=100)] = 5,
    decisions: Annotated[str, typer.Option("--decisions", help="Names, with commas between.")] = "pat",
    lanes: Annotated[int, typer.Option("--lanes", min=1, max=64, help="Plays side by side.")] = 1,
    seconds: Seconds = None,
) -> None:
    """Many days and seeds: a table by day, and the product against baselines with intervals."""
    with told_in_a_line():
        chosen = [by_decisions(name).name for name in decisions.split(",")]
        worlds = [day_with(name, seconds, None, None, None).name for name in names or plain_days()]
        jobs = [Job(day, seed, name) for day in worlds for seed in range(1, seeds + 1) for name in chosen]
        extra = ["--seconds", str(seconds)] if seconds is not None else []
        results = survey(jobs, out, lanes, extra, show)
        lines = by_day(results) + against(results)
        (out / "survey.md").write_text("\n".join(lines) + "\n")
    show("")
    typer.echo("\n".join(lines))
    broken = any(exit_code(r) == BROKEN for job, r in results.items() if job.decisions == "pat")
    raise typer.Exit(BROKEN if broken else 0)


@app.command("neighbours")
def measure_neighbours(
    out: Out,
    day: Annotated[str, typer.Option("--day")] = "tenants",
    shapes: Annotated[str, typer.Option("--shapes", help="With commas between.")] = ",".join(FLOODS[1:]),
    seeds: Annotated[int, typer.Option("--seeds", min=1, max=100)] = 5,
    seconds: Seconds = None,
) -> None:
    """What a flood of one tenant, in each shape, does to the others: paired plays with intervals."""
    with told_in_a_line():
        from ternquay.rig.neighbours import lines, neighbours

        world = day_with(day, seconds, None, None, None)
        chosen = shapes.split(",")
        for shape in chosen:
            flooded(world, shape)
        found = neighbours(world, chosen, list(range(1, seeds + 1)), out, show)
        out.mkdir(parents=True, exist_ok=True)
        (out / "neighbours.json").write_text(json.dumps(found, indent=1) + "\n")
    show("")
    typer.echo("\n".join(lines(found)))
    raise typer.Exit(BROKEN if found["breaches"] or found["crashes"] else 0)


@app.command("size")
def measure_size(
    out: Out,
    tenants: Annotated[int, typer.Option("--tenants", min=21, max=200)] = 200,
    active: Annotated[int, typer.Option("--active", min=2, max=100)] = 20,
    rounds: Annotated[int, typer.Option("--rounds", min=1, max=20)] = 2,
    seconds: Seconds = 10.0,
) -> None:
    """What many tenants cost: changes and starts, memory of idle ones, CPU a transaction."""
    with told_in_a_line():
        from ternquay.rig.size import size

        found = size(out, tenants, active, seconds or 10.0, rounds, show)
        (out / "size.json").write_text(json.dumps(found, indent=1) + "\n")
    show("")
    typer.echo(json.dumps(found, indent=1))


@app.command("saturate")
def saturate_rate(
    out: Out,
    balancers: Annotated[int, typer.Option("--balancers", min=1, max=8)] = 1,
    loads: Loads = 2,
    shards: Shards = 2,
    decisions: Annotated[str, typer.Option("--decisions")] = "pat",
) -> None:
    """The highest rate at which p99 stays within the service goal, and what twice that does."""
    with told_in_a_line():
        warn_of_cores(balancers, loads, shards)
        found = saturate(balancers, by_decisions(decisions), out, loads, shards, show)
        out.mkdir(parents=True, exist_ok=True)
        (out / "saturate.json").write_text(json.dumps(found, indent=1) + "\n")
    show("")
    for point in found["points"]:
        typer.echo(
            f"{point['rate']:8.0f} tx/s  p99 {point['p99_ms']:8.2f} ms  committed {point['committed']:.3f}  "
            f"rolled back {point['rolled_back']:.3f}  abandoned {point['abandoned']:.3f}  "
            f"CPU {point['cpu_us_per_tx']:6.1f} us/tx{'  late' if point['late'] else ''}"
        )
    typer.echo(f"highest: {found['highest_rate']:.0f} tx/s" + (" (bound by the rig)" if found["bound_by_rig"] else ""))


@app.command("soak")
def soak_seeds(
    out: Out,
    seed: Seed = 1,
    seeds: Annotated[int, typer.Option("--seeds", min=1, max=1000)] = 5,
    seconds: Annotated[float, typer.Option("--seconds", min=10.0, max=600.0)] = 20.0,
    balancers: Annotated[int, typer.Option("--balancers", min=1, max=64)] = 24,
    faults: Annotated[int, typer.Option("--faults", min=0, max=200)] = 30,
    build: Annotated[str, typer.Option("--build", help="A revision, or `now`.")] = "now",
) -> None:
    """Random faults that overlap, over many processes, a day of its own for each seed."""
    from ternquay.rig.soak import SoakTerms, soak, summary

    scratch = Path(tempfile.mkdtemp(prefix="ternquay-rig-"))
    try:
        with told_in_a_line():
            terms = SoakTerms(seconds=seconds, balancers=balancers, faults=faults)
            found = soak(
                read_day("calm"),
                range(seed, seed + seeds),
                terms,
                contender(build, scratch),
                out,
                lambda result: typer.echo(result.line()),
            )
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    typer.echo(summary(found))
    raise typer.Exit(BROKEN if any(result.broken() for result in found) else 0)


@app.command()
def fleet(
    day: DayName = "calm",
    seed: Seed = 1,
    hosts: Hosts = None,
    config: Annotated[Path, typer.Option("--config", help="Where a balancer's configuration goes.")] = Path(
        "fleet.json"
    ),
    listen: Annotated[str, typer.Option("--listen", help="What it says of the balancer.")] = "127.0.0.1:11211",
) -> None:
    """Only the stand-ins, until Ctrl-C, and a configuration for a balancer before them."""
    from ternquay.rig.byhand import run

    with told_in_a_line():
        run(day_with(day, None, 1, hosts, None), seed, config, listen)
