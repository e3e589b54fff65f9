"""Commands of the command line interface for operators."""

import getpass
import hashlib
import json
import uuid

from google.protobuf import json_format
import grpc
import rich.console
import rich.table
import typer

from boragetrail.operators.client import operator_stub
from boragetrail.operators.conversion import entity_to_value, value_to_entity
from boragetrail.operators import operator_pb2 as pb

__all__ = ["operator_app"]

EXIT_REFUSED = 3

operator_app = typer.Typer(
    no_args_is_help=True, help="Operate the fleet through any router."
)

ADDRESS = typer.Option(
    "127.0.0.1:7300",
    "--address",
    envvar="BORAGETRAIL_OPERATOR_ADDRESS",
    help="Operator address of a router.",
)
TOKEN = typer.Option(
    "",
    "--token",
    envvar="BORAGETRAIL_OPERATOR_TOKEN",
    help="Operators' token.",
)
AS_JSON = typer.Option(False, "--json", help="Print JSON.")
CHANGE_ID = typer.Option(
    "", "--change-id", help="Id of the change; reuse it for a retry."
)
EXPECTED_VERSION = typer.Option(
    -1,
    "--expected",
    help="Configuration version that you read; default: the version in force.",
)


@operator_app.command("put")
def put(
    kind: str,
    name: str,
    value: str = typer.Argument(help="The entity's fields as JSON."),
    expected: int = EXPECTED_VERSION,
    change_id: str = CHANGE_ID,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Create or change an entity."""
    try:
        entity = value_to_entity(kind, name, json.loads(value))
    except (ValueError, AttributeError, json_format.ParseError) as exc:
        typer.echo(f"{kind} {name!r}: {exc}", err=True)
        raise typer.Exit(2) from exc
    request = pb.ChangeRequest(entity=entity)
    _change(address, token, request, expected, change_id, as_json)


@operator_app.command("delete")
def delete(
    kind: str,
    name: str,
    expected: int = EXPECTED_VERSION,
    change_id: str = CHANGE_ID,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Delete an entity."""
    entity = value_to_entity(kind, name, {})
    request = pb.ChangeRequest(entity=entity, delete=True)
    _change(address, token, request, expected, change_id, as_json)


@operator_app.command("customer-key")
def customer_key(key: str):
    """Print the key_sha256 of a customer, the SHA-256 digest of an API key."""
    typer.echo(hashlib.sha256(key.encode()).hexdigest())


@operator_app.command("list")
def list_entities(
    kind: str,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """List the entities of a kind."""
    stub = operator_stub(address, token)
    reply = _call(stub.ListEntities, pb.ListRequest(kind=kind))
    _show(reply, as_json, _entity_rows(reply.entities))


@operator_app.command("read")
def read(
    version: int = typer.Argument(0, help="0 for the version in force."),
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Read the configuration at a version."""
    stub = operator_stub(address, token)
    reply = _call(stub.ReadConfiguration, pb.ReadRequest(version=version))
    _show(reply, as_json, _entity_rows(reply.entities))


@operator_app.command("history")
def history(
    after: int = 0,
    limit: int = 50,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """List changes of the configuration."""
    stub = operator_stub(address, token)
    request = pb.HistoryRequest(after=after, limit=limit)
    reply = _call(stub.ListChanges, request)
    header = ["version", "author", "kind", "name", "deleted", "change id"]
    rows = [
        [e.version, e.author, e.kind, e.name, e.deleted, e.change_id]
        for e in reply.entries
    ]
    _show(reply, as_json, [header, *rows])


@operator_app.command("zone-out")
def zone_out(
    zone: str,
    change_id: str = CHANGE_ID,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Take an availability zone out of service."""
    _set_zone(zone, True, change_id, address, token, as_json)


@operator_app.command("zone-in")
def zone_in(
    zone: str,
    change_id: str = CHANGE_ID,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Put an availability zone back into service."""
    _set_zone(zone, False, change_id, address, token, as_json)


@operator_app.command("drain")
def drain(
    server: str,
    undo: bool = typer.Option(False, help="Let the server accept work again."),
    change_id: str = CHANGE_ID,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Drain a backend server."""
    request = pb.DrainRequest(
        server=server,
        drained=not undo,
        change_id=change_id or str(uuid.uuid4()),
        author=getpass.getuser(),
    )
    stub = operator_stub(address, token)
    _show_change(_call(stub.DrainServer, request), as_json)


@operator_app.command("order")
def order(
    service: str,
    customer: str,
    key: str,
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Show the state of an order by its idempotency key."""
    stub = operator_stub(address, token)
    request = pb.OrderRequest(service=service, customer=customer, key=key)
    reply = _call(stub.GetOrder, request)
    header = ["state", "server", "incarnation", "status"]
    row = [reply.state, reply.server, reply.incarnation, reply.status]
    _show(reply, as_json, [header, row])


@operator_app.command("placements")
def placements(
    address: str = ADDRESS,
    token: str = TOKEN,
    as_json: bool = AS_JSON,
):
    """Show a router's model loading progress on each server."""
    stub = operator_stub(address, token)
    reply = _call(stub.ListPlacements, pb.PlacementsRequest())
    header = ["service", "server", "model", "version", "state", "detail"]
    rows = [[getattr(p, name) for name in header] for p in reply.placements]
    _show(reply, as_json, [header, *rows])


def _set_zone(zone, out, change_id, address, token, as_json):
    request = pb.ZoneRequest(
        zone=zone,
        out=out,
        change_id=change_id or str(uuid.uuid4()),
        author=getpass.getuser(),
    )
    stub = operator_stub(address, token)
    _show_change(_call(stub.SetZone, request), as_json)


def _change(address, token, request, expected, change_id, as_json):
    stub = operator_stub(address, token)
    if expected < 0:
        expected = _call(
            stub.ListEntities, pb.ListRequest(kind="zone")
        ).version
    request.expected_version = expected
    request.change_id = change_id or str(uuid.uuid4())
    request.author = getpass.getuser()
    _show_change(_call(stub.ChangeEntity, request), as_json)


def _show_change(reply, as_json):
    if as_json:
        typer.echo(json_format.MessageToJson(reply))
    elif reply.problem:
        typer.echo(f"{reply.problem}: {reply.detail}", err=True)
    else:
        typer.echo(f"version {reply.version}")
    if reply.problem:
        raise typer.Exit(EXIT_REFUSED)


def _entity_rows(entities):
    rows = [["kind", "name", "value"]]
    for entity in entities:
        kind, name, value = entity_to_value(entity)
        rows.append([kind, name, json.dumps(value)])
    return rows


def _show(reply, as_json, rows):
    if as_json:
        typer.echo(json_format.MessageToJson(reply))
        return
    table = rich.table.Table(*[str(cell) for cell in rows[0]])
    for row in rows[1:]:
        table.add_row(*[str(cell) for cell in row])
    rich.console.Console(soft_wrap=True).print(table)


def _call(method, request):
    try:
        return method(request, timeout=10)
    except grpc.RpcError as exc:
        typer.echo(f"{exc.code().name}: {exc.details()}", err=True)
        raise typer.Exit(1) from exc
