"""Start a deployment's processes on loopback for demonstrations and tests."""

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
READY_S = 30.0
STOP_S = 20.0
_used_ports = set()


def free_port():
    """Return a loopback port that nothing listens at."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Node:
    """One process of the fleet or of a stand-in."""

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
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout=STOP_S):
        """Wait for the end; returns the exit code."""
        return self.process.wait(timeout)

    def address(self, name):
        """Return ``ip:port`` of a listener."""
        return f"127.0.0.1:{self.ports[name]}"

    def url(self, name):
        """Return the base URL of a listener."""
        return f"http://{self.address(name)}"


class Fleet:
    """A deployment with its platform, backend servers and proxies.

    :param deployment: :class:`tools.deployments.Deployment`
    :param proxied: whether routers reach agents through fault proxies
    :param folder: folder for settings and logs; default a new one
    :param share_backend: whether all agents stand before one backend server
    """

    def __init__(
        self, deployment, proxied=False, folder=None, share_backend=False
    ):
        self.deployment = deployment
        self.proxied = proxied
        self.share_backend = share_backend
        self.ready_s = READY_S
        self.is_out = False
        folder = folder or tempfile.mkdtemp(prefix="boragetrail-")
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.nodes = {}
        self.proxies = {}
        self.session = None

    async def start(self):
        """Start everything and wait until every router is ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        for kind in ("table", "objects", "vms", "weights"):
            self._standin(kind, ["platform", kind])
        for router in self.deployment.routers:
            self._router(router)
        for server in self.deployment.servers:
            self._server(server)
        await self._wait_platform()
        await self._register([node.vm for node in self._fleet_nodes()])
        await self._wait_http(self.deployment.routers[0].name)
        await self.configure(self.deployment.entities())
        await self.wait_ready()

    async def stop(self):
        """Stop all processes; returns exit codes of the fleet by name."""
        codes = {}
        for node in self._fleet_nodes():
            node.signal(signal.SIGTERM)
        for node in self._fleet_nodes():
            try:
                codes[node.name] = node.wait()
            except subprocess.TimeoutExpired:
                node.process.kill()
                codes[node.name] = node.wait()
        for node in self.nodes.values():
            if node.process.poll() is None:
                node.process.kill()
                node.wait()
        await self.session.close()
        return codes

    def router(self, index):
        """Return the node of a router."""
        return self.nodes[self.deployment.routers[index].name]

    def key_of(self, customer):
        """Return a customer's bearer key."""
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
        """Return an operator's stub for a router."""
        return operator_stub(self.router(router).address("operators"), TOKEN)

    async def fault(self, name, **faults):
        """Set faults of a stand-in."""
        url = f"{self.nodes[name].url('main')}/fault"
        async with self.session.post(url, json=faults) as answer:
            answer.raise_for_status()

    async def proxy(self, server, **control):
        """Control the proxy before a server's agent."""
        url = f"http://127.0.0.1:{self.proxies[server]}/proxy"
        async with self.session.post(url, json=control) as answer:
            answer.raise_for_status()

    async def get_json(self, url):
        """Return a JSON document."""
        async with self.session.get(url) as answer:
            return await answer.json()

    async def dump(self, name):
        """Return the state dump of a process of the fleet."""
        return await self.get_json(f"{self.nodes[name].url('admin')}/dump")

    async def wait_ready(self, names=None):
        """Wait until processes are ready."""
        names = names or [node.name for node in self._fleet_nodes()]
        for name in names:
            url = f"{self.nodes[name].url('admin')}/health/ready"
            await self._wait_for(url, name)
        for router in self.deployment.routers:
            await self._wait_servers(router.name)

    async def restart(self, name):
        """Start a process that has ended again."""
        self.nodes[name].start()
        await self._wait_http(name)

    async def set_vm_state(self, name, state):
        """Change the state of a VM in the platform's list."""
        vm = {**self.nodes[name].vm, "state": state}
        await self._register([vm])

    def _fleet_nodes(self):
        return [node for node in self.nodes.values() if node.vm is not None]

    def _commit(self, request):
        return self.stub().ChangeEntity(request, timeout=10)

    def _standin(self, name, arguments, extra=()):
        port = free_port()
        argv = [sys.executable, "-m", "standins", *arguments, str(port)]
        argv += extra
        node = Node(name, argv, {"main": port}, self.folder / f"{name}.log")
        self.nodes[name] = node
        node.start()
        return node

    def _platform(self):
        kinds = ("table", "objects", "vms", "weights")
        return {kind: self.nodes[kind].url("main") for kind in kinds}

    def _router(self, router):
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
        self._daemon(router.name, "router", settings, ports, "")

    def _server(self, server):
        backend = f"{server.name}-backend"
        if self.share_backend:
            backend = f"{self.deployment.servers[0].name}-backend"
        if backend in self.nodes:
            node = self.nodes[backend]
        elif server.kind == "model":
            shape = ["--shape", json.dumps(server.shape)]
            node = self._standin(backend, ["engine", server.name], shape)
        else:
            node = self._standin(backend, ["application", server.name])
        ports = {n: free_port() for n in ("link", "admin", "gossip")}
        settings = {
            "role": "agent",
            "name": server.name,
            "zone": server.zone,
            "service": server.service,
            "backend": node.url("main"),
            "drain": {"limit_s": 15},
        }
        self._daemon(server.name, "agent", settings, ports, server.service)
        if self.proxied:
            self._proxy(server.name)

    def _proxy(self, name):
        node = self.nodes[name]
        port, control = free_port(), free_port()
        target = str(node.ports["link"])
        argv = [sys.executable, "-m", "standins", "proxy"]
        argv += [str(port), target, str(control)]
        log = self.folder / f"{name}-proxy.log"
        proxy = Node(f"{name}-proxy", argv, {"main": port}, log)
        self.nodes[proxy.name] = proxy
        self.proxies[name] = control
        proxy.start()
        node.vm["link"] = f"127.0.0.1:{port}"

    def _daemon(self, name, role, settings, ports, service):
        settings["platform"] = self._platform()
        settings["listen"] = {
            listener: f"127.0.0.1:{port}" for listener, port in ports.items()
        }
        settings["log"] = {"format": "text", "level": "INFO"}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        argv = [sys.executable, "-m", "boragetrail", role, str(path)]
        node = Node(name, argv, ports, self.folder / f"{name}.log")
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
        self.nodes[name] = node
        node.start()

    async def _register(self, vms):
        url = f"{self.nodes['vms'].url('main')}/vms"
        async with self.session.post(url, json={"vms": vms}) as answer:
            answer.raise_for_status()

    async def _wait_platform(self):
        for kind in ("table", "objects", "vms", "weights"):
            await self._wait_for(f"{self.nodes[kind].url('main')}/", kind, 404)

    async def _wait_http(self, name):
        await self._wait_for(f"{self.nodes[name].url('admin')}/dump", name)

    async def _wait_servers(self, router):
        wanted = {server.name for server in self.deployment.servers}
        await self._wait_until(
            lambda: self._knows(router, wanted), f"{router} knows all servers"
        )

    async def _knows(self, router, wanted):
        return wanted <= set((await self.dump(router))["members"])

    async def _wait_for(self, url, name, status=200):
        async def answered():
            try:
                async with self.session.get(url) as answer:
                    return answer.status == status
            except aiohttp.ClientError:
                return False

        await self._wait_until(answered, f"{name} answers")

    async def _wait_until(self, condition, text):
        limit_s = time.monotonic() + self.ready_s
        while time.monotonic() < limit_s:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{text}: not within {self.ready_s} s")
