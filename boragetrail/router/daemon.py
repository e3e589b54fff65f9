"""Router daemon: serves callers and operators."""

import asyncio
import collections
import itertools
import time

import aiohttp.web

from boragetrail.errors import Refusal
from boragetrail.events import Event, log_event
from boragetrail.operators.server import OperatorServer
from boragetrail.policy import AffinityPlacement, LoadTable, RetryBudget
from boragetrail.process import Process
from boragetrail.reasons import Executed, Reason
from boragetrail.router.claims import ClaimController
from boragetrail.router.context import RequestContext
from boragetrail.router.dispatch import Dispatcher
from boragetrail.router import filters
from boragetrail.router.link import AgentLink
from boragetrail.router.metrics import RouterMetrics
from boragetrail.router.orders import OrderController
from boragetrail.router.responder import problem_response, write_answer
from boragetrail.utils import split_address
from boragetrail.wire.messages import PROTOCOL_VERSION, Hello

__all__ = ["RouterDaemon"]

MAX_EXPLANATIONS = 10_000
LISTEN_BACKLOG = 1024


class RouterDaemon(Process):
    """Route callers' requests to agents and serve operators.

    :param settings: :class:`~boragetrail.settings.Settings`
    """

    def __init__(self, settings):
        super().__init__(settings, "router")
        self.request_counter = itertools.count(1)
        self.links_by_server = {}
        self.customers_by_key_digest = {}
        self.model_services_by_customer = {}
        self.explanations_by_id = collections.OrderedDict()
        self.in_flight = 0
        self.metrics = RouterMetrics()
        self.retry_policy = RetryBudget(self.clock, self.random)
        self.dispatcher = Dispatcher(
            self, AffinityPlacement(), self.retry_policy
        )
        self.filters = [
            filter_class(self)
            for filter_class in (
                filters.HeaderFilter,
                filters.FreshnessFilter,
                filters.AuthenticationFilter,
                filters.RouteFilter,
                filters.BodyFilter,
                filters.ChatFilter,
                filters.OrderFilter,
            )
        ]
        self.runner = None

    async def open(self):
        """Open all sockets and start the router's tasks."""
        await super().open()
        self.configuration.versions.subscribe(self._on_configuration)
        claims = ClaimController(self.table, self.tasks)
        self.orders = OrderController(self.dispatcher, claims, self)
        self.operators = OperatorServer(self)
        await self.operators.open(self.settings.listen.operators)
        await self._open_callers()

    async def close(self):
        """Close all sockets."""
        await self.runner.cleanup()
        await self.operators.close()
        for link in self.links_by_server.values():
            link.close()
        await super().close()

    async def drain(self):
        """Wait for the load balancer, then for the requests in flight.

        The readiness check already fails, but the load balancer notices this
        with a delay. The router therefore accepts new requests for another
        ``balancer_lag_s`` before it closes the callers' port.
        """
        self.gossip_protocol.leaving = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.settings.drain_limit_s
        await asyncio.sleep(self.settings.balancer_lag_s)
        for site in list(self.runner.sites):
            await site.stop()
        while loop.time() < deadline_s and self.in_flight:
            await asyncio.sleep(0.05)

    def link_for(self, name):
        """Return the link to a server's agent, or ``None`` if unknown.

        A link is created on first use and when the agent's address has
        changed. Creating a link does not open a connection.
        """
        member = self.membership.members_by_name.get(name)
        if member is None:
            return self.links_by_server.get(name)
        address = split_address(member.vm.link)
        link = self.links_by_server.get(name)
        if link is None or link.address != address:
            table = self.load_table_for(member.vm.service)
            link = AgentLink(
                name,
                address,
                self._make_hello,
                table.merge_lists,
                self.tasks,
                self.clock,
            )
            self.links_by_server[name] = link
        return link

    def load_table_for(self, service):
        """Return the load table of a service; create it on first use."""
        table = self.loads_by_service.get(service)
        if table is None:
            table = LoadTable(self.clock)
            self.loads_by_service[service] = table
        return table

    def region(self):
        """Return the region of this router's zone."""
        zone = self.doc.get("zone", self.zone) or {}
        return zone.get("region", "")

    def model_services_of(self, customer):
        """Return the names of the model services bound to a customer."""
        return self.model_services_by_customer.get(customer, [])

    def admin_routes(self):
        """Return the router's routes of the administration port."""
        return [aiohttp.web.get("/explain/{request_id}", self._explain)]

    def update_metrics(self):
        """Set the gauges before they are read."""
        self.metrics.update(self)

    def dump(self):
        """Return the state of the router as a dictionary."""
        links = {
            name: {
                "open": link.current is not None,
                "renewals": link.reconnects,
                "attempts": len(link.inboxes_by_id),
            }
            for name, link in self.links_by_server.items()
        }
        loads = {
            service: [entry.to_list(self.clock()) for entry in table.live()]
            for service, table in self.loads_by_service.items()
        }
        return {
            **super().dump(),
            "in_flight": self.in_flight,
            "outcomes": self.metrics.outcomes_by_code,
            "links": links,
            "loads": loads,
            "engine_orders": self.operators.placements(),
        }

    async def _open_callers(self):
        app = aiohttp.web.Application(client_max_size=1 << 40)
        app.add_routes(
            [
                aiohttp.web.post(filters.CHAT_PATH, self._handle),
                aiohttp.web.post("/tickets/{service}", self._handle_ticket),
                aiohttp.web.route(
                    "*", "/services/{service}/{path:.*}", self._handle
                ),
                aiohttp.web.get("/health/ready", self._ready),
                aiohttp.web.route("*", "/{path:.*}", self._handle_unknown),
            ]
        )
        self.runner = aiohttp.web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_field_size=self.settings.header_bytes,
            max_line_size=self.settings.header_bytes,
        )
        await self.runner.setup()
        host, port = split_address(self.settings.listen.callers)
        site = aiohttp.web.TCPSite(
            self.runner, host, port, backlog=LISTEN_BACKLOG
        )
        await site.start()

    async def _ready(self, request):
        ready = self.is_ready()
        return aiohttp.web.json_response(
            {"ready": ready}, status=200 if ready else 503
        )

    async def _explain(self, request):
        found = self.explanations_by_id.get(request.match_info["request_id"])
        if found is None:
            return aiohttp.web.json_response({"found": False}, status=404)
        return aiohttp.web.json_response(found.to_dict())

    def _new_context(self, request):
        request_id = f"{self.incarnation}-{next(self.request_counter)}"
        return RequestContext(request, request_id, self.clock())

    async def _handle(self, request):
        context = self._new_context(request)
        self.in_flight += 1
        failure = Refusal(Reason.CANCELLED, "the caller disconnected")
        try:
            response, failure = await self._answer(context)
            return response
        finally:
            self.in_flight -= 1
            self._record_outcome(context, failure)

    async def _answer(self, context):
        refusal = await filters.run_chain(self.filters, context)
        if refusal is not None:
            return problem_response(context, refusal), refusal
        messages = self._messages(context)
        response, failure = await write_answer(context, messages)
        if response is None:
            ticket = await self._fallback_ticket(context, failure)
            response = problem_response(context, failure, ticket)
        return response, failure

    def _messages(self, context):
        if context.protected:
            return self.orders.run(context)
        if context.idempotent:
            return self.dispatcher.run_idempotent(context)
        order_id = f"once:{context.request_id}"
        return self.dispatcher.run_once(context, order_id)

    async def _fallback_ticket(self, context, failure):
        if failure.reason != Reason.STORE_DOWN:
            return ""
        ticket = await self.orders.new_ticket(context)
        return ticket if isinstance(ticket, str) else ""

    async def _handle_unknown(self, request):
        context = self._new_context(request)
        detail = f"path {request.path!r} with method {request.method}"
        return problem_response(context, Refusal(Reason.NO_SERVICE, detail))

    async def _handle_ticket(self, request):
        context = self._new_context(request)
        chain = self.filters[:3]
        refusal = await filters.run_chain(chain, context)
        service = request.match_info["service"]
        context.service = service
        if refusal is None and not self.doc.binding(context.customer, service):
            refusal = Refusal(Reason.NOT_BOUND, f"service {service!r}")
        if refusal is None:
            ticket = await self.orders.new_ticket(context)
            if isinstance(ticket, str):
                return aiohttp.web.json_response({"ticket": ticket})
            refusal = ticket
        return problem_response(context, refusal)

    def _record_outcome(self, context, failure):
        took_s = self.clock() - context.received_s
        code = "ok" if failure is None else failure.reason.code
        context.explanation.outcome = code
        self._store_explanation(context.explanation)
        self.metrics.record_request(code, context.service, took_s)
        event = Event.REQUEST_DONE if failure is None else Event.REQUEST_FAILED
        log_event(
            event,
            request_id=context.request_id,
            customer=context.customer,
            service=context.service,
            server=context.server,
            code=code,
            ran=Executed.YES.value if failure is None else failure.ran.value,
            took_ms=int(1000 * took_s),
        )

    def _store_explanation(self, explanation):
        explanations = self.explanations_by_id
        explanations[explanation.request_id] = explanation
        if len(explanations) > MAX_EXPLANATIONS:
            explanations.popitem(last=False)

    def _make_hello(self):
        uptime_ms = int(1000 * time.monotonic())
        return Hello(
            PROTOCOL_VERSION,
            self.name,
            self.incarnation,
            "",
            self.zone,
            self.doc.version,
            uptime_ms,
        )

    def _on_configuration(self, version):
        customers = self.doc.entities_by_kind["customer"]
        self.customers_by_key_digest = {
            value["key_sha256"]: name for name, value in customers.items()
        }
        services = {}
        for value in self.doc.entities_by_kind["binding"].values():
            service = self.doc.get("service", value["service"])
            if service and service["kind"] == "model":
                names = services.setdefault(value["customer"], [])
                names.append(value["service"])
        self.model_services_by_customer = services
