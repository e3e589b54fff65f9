"""Processes of a deployment on loopback for demonstrations and tests."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

import aiohttp

from boragetrail.operators.client import operator_stub
from boragetrail.operators.conversion import value_to_entity
from boragetrail.operators import operator_pb2 as pb
from tools.deployments import customer_key

__all__ = ["Fleet", "free_port"]

TOKEN = "operator-token"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_used_ports = set()


def free_port():
    """Return a free loopback port, a different one at each call."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class ManagedProcess:
    """Hold a process of the fleet or of a test double.

    :ivar ports: port of each listener by name
    :ivar vm: entry in the list of VMs; ``None`` for a test double
    """

    def __init__(self, name, argv, ports, log):
        self.name = name
        self.argv = argv
        self.ports = ports
        self.log = log
        self.process = None
        self.vm = None

    def start(self):
        """Start the process."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.argv, stdout=log, stderr=log, cwd=os.getcwd()
            )

    def signal(self, number):
        """Send a signal to the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Wait until the process has ended; return the exit code."""
        return self.process.wait(timeout)

    def address(self, name):
        """Return ``ip:port`` of a listener."""
        return f"127.0.0.1:{self.ports[name]}"

    def url(self, name):
        """Return the base URL of a listener."""
        return f"http://{self.address(name)}"


class Fleet:
    """Hold the processes of a deployment, its platform and its proxies.

    :param deployment: :class:`tools.deployments.Deployment`
    :param proxied: whether routers reach agents through fault proxies
    :param folder: folder for settings and logs; a new one by default
    :param share_backend: whether all agents use the same backend server
    """

    def __init__(
        self, deployment, proxied=False, folder=None, share_backend=False
    ):
        self.deployment = deployment
        self.proxied = proxied
        self.share_backend = share_backend
        self.ready_timeout_s = READY_TIMEOUT_S
        self.is_zone_out = False
        folder = folder or tempfile.mkdtemp(prefix="boragetrail-")
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.nodes_by_name = {}
        self.control_ports_by_server = {}
        self.session = None

    async def start(self):
        """Start all processes and wait until every router is ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        for kind in ("table", "objects", "vms", "weights"):
            self._start_standin(kind, ["platform", kind])
        for router in self.deployment.routers:
            self._start_router(router)
        for server in self.deployment.servers:
            self._start_server(server)
        await self._wait_platform()
        await self._register_vms([node.vm for node in self._fleet_nodes()])
        await self._wait_http(self.deployment.routers[0].name)
        await self.configure(self.deployment.entities())
        await self.wait_ready()

    async def stop(self):
        """Stop all processes; return the exit codes of the fleet by name."""
        codes = {}
        for node in self._fleet_nodes():
            node.signal(signal.SIGTERM)
        for node in self._fleet_nodes():
            try:
                codes[node.name] = node.wait()
            except subprocess.TimeoutExpired:
                node.process.kill()
                codes[node.name] = node.wait()
        for node in self.nodes_by_name.values():
            if node.process.poll() is None:
                node.process.kill()
                node.wait()
        await self.session.close()
        return codes

    def router(self, index):
        """Return the process of a router."""
        return self.nodes_by_name[self.deployment.routers[index].name]

    def key_of(self, customer):
        """Return a customer's API key."""
        return customer_key(customer)

    async def configure(self, entities):
        """Commit entities one after another through the first router."""
        loop = asyncio.get_running_loop()
        for kind, name, value in entities:
            request = pb.ChangeRequest(
                change_id=str(uuid.uuid4()),
                author="fleet",
                expected_version=1 << 40,
                entity=value_to_entity(kind, name, value),
            )
            reply = await loop.run_in_executor(None, self._commit, request)
            if reply.problem:
                raise RuntimeError(f"{kind} {name}: {reply.detail}")

    async def set_zone(self, zone, out, router=0):
        """Take a zone out or in through a router."""
        request = pb.ZoneRequest(
            zone=zone, out=out, change_id=str(uuid.uuid4()), author="fleet"
        )
        stub = self.stub(router)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, stub.SetZone, request)

    def stub(self, router=0):
        """Return the operator stub of a router."""
        return operator_stub(self.router(router).address("operators"), TOKEN)

    async def set_faults(self, name, **faults):
        """Set faults of a test double."""
        url = f"{self.nodes_by_name[name].url('main')}/fault"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def control_proxy(self, server, **control):
        """Set faults of the proxy of a server's agent."""
        url = f"http://127.0.0.1:{self.control_ports_by_server[server]}/proxy"
        async with self.session.post(url, json=control) as response:
            response.raise_for_status()

    async def get_json(self, url):
        """Return a JSON document."""
        async with self.session.get(url) as response:
            return await response.json()

    async def dump(self, name):
        """Return the state dump of a process of the fleet."""
        return await self.get_json(
            f"{self.nodes_by_name[name].url('admin')}/dump"
        )

    async def wait_ready(self, names=None):
        """Wait until processes are ready and routers know all servers."""
        names = names or [node.name for node in self._fleet_nodes()]
        for name in names:
            url = f"{self.nodes_by_name[name].url('admin')}/health/ready"
            await self._wait_for(url, name)
        for router in self.deployment.routers:
            await self._wait_servers(router.name)

    async def restart(self, name):
        """Start a process again that has ended."""
        self.nodes_by_name[name].start()
        await self._wait_http(name)

    async def set_vm_state(self, name, state):
        """Change the state of a VM in the platform's list."""
        vm = {**self.nodes_by_name[name].vm, "state": state}
        await self._register_vms([vm])

    def _fleet_nodes(self):
        return [
            node for node in self.nodes_by_name.values() if node.vm is not None
        ]

    def _commit(self, request):
        return self.stub().ChangeEntity(request, timeout=10)

    def _start_standin(self, name, arguments, extra=()):
        port = free_port()
        argv = [sys.executable, "-m", "standins", *arguments, str(port)]
        argv += extra
        node = ManagedProcess(
            name, argv, {"main": port}, self.folder / f"{name}.log"
        )
        self.nodes_by_name[name] = node
        node.start()
        return node

    def _platform_urls(self):
        kinds = ("table", "objects", "vms", "weights")
        return {kind: self.nodes_by_name[kind].url("main") for kind in kinds}

    def _start_router(self, router):
        names = ("callers", "operators", "admin", "gossip")
        ports = {name: free_port() for name in names}
        settings = {
            "role": "router",
            "name": router.name,
            "zone": router.zone,
            "operator_token": TOKEN,
            "drain": {"balancer_lag_s": 0.5, "limit_s": 30},
            **router.settings,
        }
        self._start_daemon(router.name, "router", settings, ports, "")

    def _start_server(self, server):
        backend = f"{server.name}-backend"
        if self.share_backend:
            backend = f"{self.deployment.servers[0].name}-backend"
        if backend in self.nodes_by_name:
            node = self.nodes_by_name[backend]
        elif server.kind == "model":
            arguments = ["--shape", json.dumps(server.profile)]
            node = self._start_standin(
                backend, ["engine", server.name], arguments
            )
        else:
            node = self._start_standin(backend, ["application", server.name])
        ports = {n: free_port() for n in ("link", "admin", "gossip")}
        settings = {
            "role": "agent",
            "name": server.name,
            "zone": server.zone,
            "service": server.service,
            "backend": node.url("main"),
            "drain": {"limit_s": 15},
        }
        self._start_daemon(
            server.name, "agent", settings, ports, server.service
        )
        if self.proxied:
            self._start_proxy(server.name)

    def _start_proxy(self, name):
        node = self.nodes_by_name[name]
        port, control = free_port(), free_port()
        target = str(node.ports["link"])
        argv = [sys.executable, "-m", "standins", "proxy"]
        argv += [str(port), target, str(control)]
        log = self.folder / f"{name}-proxy.log"
        proxy = ManagedProcess(f"{name}-proxy", argv, {"main": port}, log)
        self.nodes_by_name[proxy.name] = proxy
        self.control_ports_by_server[name] = control
        proxy.start()
        node.vm["link"] = f"127.0.0.1:{port}"

    def _start_daemon(self, name, role, settings, ports, service):
        settings["platform"] = self._platform_urls()
        settings["listen"] = {
            listener: f"127.0.0.1:{port}" for listener, port in ports.items()
        }
        settings["log"] = {"format": "text", "level": "INFO"}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        argv = [sys.executable, "-m", "boragetrail", role, str(path)]
        node = ManagedProcess(name, argv, ports, self.folder / f"{name}.log")
        listen = settings["listen"]
        node.vm = {
            "name": name,
            "role": role,
            "zone": settings["zone"],
            "service": service,
            "link": listen.get("link", ""),
            "gossip": listen["gossip"],
            "admin": listen["admin"],
            "state": "live",
        }
        self.nodes_by_name[name] = node
        node.start()

    async def _register_vms(self, vms):
        url = f"{self.nodes_by_name['vms'].url('main')}/vms"
        async with self.session.post(url, json={"vms": vms}) as response:
            response.raise_for_status()

    async def _wait_platform(self):
        for kind in ("table", "objects", "vms", "weights"):
            await self._wait_for(
                f"{self.nodes_by_name[kind].url('main')}/", kind, 404
            )

    async def _wait_http(self, name):
        await self._wait_for(
            f"{self.nodes_by_name[name].url('admin')}/dump", name
        )

    async def _wait_servers(self, router):
        expected = {server.name for server in self.deployment.servers}
        await self._wait_until(
            lambda: self._has_members(router, expected),
            f"{router} knows all servers",
        )

    async def _has_members(self, router, expected):
        return expected <= set((await self.dump(router))["members"])

    async def _wait_for(self, url, name, status=200):
        async def has_status():
            try:
                async with self.session.get(url) as response:
                    return response.status == status
            except aiohttp.ClientError:
                return False

        await self._wait_until(has_status, f"{name} responds")

    async def _wait_until(self, condition, text):
        limit_s = time.monotonic() + self.ready_timeout_s
        while time.monotonic() < limit_s:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"{text}: not reached within {self.ready_timeout_s} s"
        )
