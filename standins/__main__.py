"""Run one test double as a process."""

import asyncio
import json

import aiohttp.web
import typer

from standins import application, engine, platform
from standins.faults import serve
from standins.proxy import FaultProxy

app = typer.Typer(no_args_is_help=True)


@app.command("platform")
def run_platform(
    kind: str, port: int, lag_s: float = 0.5, weights_per_s: float = 2.0
):
    """Run the table service, object store, list of VMs or weight store."""
    asyncio.run(serve(platform.make_app(kind, lag_s, weights_per_s), port))


@app.command("engine")
def run_engine(name: str, port: int, shape: str = "{}"):
    """Run a model engine; the shape is a JSON object of its profile."""
    profile = engine.EngineProfile(**json.loads(shape))
    asyncio.run(_serve_engine(name, port, profile))


@app.command("application")
def run_application(name: str, port: int):
    """Run an application server."""
    asyncio.run(serve(application.make_app(name), port))


@app.command("proxy")
def run_proxy(port: int, target: int, control: int):
    """Run a fault-injecting proxy."""
    asyncio.run(_serve_proxy(port, target, control))


async def _serve_engine(name, port, profile):
    await serve(engine.make_app(name, profile), port)


async def _serve_proxy(port, target, control):
    proxy = FaultProxy(port, target)
    await proxy.open()
    web = aiohttp.web.Application()
    web.add_routes(proxy.routes())
    await serve(web, control)


if __name__ == "__main__":
    app()
