"""The command line."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from ternquay import VERSION
from ternquay.net.__main__ import serve as serve_alone
from ternquay.net.config import ConfigError, read_config

app = typer.Typer(add_completion=False, no_args_is_help=True, help="A balancer before cache hosts.")
File = Annotated[str, typer.Option("--config", help="The configuration; else what EDGE_CONFIG names.")]


@contextmanager
def told_in_a_line() -> Iterator[None]:
    """A fault of the configuration ends the command with one line and a status, not with a trace."""
    try:
        yield
    except ConfigError as fault:
        typer.echo(f"ternquay: {fault}", err=True)
        raise typer.Exit(2) from fault


@app.command()
def serve(config: File = "") -> None:
    """Serve until SIGTERM."""
    why = serve_alone(config)
    if why:
        typer.echo(f"ternquay: {why}", err=True)
        raise typer.Exit(2)


@contextmanager
def service_in_a_line() -> Iterator[None]:
    """The same for the file of a hosted service, with what that wants to be installed."""
    try:
        yield
    except ImportError as fault:
        typer.echo(f"ternquay: {fault.name} is not installed; a hosted service wants requirements-hosted.txt", err=True)
        raise typer.Exit(2) from fault
    except ValueError as fault:
        typer.echo(f"ternquay: {fault}", err=True)
        raise typer.Exit(2) from fault


@app.command()
def host(config: Annotated[str, typer.Option("--config", help="The service's file.")] = "deploy/service.toml") -> None:
    """Serve many tenants until SIGTERM (docs/hosted-use.md)."""
    with service_in_a_line():
        from ternquay.hosted.host import run  # `serve` must not load any of it
        from ternquay.hosted.service import read_service

        run(read_service(Path(config)))


@app.command()
def check(config: File = "") -> None:
    """Read a configuration, or the .toml file of a hosted service, and say what it holds, without listening."""
    if config.endswith(".toml"):
        with service_in_a_line():
            from ternquay.hosted.service import read_service

            service = read_service(Path(config))
        typer.echo(
            f"{service.name}: {len(service.registry.tenants)} tenants, "
            f"{'a store' if service.store else 'no store'}, "
            f"{'an API' if service.api else 'no API'}, {service.process.sockets} sockets"
        )
        return
    with told_in_a_line():
        loaded = read_config(config)
    typer.echo(
        f"{loaded.name}: listens on {loaded.listen}, "
        f"{len(loaded.initial_list['members'])} cache hosts, {len(loaded.settings.profiles)} profiles, "
        f"{loaded.limits.sockets} sockets"
    )


@app.command("rig", add_help_option=False, context_settings={"allow_extra_args": True, "ignore_unknown_options": True})
def rig(context: typer.Context) -> None:
    """The project's own fleet on loopback: days, faults, a judge of the rules, experiments."""
    try:
        from ternquay.rig.commands import app as commands  # `serve` must not load any of it
    except ImportError as fault:
        typer.echo(f"ternquay rig: {fault.name} is not installed; the rig wants requirements-dev.txt", err=True)
        raise typer.Exit(2) from fault
    commands(args=context.args, prog_name="ternquay rig")


@app.command(
    "admin", add_help_option=False, context_settings={"allow_extra_args": True, "ignore_unknown_options": True}
)
def admin(context: typer.Context) -> None:
    """The administration API of a hosted service."""
    with service_in_a_line():
        from ternquay.hosted.administration.admin import app as commands
    commands(args=context.args, prog_name="ternquay admin")


@app.command("version")
def tell_version() -> None:
    """Print the version."""
    typer.echo(VERSION)
