"""Agent daemon: admits and forwards all requests to one backend server."""

import asyncio

import websockets.asyncio.server

from boragetrail.agent.attempts import AttemptController
from boragetrail.agent.backend import BackendClient
from boragetrail.agent.connection import RouterConnection
from boragetrail.agent.engine_orders import EngineOrderController
from boragetrail.agent.kv_transfer import KvTransferController
from boragetrail.agent.outcomes import OutcomeWriter
from boragetrail.errors import PlatformFailure, Refusal
from boragetrail.events import Event, log_event
from boragetrail.orders import Ledger
from boragetrail.policy import (
    BoundedAdmission,
    AdaptiveWarmup,
    FairQueue,
    LoadTable,
    MeanMultipleCap,
)
from boragetrail.process import Process
from boragetrail.reasons import Reason
from boragetrail.utils import cancel_and_wait, split_address
from boragetrail.wire.messages import PROTOCOL_VERSION, Hello

__all__ = ["AgentDaemon"]

DEFAULT_SLOTS = 16
DEFAULT_CAP_MULTIPLE = 1.25
ADMISSION_REFRESH_INTERVAL_S = 0.5
# Length of the incarnation's prefix that load entries contain. The prefix
# only has to distinguish incarnations of the same agent.
INCARNATION_PREFIX_CHARACTERS = 6
LEDGER_SWEEP_INTERVAL_S = 5.0
HEALTH_CHECK_INTERVAL_S = 1.0
MAX_FRAME_BYTES = 64 * 1024 * 1024


class AgentDaemon(Process):
    """Admit and run the requests of one backend server.

    :param settings: :class:`~boragetrail.settings.Settings`
    """

    def __init__(self, settings):
        super().__init__(settings, "agent")
        self.loads = LoadTable(self.clock)
        self.loads_by_service[self.service] = self.loads
        self.backend = BackendClient(settings.backend)
        self.ledger = Ledger(self.incarnation, self.clock)
        self.warmup = AdaptiveWarmup(DEFAULT_SLOTS, self.clock)
        self.cap = MeanMultipleCap(DEFAULT_CAP_MULTIPLE)
        self.admission = BoundedAdmission(
            self.name,
            self.incarnation[:INCARNATION_PREFIX_CHARACTERS],
            self.cap,
            self.warmup,
            FairQueue(self.clock),
            self.loads,
            self.clock,
        )
        self.kv_transfer = KvTransferController(
            self.backend, self.hello, self._link_address
        )
        self.attempts = AttemptController(
            self.ledger,
            self.admission,
            self.check_admission,
            self.backend,
            lambda: self.doc.get("service", self.service),
            lambda customer: self.doc.binding(customer, self.service),
            self._on_order_finished,
            self.tasks,
            self.kv_transfer.import_kv,
        )
        self.engine_orders = EngineOrderController(
            self.incarnation, self.backend, self._read_fencing_token
        )
        self.connections = set()
        self.frames_sent = 0
        self.boot_id = None
        self.requested_version = 0
        self.server = None

    async def open(self):
        """Open all sockets and start the agent's tasks."""
        await super().open()
        await self.backend.open()
        self.outcomes = OutcomeWriter(self.table, self.name, self.incarnation)
        self.configuration.versions.subscribe(self._on_configuration)
        await self._read_server_load()
        host, port = split_address(self.settings.listen.link)
        self.server = await websockets.asyncio.server.serve(
            self._serve,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
        )
        self.tasks.start(self.outcomes.run(), "outcomes")
        self.tasks.start(self.gossip.run_load_updates(), "load updates")
        self.tasks.start(self._refresh(), "refresh")
        self.tasks.start(self._sweep(), "sweep")
        self.tasks.start(self._watch_server(), "watch server")

    async def close(self):
        """Close all sockets."""
        self.server.close(close_connections=False)
        await cancel_and_wait(list(self.connections))
        await super().close()
        await self.backend.close()

    async def drain(self):
        """Refuse new and waiting requests and wait for the running ones.

        Also waits until outcomes are written and answers are read, at most
        ``drain_limit_s``.
        """
        self.announce_leaving()
        self.attempts.refuse_waiting(Reason.LEAVING)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.settings.drain_limit_s
        while loop.time() < deadline_s and self._unfinished():
            await asyncio.sleep(0.05)

    def announce_leaving(self):
        """Announce by gossip that this server accepts no new work.

        Four gossip rounds start at once, each with one peer. The regular
        rounds, which continue while the agent drains, inform further peers.
        """
        self.gossip_protocol.leaving = True
        self.admission.set_leaving(True)
        log_event(Event.SERVER_LEAVING, name=self.name)
        for _ in range(4):
            self.gossip.send(self.gossip_protocol.start_round())

    def check_admission(self):
        """Return a refusal if the agent accepts no new work, or ``None``."""
        if self.stopping:
            return Refusal(Reason.LEAVING, f"server {self.name!r} is leaving")
        if not self.doc.version:
            return Refusal(Reason.NO_CONFIG, f"agent {self.name!r}")
        if not self.configuration.is_fresh():
            return Refusal(Reason.CONFIG_STALE, f"agent {self.name!r}")
        if self.doc.zone_is_out(self.zone):
            return Refusal(
                Reason.ZONE_OUT, f"zone {self.zone!r} is out of service"
            )
        if self.doc.server_is_drained(self.name):
            return Refusal(Reason.DRAINED, f"drained server {self.name!r}")
        return None

    def hello(self):
        """Return the first message of a connection."""
        return Hello(
            PROTOCOL_VERSION,
            self.name,
            self.incarnation,
            self.service,
            self.zone,
            self.doc.version,
            self.ledger.uptime_ms(),
        )

    def version(self):
        """Return the version of configuration in force."""
        return self.doc.version

    def request_changes_if_behind(self, version):
        """Request changes from peers if a router has a newer configuration.

        :param version: version of the router's configuration
        """
        if version > max(self.doc.version, self.requested_version):
            self.requested_version = version
            for _ in range(2):
                self.gossip.send(self.gossip_protocol.start_round())

    def dump(self):
        """Return the state of the agent as a dictionary."""
        warmup = self.warmup
        return {
            **super().dump(),
            "server": {
                "load": self.admission.load,
                "out": self.is_out_of_service(),
                "running": self.admission.queue.running,
                "waiting": self.admission.queue.size,
                "cap": self.admission.cap_limit(),
                "mean": self.loads.mean(),
                "slots": warmup.slots,
                "allowed": warmup.limit(),
                "cold": warmup.is_cold(),
                "service_time_s": self.admission.service_time_s,
                "buffered_bytes": self.attempts.buffered_bytes(),
            },
            "ledger": {"entries": len(self.ledger.entries_by_key)},
            "outcomes": self.attempts.outcomes_by_code,
            "outcomes_to_write": self.outcomes.pending_count,
            "frames_sent": self.frames_sent,
            "kv_moved": self.kv_transfer.imported_count,
            "connections": len(self.connections),
        }

    def _link_address(self, server):
        member = self.membership.members_by_name.get(server)
        return split_address(member.vm.link) if member else None

    def _unfinished(self):
        done = (
            not self.attempts.unfinished_count()
            and not self.outcomes.pending_count
        )
        return not done or self._has_readers()

    def _has_readers(self):
        attempts = self.attempts.attempts_by_key.values()
        return any(attempt.reader_count for attempt in attempts)

    def _on_order_finished(self, attempt):
        self.outcomes.add(attempt)

    def _on_configuration(self, version):
        service = self.doc.get("service", self.service) or {}
        self.cap.multiple = service.get("cap_multiple", DEFAULT_CAP_MULTIPLE)
        self.warmup.set_slots(service.get("slots", DEFAULT_SLOTS))
        out = self.is_out_of_service()
        if out != self.admission.leaving:
            self.admission.set_leaving(out)

    def is_out_of_service(self):
        """Return whether the server accepts no new work.

        A server is out of service while its agent stops, and while an
        operator has drained the server or taken its zone out of service.
        """
        doc = self.doc
        return (
            self.stopping
            or doc.zone_is_out(self.zone)
            or doc.server_is_drained(self.name)
        )

    async def _serve(self, socket):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            await RouterConnection(socket, self).serve()
        finally:
            self.connections.discard(task)

    async def _read_server_load(self):
        # The server may have served requests before this agent started. It
        # is then warm, so the warm-up limit starts at its current load.
        report = await self.backend.get_json("/load")
        if report is None or "boot_id" not in report:
            return
        self.boot_id = report["boot_id"]
        if report.get("served", 0) > 0:
            self.warmup.raise_limit(report.get("running", 0) + 1)

    async def _watch_server(self):
        while True:
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
            report = await self.backend.get_json("/load")
            boot_id = (report or {}).get("boot_id")
            if boot_id is not None and boot_id != self.boot_id:
                if self.boot_id is not None:
                    self.attempts.record_server_failure("the server restarted")
                self.boot_id = boot_id

    async def _refresh(self):
        while True:
            await asyncio.sleep(ADMISSION_REFRESH_INTERVAL_S)
            self.admission.refresh()
            self.attempts.start_ready()

    async def _sweep(self):
        while True:
            await asyncio.sleep(LEDGER_SWEEP_INTERVAL_S)
            self.attempts.sweep()

    async def _read_fencing_token(self):
        row = await self.table.get(f"lease/{self.service}")
        if isinstance(row, PlatformFailure):
            return None
        return row.value["fencing"] if row.version else 0
