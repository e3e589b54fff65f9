"""Fixtures: a store, servers and routers in one process on loopback."""

import asyncio
import contextlib
import itertools
import os
import socket

import aiohttp
import pytest

from boragetrail.direct.daemon import DirectDaemon
import boragetrail.platform as platform
from boragetrail.platform.names import HEADER_NAMES
from boragetrail.settings.direct import DirectSettings
from boragetrail.utils.calls import make_session
from standins.httpserver import HttpServer
from standins.rowstore import RowStore

HOST = "chat.example"
KEY = "key-of-customer-1"
WAIT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01


# The ports are below the ephemeral ports, since an outgoing connection could
# get an ephemeral port between the probe and its use.
MIN_PORT = 10000
PORT_COUNT = 20000
_next_port = itertools.count(os.getpid() * 131 % PORT_COUNT)


def free_port():
    """Return a port that no process listens on."""
    for number in _next_port:
        port = MIN_PORT + number % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def route(name, kind, service="apps", **fields):
    """Return a route in the operators' format."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 2000,
        "goalMs": 200,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def service(name, **fields):
    """Return a service in the operators' format."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 64,
        "coldPerS": 0.0,
        **fields,
    }


def configuration(version=1, **fields):
    """Return a configuration in the operators' format."""
    return {
        "version": version,
        "routes": [
            route("status", "idempotent"),
            route("order", "non_idempotent", maxAttempts=1),
            route("stream", "streaming", maxAttempts=1),
            route("resume", "streaming", resumable=True),
            route("open", "idempotent", public=True),
        ],
        "services": [service("apps")],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 100000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "customer-1", "apiKeys": [KEY]}],
        **fields,
    }


async def connect(daemon):
    """Open a raw connection to a router."""
    host, _, port = daemon.settings.callers.partition(":")
    return await asyncio.open_connection(host, int(port))


def router_settings(name, host, gossip, store, **fields):
    """Return the settings of a router, with unused ports.

    :param gossip: address of both the gossip and the relay port
    :param store: address of the store
    :param fields: settings that replace the defaults
    """
    return {
        "role": "direct",
        "name": name,
        "zone": "z1",
        "listen": {
            "callers": f"{host}:{free_port()}",
            "health": f"{host}:{free_port()}",
            "gossip": gossip,
            "relay": gossip,
        },
        "store": store,
        "bounds": {
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_extra": 50,
            "cold_factor": 1.5,
            "cold_margin": 5,
        },
        "grace_s": 8.0,
        **fields,
    }


class Cluster:
    """Own the store, servers and routers of one test."""

    def __init__(self):
        self.store = RowStore()
        self.servers = []
        self.daemons = []
        self.session = None
        self.request_count = 0
        self.gossip_port = free_port()

    async def open(self, servers=2):
        """Start the store with configuration version 1, and servers.

        :param servers: number of servers
        """
        await self.store.open()
        self.session = aiohttp.ClientSession()
        self.store.put("op", "config", configuration())
        for _ in range(servers):
            await self.add_server()

    async def add_server(self, **fields):
        """Start a server and list it in the store.

        :param fields: fields of the entry that replace the defaults
        :returns: the server
        """
        server = HttpServer()
        await server.open()
        server.id = f"i-{len(self.servers)}"
        server.version = fields.get("version", server.version)
        self.servers.append(server)
        self.store.put("servers", server.id, server.entry("apps", **fields))
        return server

    async def remove_server(self):
        """Stop the last server and remove its entry from the store."""
        removed = self.servers.pop()
        self.unlist_server(removed)
        await removed.close()

    def list_server(self, server, cold_s=0.0):
        """List a server that stays cold for some seconds."""
        entry = server.entry("apps", coldLeftMs=round(1000 * cold_s))
        self.store.put("servers", server.id, entry)

    def unlist_server(self, server):
        """Remove a server's entry from the store."""
        self.store.remove("servers", server.id)

    def take_zone_out(self, zone):
        """Take a zone out of service."""
        self.store.put("op", f"evacuate/{zone}", {})

    def put_zone_back(self, zone):
        """Put a zone back into service."""
        self.store.remove("op", f"evacuate/{zone}")

    async def add_router(self, grace_s=8.0, **fields):
        """Start a router and wait until it is ready.

        :param fields: settings that replace the defaults
        """
        daemon = self.make_router(grace_s, **fields)
        await daemon.open()
        await self.until(daemon.is_ready)
        count = len(self.servers)
        await self.until(lambda: len(daemon.directory.servers_by_id) == count)
        return daemon

    def make_router(self, grace_s=8.0, store=None, **fields):
        """Return a router with an address of its own, not yet started.

        :param store: address of the store, if it is reached through a proxy
        :param fields: settings that replace the defaults
        """
        host = f"127.0.0.{len(self.daemons) + 1}"
        address = f"{host}:{self.gossip_port}"
        data = router_settings(
            f"router-{len(self.daemons)}",
            host,
            address,
            store or self.store.address,
            seeds=[daemon.settings.gossip for daemon in self.daemons],
            grace_s=grace_s,
            **fields,
        )
        settings = DirectSettings(data)
        daemon = DirectDaemon(settings, platform, lambda: (settings, []))
        self.daemons.append(daemon)
        return daemon

    async def close(self):
        """Close routers, servers and store."""
        for daemon in self.daemons:
            if daemon.session is not None and not daemon.session.closed:
                await daemon.close()
        for server in self.servers:
            await server.close()
        await self.session.close()
        await self.store.close()

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    def fields(self, **fields):
        """Return the header fields of a request, with a new request id."""
        self.request_count += 1
        return {
            "Host": HOST,
            HEADER_NAMES.request_id: f"a{self.request_count:07d}",
            HEADER_NAMES.deadline_ms: "2000",
            HEADER_NAMES.key: KEY,
            **fields,
        }

    @contextlib.asynccontextmanager
    async def request(self, daemon, path, method="POST", **options):
        """Send a request to a router; yields the open response."""
        headers = self.fields(**options.pop("headers", {}))
        url = f"http://{daemon.settings.callers}{path}"
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            yield response

    async def call(self, daemon, path, **options):
        """Send a request; returns (status, headers, body)."""
        async with self.request(daemon, path, **options) as response:
            return response.status, response.headers, await response.read()


@pytest.fixture
async def server():
    """A server that no store lists."""
    made = HttpServer()
    await made.open()
    yield made
    await made.close()


@pytest.fixture
async def session():
    """The session of a router's calls."""
    async with make_session() as made:
        yield made


@pytest.fixture
async def cluster():
    """A cluster with two servers and no router."""
    made = Cluster()
    await made.open()
    yield made
    await made.close()
