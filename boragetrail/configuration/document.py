"""The configuration as one document at a version, and its checks."""

import jsonschema

from boragetrail.errors import ChangeFailure

__all__ = [
    "KINDS",
    "Change",
    "Document",
    "check_change",
    "subset_for_service",
]

KINDS = ("zone", "model", "service", "customer", "binding", "server")

# Changes whose ids are remembered, so that a repeated change is recognised.
REMEMBERED_CHANGES = 8192

_NAME = {"type": "string", "minLength": 1, "maxLength": 120}
_ROUTE = {
    "type": "object",
    "additionalProperties": False,
    "required": ["method", "prefix"],
    "properties": {"method": _NAME, "prefix": {"type": "string"}},
}
_SERVICE = {
    "kind": {"enum": ["model", "application"]},
    "model": {"type": "string"},
    "model_version": {"type": "string"},
    "zones": {"type": "array", "items": _NAME, "minItems": 1},
    "cap_multiple": {"type": "number", "minimum": 1.0, "maximum": 100},
    "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
    "deadline_ms": {"type": "integer", "minimum": 1},
    "first_token_ms": {"type": "integer", "minimum": 1},
    "protected": {"type": "array", "items": _ROUTE},
    "answer_retention_s": {"type": "integer", "minimum": 1},
    "body_bytes": {"type": "integer", "minimum": 1},
    "checks_fencing": {"type": "boolean"},
}
_SCHEMAS_BY_KIND = {
    "zone": (
        {"state": {"enum": ["in", "out"]}, "region": {"type": "string"}},
        ["state"],
    ),
    "model": (
        {
            "step_ms": {"type": "number", "minimum": 0},
            "weight_mb": {"type": "integer", "minimum": 0},
        },
        [],
    ),
    "service": (_SERVICE, ["kind", "zones"]),
    "customer": (
        {"key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
        ["key_sha256"],
    ),
    "binding": (
        {
            "customer": _NAME,
            "service": _NAME,
            "weight": {"type": "number", "exclusiveMinimum": 0},
            "priority": {"type": "integer", "minimum": 0, "maximum": 9},
        },
        ["customer", "service"],
    ),
    "server": ({"drained": {"type": "boolean"}}, ["drained"]),
}


class Change:
    """One accepted or proposed change of one entity.

    :param version: version that the change makes, 0 while proposed
    :param change_id: id that the operator chose; a repeat has the same
    :param author: name of the operator
    :param kind: one of :data:`KINDS`
    :param name: key of the entity in its collection
    :param value: new value, or ``None`` to delete the entity
    :param expected_version: version that the operator had read
    """

    __slots__ = (
        "version",
        "change_id",
        "author",
        "kind",
        "name",
        "value",
        "expected_version",
    )

    def __init__(
        self,
        version,
        change_id,
        author,
        kind,
        name,
        value,
        expected_version=0,
    ):
        self.version = version
        self.change_id = change_id
        self.author = author
        self.kind = kind
        self.name = name
        self.value = value
        self.expected_version = expected_version

    def to_list(self):
        """Return the fields in order, for storage and messages."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_list(cls, fields):
        """Make a change from what :meth:`to_list` returned."""
        return cls(*fields)


class Document:
    """Hold the entities of every kind at one version.

    :ivar version: version in force; grows by one with each change
    :ivar entities_by_kind: kind to a dictionary of values by name
    :ivar changed_at_by_key: version of the last change by (kind, name)
    :ivar versions_by_change_id: versions of the remembered changes
    """

    __slots__ = (
        "version",
        "entities_by_kind",
        "change_versions_by_key",
        "versions_by_change_id",
    )

    def __init__(self):
        self.version = 0
        self.entities_by_kind = {kind: {} for kind in KINDS}
        self.change_versions_by_key = {}
        self.versions_by_change_id = {}

    def apply(self, change):
        """Apply the change that makes the next version.

        :returns: ``True``, or ``False`` if it is not the next version
        """
        if change.version != self.version + 1:
            return False
        entities = self.entities_by_kind[change.kind]
        if change.value is None:
            entities.pop(change.name, None)
        else:
            entities[change.name] = change.value
        self.version = change.version
        self.change_versions_by_key[(change.kind, change.name)] = (
            change.version
        )
        self._remember(change)
        return True

    def _remember(self, change):
        versions = self.versions_by_change_id
        versions[change.change_id] = change.version
        if len(versions) > REMEMBERED_CHANGES:
            del versions[next(iter(versions))]

    def get(self, kind, name):
        """Return the value of an entity, or ``None``."""
        return self.entities_by_kind[kind].get(name)

    def zone_is_out(self, name):
        """Return whether operators have taken a zone out of service."""
        zone = self.get("zone", name)
        return zone is not None and zone["state"] == "out"

    def server_is_drained(self, name):
        """Return whether operators drain a backend server."""
        server = self.get("server", name)
        return server is not None and server["drained"]

    def binding(self, customer, service):
        """Return the binding of a customer to a service, or ``None``."""
        return self.get("binding", f"{customer}:{service}")

    def to_snapshot(self):
        """Return the document in a form that CBOR and JSON can carry.

        Values are shared with the document, which replaces and never
        changes them.
        """
        changed = [[*key, v] for key, v in self.change_versions_by_key.items()]
        entities = self.entities_by_kind.items()
        return {
            "version": self.version,
            "entities": {kind: dict(by_name) for kind, by_name in entities},
            "changed_at": changed,
            "change_ids": dict(self.versions_by_change_id),
        }

    @classmethod
    def from_snapshot(cls, snapshot):
        """Make a document from what :meth:`to_snapshot` returned."""
        doc = cls()
        doc.apply_snapshot(snapshot)
        return doc

    def apply_snapshot(self, snapshot):
        """Take over a snapshot if it is newer.

        :returns: whether it was newer; an older one changes nothing
        """
        if snapshot["version"] <= self.version:
            return False
        self.version = snapshot["version"]
        self.entities_by_kind = {kind: {} for kind in KINDS}
        for kind, by_name in snapshot["entities"].items():
            self.entities_by_kind[kind] = dict(by_name)
        self.change_versions_by_key = {
            (kind, name): version
            for kind, name, version in snapshot["changed_at"]
        }
        self.versions_by_change_id = dict(snapshot["change_ids"])
        return True

    def subset(self, service):
        """Return a snapshot cut down to what an agent of a service holds."""
        snapshot = self.to_snapshot()
        entities = snapshot["entities"]
        entities["customer"] = {}
        entities["service"] = {
            name: value
            for name, value in entities["service"].items()
            if name == service
        }
        entities["binding"] = {
            name: value
            for name, value in entities["binding"].items()
            if value["service"] == service
        }
        snapshot["changed_at"] = []
        snapshot["change_ids"] = {}
        return snapshot


def check_change(doc, change):
    """Check a proposed change as a whole against a document.

    :param doc: document that the change would be applied to
    :param change: proposed change
    :returns: ``None`` if acceptable, else :class:`ChangeFailure`
    """
    if change.kind not in KINDS:
        return ChangeFailure("invalid", f"kind {change.kind!r} is unknown")
    key = (change.kind, change.name)
    won = doc.change_versions_by_key.get(key, 0)
    if won > change.expected_version:
        detail = f"{change.kind} {change.name!r} was changed by version {won}"
        return ChangeFailure("conflict", detail, won)
    if change.value is None:
        return _check_delete(doc, change)
    return _check_shape(change) or _check_references(doc, change)


def subset_for_service(change, service):
    """Return a change cut down to what an agent of a service holds.

    The version is kept, so that the agent still counts without a gap.
    """
    if change.kind in ("zone", "server", "model"):
        return change
    if change.kind == "service" and change.name == service:
        return change
    if change.kind == "binding" and change.name.endswith(f":{service}"):
        return change
    cut = Change.from_list(change.to_list())
    cut.value = None
    cut.kind, cut.name = "server", "-"
    return cut


def _check_shape(change):
    properties, required = _SCHEMAS_BY_KIND[change.kind]
    schema = {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": required,
    }
    validator = jsonschema.Draft202012Validator(schema)
    for error in validator.iter_errors(change.value):
        path = ".".join(str(part) for part in error.path)
        where = f"{change.kind} {change.name!r}"
        return ChangeFailure("invalid", f"{where}: {path}: {error.message}")
    return None


def _check_references(doc, change):
    missing = [
        f"{kind} {name!r} does not exist"
        for kind, name in _references(change)
        if doc.get(kind, name) is None
    ]
    if change.kind == "binding":
        value = change.value
        wanted = f"{value['customer']}:{value['service']}"
        if change.name != wanted:
            missing.append(f"its name must be {wanted!r}")
    if not missing:
        return None
    detail = f"{change.kind} {change.name!r}: " + "; ".join(missing)
    return ChangeFailure("invalid", detail)


def _references(change):
    value = change.value
    if change.kind == "binding":
        return [
            ("customer", value["customer"]),
            ("service", value["service"]),
        ]
    if change.kind == "service":
        refs = [("zone", zone) for zone in value["zones"]]
        if value.get("model"):
            refs.append(("model", value["model"]))
        return refs
    return []


def _check_delete(doc, change):
    if doc.get(change.kind, change.name) is None:
        detail = f"{change.kind} {change.name!r} does not exist"
        return ChangeFailure("invalid", detail)
    users = []
    for kind in ("service", "binding"):
        for name, value in doc.entities_by_kind[kind].items():
            user = Change(0, "", "", kind, name, value)
            if (change.kind, change.name) in _references(user):
                users.append(f"{kind} {name!r}")
    if not users:
        return None
    detail = f"{change.kind} {change.name!r} is used by " + ", ".join(users)
    return ChangeFailure("invalid", detail)
