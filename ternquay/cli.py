"""The command line of ternquay."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from ternquay import VERSION
from ternquay.net.__main__ import serve as serve_alone
from ternquay.net.config import ConfigError, read_config

app = typer.Typer(add_completion=False, no_args_is_help=True, help="A balancer in front of cache hosts.")
File = Annotated[
    str, typer.Option("--config", help="The configuration file; by default the one that EDGE_CONFIG names.")
]


@contextmanager
def one_line_config_errors() -> Iterator[None]:
    """Reports an error of the configuration in one line with exit status 2, without a traceback."""
    try:
        yield
    except ConfigError as fault:
        typer.echo(f"ternquay: {fault}", err=True)
        raise typer.Exit(2) from fault


@app.command()
def serve(config: File = "") -> None:
    """Serve until SIGTERM."""
    error = serve_alone(config)
    if error:
        typer.echo(f"ternquay: {error}", err=True)
        raise typer.Exit(2)


@contextmanager
def one_line_service_errors() -> Iterator[None]:
    """Does the same for the file of a hosted service and for packages that are not installed."""
    try:
        yield
    except ImportError as fault:
        typer.echo(
            f"ternquay: {fault.name} is not installed; a hosted service requires requirements-hosted.txt", err=True
        )
        raise typer.Exit(2) from fault
    except ValueError as fault:
        typer.echo(f"ternquay: {fault}", err=True)
        raise typer.Exit(2) from fault


@app.command()
def host(
    config: Annotated[
        str, typer.Option("--config", help="The configuration file of the service.")
    ] = "deploy/service.toml",
) -> None:
    """Serve many tenants until SIGTERM (docs/hosted-use.md)."""
    with one_line_service_errors():
        from ternquay.hosted.host import run  # imported here so that `serve` does not load it
        from ternquay.hosted.service import read_service

        run(read_service(Path(config)))


@app.command()
def check(config: File = "") -> None:
    """Check a configuration file, or the .toml file of a hosted service, and print a summary without listening."""
    if config.endswith(".toml"):
        with one_line_service_errors():
            from ternquay.hosted.service import read_service

            service = read_service(Path(config))
        typer.echo(
            f"{service.name}: {len(service.registry.tenants)} tenants, "
            f"{'a store' if service.store else 'no store'}, "
            f"{'an API' if service.api else 'no API'}, {service.process.sockets} sockets"
        )
        return
    with one_line_config_errors():
        loaded = read_config(config)
    typer.echo(
        f"{loaded.name}: listens on {loaded.listen}, "
        f"{len(loaded.initial_list['members'])} cache hosts, {len(loaded.settings.profiles)} profiles, "
        f"{loaded.limits.sockets} sockets"
    )


@app.command("rig", add_help_option=False, context_settings={"allow_extra_args": True, "ignore_unknown_options": True})
def rig(context: typer.Context) -> None:
    """Run the test rig: a fleet on loopback with planned days, faults, a judge of the rules and experiments."""
    try:
        from ternquay.rig.commands import app as commands  # imported here so that `serve` does not load it
    except ImportError as fault:
        typer.echo(f"ternquay rig: {fault.name} is not installed; the rig requires requirements-dev.txt", err=True)
        raise typer.Exit(2) from fault
    commands(args=context.args, prog_name="ternquay rig")


@app.command(
    "admin", add_help_option=False, context_settings={"allow_extra_args": True, "ignore_unknown_options": True}
)
def admin(context: typer.Context) -> None:
    """Call the administration API of a hosted service."""
    with one_line_service_errors():
        from ternquay.hosted.administration.admin import app as commands
    commands(args=context.args, prog_name="ternquay admin")


@app.command("version")
def print_version() -> None:
    """Print the version."""
    typer.echo(VERSION)
