"""Command line interface ``boragetrail``."""

import asyncio
import json
import pathlib
import sys
import urllib.error
import urllib.request

import typer

import boragetrail
from boragetrail.events import events_markdown, start_log
from boragetrail.reasons import reasons_markdown

__all__ = ["app", "main"]

EXIT_BAD_SETTINGS = 2
HTTP_TIMEOUT_S = 5.0

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help=boragetrail.__doc__
)


@app.callback(invoke_without_command=True)
def root(
    version: bool = typer.Option(False, "--version", help="Show the version."),
):
    """Route requests to shared model engines and other backend servers."""
    if version:
        typer.echo(f"boragetrail {boragetrail.__version__}")
        raise typer.Exit()


@app.command()
def router(settings: str = typer.Argument(help="Settings file.")):
    """Run a router."""
    from boragetrail.router.daemon import RouterDaemon

    _run_daemon(settings, "router", RouterDaemon)


@app.command()
def agent(settings: str = typer.Argument(help="Settings file.")):
    """Run the agent beside a backend server."""
    from boragetrail.agent.daemon import AgentDaemon

    _run_daemon(settings, "agent", AgentDaemon)


@app.command()
def direct(settings: str = typer.Argument(help="Settings file.")):
    """Run a router that calls backend servers directly, without agents."""
    from boragetrail.direct.command import run_router

    raise typer.Exit(run_router(settings))


@app.command()
def check(settings: str = typer.Argument(help="Settings file.")):
    """Check a settings file; show each error with its key path."""
    from boragetrail.settings import load_any_settings

    loaded = _loaded_or_exit(settings, load_any_settings(settings))
    typer.echo(f"{settings}: {loaded.role} {loaded.name!r} is valid")


@app.command()
def check_configuration(
    path: str = typer.Argument(metavar="FILE", help="Configuration."),
    in_force: str = typer.Option(
        None, help="File with the configuration in force."
    ),
    dump: str = typer.Option(
        None, help="File with a router's dump, to count servers."
    ),
    as_json: bool = typer.Option(False, "--json", help="Show JSON."),
):
    """Check a configuration; exits with 1 for warnings, 2 for errors."""
    from boragetrail.configurationcheck import (
        exit_code,
        render_json,
        render_text,
    )
    from boragetrail.configurationcheck.command import (
        check_files,
        count_servers,
    )
    from boragetrail.platform.configurationfile import read_document

    counts, findings = count_servers(dump) if dump else ({}, [])
    findings += check_files(path, in_force, read_document, counts)
    name = ascii(path)[1:-1]
    if as_json:
        typer.echo(render_json(name, findings))
    else:
        typer.echo("\n".join(render_text(name, findings)))
    raise typer.Exit(exit_code(findings))


@app.command()
def experiment(
    path: pathlib.Path = typer.Argument(help="Experiment file."),
    folder: pathlib.Path = typer.Option(
        None, help="Folder for results.json and plots."
    ),
):
    """Compare placement policies on an emulated fleet."""
    from boragetrail.emulator import load_experiment, run_experiment
    from boragetrail.emulator.report import plot_results, show_table
    from boragetrail.emulator.report import write_results

    loaded = _loaded_or_exit(path, load_experiment(path))
    results = run_experiment(loaded)
    show_table(loaded, results)
    if folder is None:
        return
    folder.mkdir(parents=True, exist_ok=True)
    write_results(results, folder / "results.json")
    try:
        paths = plot_results(loaded, results, folder)
    except ImportError as exc:
        typer.echo(f"no plots, pip install 'boragetrail[plots]': {exc}")
        return
    for plot in paths:
        typer.echo(str(plot))


@app.command()
def dump(address: str = typer.Argument(help="Administration address.")):
    """Show the state of a router or an agent."""
    typer.echo(_get(f"http://{address}/dump"))


@app.command()
def explain(
    request_id: str,
    address: str = typer.Option(
        None, help="Administration address of a running router."
    ),
    logs: pathlib.Path = typer.Option(
        None, help="Folder with the logs of routers, one file each."
    ),
):
    """Show why a request was sent to its server or refused."""
    if (address is None) == (logs is None):
        raise typer.BadParameter("give one of --address and --logs")
    if address is not None:
        typer.echo(_get(f"http://{address}/explain/{request_id}"))
        return
    from boragetrail.explain import read_logs, select_request

    lines = select_request(read_logs(logs), request_id)
    if not lines:
        typer.echo(f"{logs}: no log line of request {request_id!r}", err=True)
        raise typer.Exit(1)
    for line in lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        typer.echo(
            f"{line.time_s:.3f} {line.router} {line.event} {line.text} "
            f"{fields}"
        )


@app.command()
def failures(
    logs: pathlib.Path = typer.Argument(
        help="Folder with the logs of routers, one file each."
    ),
    from_s: float = typer.Option(
        0.0, help="Skip lines before this Unix time."
    ),
    to_s: float = typer.Option(
        float("inf"), help="Skip lines from this Unix time on."
    ),
    most: int = typer.Option(30, help="Maximum number of rows to show."),
):
    """Count failed requests by reason code, server and router."""
    from boragetrail.explain import count_failures, read_logs

    counts = count_failures(read_logs(logs), from_s, to_s)
    typer.echo(f"{sum(counts.values())} failed requests")
    for (code, server, router), count in counts.most_common(most):
        typer.echo(f"{count:6} {code:16} {server or '-':20} {router}")


@app.command()
def knowledge(
    routers: list[int] = typer.Option(
        [16, 28, 68], help="Number of routers; may be given several times."
    ),
    servers: int = typer.Option(60, help="Number of servers."),
    rate: float = typer.Option(11.0, help="Requests per second and router."),
    duration_s: float = typer.Option(
        0.6, help="Mean duration of a request in seconds."
    ),
):
    """Measure the error of the routers' load view in an emulated fleet."""
    from boragetrail.emulator.knowledge import (
        LoadViewScenario,
        measure_load_view,
    )

    typer.echo("routers  error  total  datagrams/s")
    for count in routers:
        figures = measure_load_view(
            LoadViewScenario(count, servers, rate=rate, duration_s=duration_s)
        )
        typer.echo(
            f"{count:7} {figures.error:6.2f} {figures.total:6.2f} "
            f"{figures.datagrams_per_s:12.0f}"
        )


@app.command()
def events():
    """Show the catalogue of log events."""
    typer.echo(events_markdown(), nl=False)


@app.command()
def reasons():
    """Show the catalogue of reason codes."""
    typer.echo(reasons_markdown(), nl=False)


def main():
    """Run the command line."""
    if sys.argv[1:2] == ["operator"]:
        # The operator commands import large libraries, so they are added only
        # if one of them is run.
        from boragetrail.operators.cli import operator_app

        app.add_typer(operator_app, name="operator")
    app()


def _load_or_exit(path):
    from boragetrail.settings import load_settings

    return _loaded_or_exit(path, load_settings(path))


def _loaded_or_exit(path, result):
    loaded, errors = result
    if loaded is None:
        for error in errors:
            typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return loaded


def _run_daemon(path, role, daemon_class):
    settings = _load_or_exit(path)
    if settings.role != role:
        typer.echo(f"{path}: role: must be {role!r}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    start_log(settings.log_format, settings.log_level)

    async def run():
        await daemon_class(settings).run()

    asyncio.run(run())


def _get(url):
    try:
        with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as response:
            data = json.load(response)
    except urllib.error.HTTPError as exc:
        typer.echo(f"{url}: status {exc.code}", err=True)
        raise typer.Exit(1) from exc
    except OSError as exc:
        typer.echo(f"{url}: {exc}", err=True)
        raise typer.Exit(1) from exc
    return json.dumps(data, indent=2)


if __name__ == "__main__":
    sys.exit(main())
