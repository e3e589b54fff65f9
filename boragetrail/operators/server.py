"""gRPC server of the operator service, part of every router."""

import hmac

import grpc
import grpc.aio

from boragetrail.configuration import Change
from boragetrail.errors import ChangeFailure, PlatformFailure
from boragetrail.events import Event, log_event
from boragetrail.operators import operator_pb2 as pb
from boragetrail.operators import operator_pb2_grpc as rpc
from boragetrail.operators.conversion import entity_to_value, value_to_entity
from boragetrail.operators.placement import PlacementController

__all__ = ["OperatorServer"]

MAX_HISTORY_ENTRIES = 1000
MAX_UPDATE_ATTEMPTS = 5


class OperatorServer(rpc.OperatorsServicer):
    """Answer the calls of operators.

    :param router: :class:`~boragetrail.router.daemon.RouterDaemon`
    """

    def __init__(self, router):
        self.router = router
        self.configuration = router.configuration
        self.placement = PlacementController(router)
        self.server = None

    async def open(self, address):
        """Listen at an address."""
        interceptor = _TokenInterceptor(self.router.settings.operator_token)
        self.server = grpc.aio.server(interceptors=[interceptor])
        rpc.add_OperatorsServicer_to_server(self, self.server)
        self.server.add_insecure_port(address)
        await self.server.start()
        self.router.tasks.start(self.placement.run(), "placement")

    async def close(self):
        """Stop listening and wait up to 1 s for running calls."""
        await self.server.stop(grace=1.0)

    def placements(self):
        """Return the model loading progress on each server.

        :returns: list with one dictionary for each server
        """
        return self.placement.to_dicts()

    async def ChangeEntity(self, request, context):  # noqa: N802
        """Create, change or delete an entity."""
        kind, name, value = entity_to_value(request.entity)
        change = Change(
            0,
            request.change_id,
            request.author,
            kind,
            name,
            None if request.delete else value,
            request.expected_version,
        )
        if not change.change_id or not name:
            detail = "change_id and entity.name must not be empty"
            return pb.ChangeReply(problem="invalid", detail=detail)
        return await self._commit(change)

    async def SetZone(self, request, context):  # noqa: N802
        """Take a zone out of service or put it back."""
        state = "out" if request.out else "in"
        return await self._update_entity(
            request, "zone", request.zone, {"state": state}, must_exist=True
        )

    async def DrainServer(self, request, context):  # noqa: N802
        """Drain a backend server or let it accept work again."""
        value = {"drained": request.drained}
        return await self._update_entity(
            request, "server", request.server, value
        )

    async def ListEntities(self, request, context):  # noqa: N802
        """List the entities of a kind."""
        doc = self.router.doc
        entities = doc.entities_by_kind.get(request.kind)
        if entities is None:
            detail = f"kind {request.kind!r} is unknown"
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        messages = [
            value_to_entity(request.kind, name, value)
            for name, value in sorted(entities.items())
        ]
        return pb.ListReply(version=doc.version, entities=messages)

    async def ReadConfiguration(self, request, context):  # noqa: N802
        """Read the configuration at a version."""
        doc = self.router.doc
        if request.version:
            history = self.configuration.history
            doc = await history.read_version(request.version)
        if isinstance(doc, PlatformFailure):
            await context.abort(grpc.StatusCode.UNAVAILABLE, doc.detail)
        if request.version and doc.version != request.version:
            detail = f"version {request.version} does not exist"
            await context.abort(grpc.StatusCode.NOT_FOUND, detail)
        entities = [
            value_to_entity(kind, name, value)
            for kind, by_name in doc.entities_by_kind.items()
            for name, value in sorted(by_name.items())
        ]
        return pb.ReadReply(version=doc.version, entities=entities)

    async def ListChanges(self, request, context):  # noqa: N802
        """List changes after a version."""
        limit = min(request.limit or 50, MAX_HISTORY_ENTRIES)
        history = self.configuration.history
        changes = await history.changes_after(request.after, limit)
        if isinstance(changes, PlatformFailure):
            await context.abort(grpc.StatusCode.UNAVAILABLE, changes.detail)
        entries = [
            pb.HistoryEntry(
                version=change.version,
                change_id=change.change_id,
                author=change.author,
                kind=change.kind,
                name=change.name,
                deleted=change.value is None,
            )
            for change in changes
        ]
        return pb.HistoryReply(entries=entries)

    async def GetOrder(self, request, context):  # noqa: N802
        """Return the state of an order by its idempotency key."""
        found = await self.router.orders.status(
            request.service, request.customer, request.key
        )
        if isinstance(found, PlatformFailure):
            await context.abort(grpc.StatusCode.UNAVAILABLE, found.detail)
        return pb.OrderReply(
            state=found.state,
            server=found.server,
            incarnation=found.incarnation,
            status=found.status,
        )

    async def ListPlacements(self, request, context):  # noqa: N802
        """List this router's model loading progress on each server."""
        placements = [pb.Placement(**fields) for fields in self.placements()]
        return pb.PlacementsReply(placements=placements)

    async def _update_entity(
        self, request, kind, name, value, must_exist=False
    ):
        """Set fields of an entity and retry after a conflicting change.

        :param value: dictionary of the fields to set
        :param must_exist: whether to refuse the change of a missing entity
        """
        reply = None
        for _ in range(MAX_UPDATE_ATTEMPTS):
            doc = self.router.doc
            current = doc.get(kind, name)
            if current is None and must_exist:
                detail = f"{kind} {name!r} does not exist"
                return pb.ChangeReply(problem="invalid", detail=detail)
            target = {**(current or {}), **value}
            if target == current:
                version = doc.change_versions_by_key.get(
                    (kind, name), doc.version
                )
                return pb.ChangeReply(version=version)
            change = Change(
                0,
                request.change_id,
                request.author,
                kind,
                name,
                target,
                doc.version,
            )
            reply = await self._commit(change)
            if reply.problem != "conflict":
                return reply
        return reply

    async def _commit(self, change):
        doc = self.router.doc
        result = await self.configuration.history.commit(doc, change)
        if isinstance(result, ChangeFailure):
            log_event(
                Event.CONFIG_REFUSED,
                change=change.change_id,
                kind=result.kind,
                detail=result.detail,
            )
            return self._problem_reply(result, change)
        self.configuration.announce(result)
        self.router.publish_changes(result)
        version = doc.versions_by_change_id[change.change_id]
        return pb.ChangeReply(version=version)

    def _problem_reply(self, failure, change):
        reply = pb.ChangeReply(problem=failure.kind, detail=failure.detail)
        if failure.kind == "conflict":
            value = self.router.doc.get(change.kind, change.name)
            won = value_to_entity(change.kind, change.name, value)
            reply.conflict.CopyFrom(
                pb.Conflict(version=failure.version, won=won)
            )
        return reply


class _TokenInterceptor(grpc.aio.ServerInterceptor):
    """Refuse calls that lack the operators' token."""

    def __init__(self, token):
        self.expected = f"Bearer {token}".encode()
        self.has_token = bool(token)

    async def intercept_service(self, continuation, handler_call_details):
        """Check the token; called by grpc."""
        credentials = ""
        for name, value in handler_call_details.invocation_metadata:
            if name == "authorization":
                credentials = value
        if isinstance(credentials, str):
            credentials = credentials.encode()
        if self.has_token and hmac.compare_digest(credentials, self.expected):
            return await continuation(handler_call_details)
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request, context):
    await context.abort(
        grpc.StatusCode.UNAUTHENTICATED, "the operator token is not valid"
    )
