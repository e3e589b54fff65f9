"""Configuration document with versions, and validation of its changes."""

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

# Change ids that a document keeps, to detect changes submitted again.
MAX_REMEMBERED_CHANGES = 8192

_NAME_SCHEMA = {"type": "string", "minLength": 1, "maxLength": 120}
_ROUTE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["method", "prefix"],
    "properties": {"method": _NAME_SCHEMA, "prefix": {"type": "string"}},
}
_SERVICE_PROPERTIES = {
    "kind": {"enum": ["model", "application"]},
    "model": {"type": "string"},
    "model_version": {"type": "string"},
    "zones": {"type": "array", "items": _NAME_SCHEMA, "minItems": 1},
    "cap_multiple": {"type": "number", "minimum": 1.0, "maximum": 100},
    "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
    "deadline_ms": {"type": "integer", "minimum": 1},
    "first_token_ms": {"type": "integer", "minimum": 1},
    "protected": {"type": "array", "items": _ROUTE_SCHEMA},
    "answer_retention_s": {"type": "integer", "minimum": 1},
    "body_bytes": {"type": "integer", "minimum": 1},
    "checks_fencing": {"type": "boolean"},
}
# Schema of each property, and the names of those that are required.
_PROPERTIES_AND_REQUIRED_BY_KIND = {
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
    "service": (_SERVICE_PROPERTIES, ["kind", "zones"]),
    "customer": (
        {"key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
        ["key_sha256"],
    ),
    "binding": (
        {
            "customer": _NAME_SCHEMA,
            "service": _NAME_SCHEMA,
            "weight": {"type": "number", "exclusiveMinimum": 0},
            "priority": {"type": "integer", "minimum": 0, "maximum": 9},
        },
        ["customer", "service"],
    ),
    "server": ({"drained": {"type": "boolean"}}, ["drained"]),
}


class Change:
    """A proposed or committed change of one entity.

    :param version: version that the change creates, 0 while proposed
    :param change_id: id chosen by the operator, who uses it again to submit
        the same change again
    :param author: name of the operator
    :param kind: kind of the entity, one of :data:`KINDS`
    :param name: name of the entity, unique among those of its kind
    :param value: new value of the entity, or ``None`` to delete it
    :param expected_version: version of the document that the operator read
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
        """Create a change from the result of :meth:`to_list`."""
        return cls(*fields)


class Document:
    """Configuration of the fleet at one version.

    It consists of entities: zones, models, services, customers, bindings of
    customers to services, and servers. Each has a kind, a name and a value,
    which is a dictionary.

    :ivar version: current version; each change increments it by one
    :ivar entities_by_kind: for each kind a dictionary of the entities' values
        by name
    :ivar change_versions_by_key: for each (kind, name) the version that last
        changed this entity
    :ivar versions_by_change_id: for the id of each recent change the version
        that it created
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
        """Apply a change if it creates the next version.

        :returns: whether the change was applied
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
        self._record_change_id(change)
        return True

    def _record_change_id(self, change):
        versions = self.versions_by_change_id
        versions[change.change_id] = change.version
        if len(versions) > MAX_REMEMBERED_CHANGES:
            del versions[next(iter(versions))]

    def get(self, kind, name):
        """Return the value of an entity, or ``None``."""
        return self.entities_by_kind[kind].get(name)

    def zone_is_out(self, name):
        """Return whether an operator has taken a zone out of service."""
        zone = self.get("zone", name)
        return zone is not None and zone["state"] == "out"

    def server_is_drained(self, name):
        """Return whether an operator has drained a backend server.

        A drained server gets no new work but ends the work that it has.
        """
        server = self.get("server", name)
        return server is not None and server["drained"]

    def binding(self, customer, service):
        """Return the binding of a customer to a service, or ``None``."""
        return self.get("binding", f"{customer}:{service}")

    def to_snapshot(self):
        """Return the document in a form that CBOR and JSON can represent.

        The snapshot and the document share the values of entities. This is
        safe because the document replaces a value and never mutates it.
        """
        changed_at = [
            [*key, v] for key, v in self.change_versions_by_key.items()
        ]
        entities = self.entities_by_kind.items()
        return {
            "version": self.version,
            "entities": {kind: dict(by_name) for kind, by_name in entities},
            "changed_at": changed_at,
            "change_ids": dict(self.versions_by_change_id),
        }

    @classmethod
    def from_snapshot(cls, snapshot):
        """Create a document from the result of :meth:`to_snapshot`."""
        doc = cls()
        doc.apply_snapshot(snapshot)
        return doc

    def apply_snapshot(self, snapshot):
        """Replace the content by that of a snapshot if it is newer.

        :returns: whether the snapshot was applied
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
        """Return a snapshot with what the agents of a service need.

        It has no customers and only the named service and its bindings.

        :param service: name of the service
        """
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
    """Validate a proposed change against a document.

    :param doc: document that the change would be applied to
    :param change: proposed change
    :returns: ``None`` if the change is valid, else :class:`ChangeFailure`
    """
    if change.kind not in KINDS:
        return ChangeFailure("invalid", f"kind {change.kind!r} is unknown")
    key = (change.kind, change.name)
    conflicting_version = doc.change_versions_by_key.get(key, 0)
    if conflicting_version > change.expected_version:
        detail = (
            f"{change.kind} {change.name!r} was changed by version "
            f"{conflicting_version}"
        )
        return ChangeFailure("conflict", detail, conflicting_version)
    if change.value is None:
        return _check_delete(doc, change)
    return _check_schema(change) or _check_references(doc, change)


def subset_for_service(change, service):
    """Return a change as the agents of a service apply it.

    Agents hold the subset of :meth:`Document.subset`. A change of an entity
    outside the subset is replaced by an empty change with the same version,
    so that the agents' versions have no gap.

    :param change: committed :class:`Change`
    :param service: name of the service
    :returns: the change itself, or an empty :class:`Change`
    """
    if change.kind in ("zone", "server", "model"):
        return change
    if change.kind == "service" and change.name == service:
        return change
    if change.kind == "binding" and change.name.endswith(f":{service}"):
        return change
    empty_change = Change.from_list(change.to_list())
    empty_change.value = None
    empty_change.kind, empty_change.name = "server", "-"
    return empty_change


def _check_schema(change):
    properties, required = _PROPERTIES_AND_REQUIRED_BY_KIND[change.kind]
    schema = {
        "type": "object",
        "additionalProperties": False,
        "properties": properties,
        "required": required,
    }
    validator = jsonschema.Draft202012Validator(schema)
    for error in validator.iter_errors(change.value):
        path = ".".join(str(part) for part in error.path)
        entity = f"{change.kind} {change.name!r}"
        return ChangeFailure("invalid", f"{entity}: {path}: {error.message}")
    return None


def _check_references(doc, change):
    missing = [
        f"{kind} {name!r} does not exist"
        for kind, name in _references(change)
        if doc.get(kind, name) is None
    ]
    if change.kind == "binding":
        value = change.value
        expected_name = f"{value['customer']}:{value['service']}"
        if change.name != expected_name:
            missing.append(f"its name must be {expected_name!r}")
    if not missing:
        return None
    detail = f"{change.kind} {change.name!r}: " + "; ".join(missing)
    return ChangeFailure("invalid", detail)


def _references(change):
    """Return (kind, name) of each entity that the new value refers to."""
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
    referrers = []
    for kind in ("service", "binding"):
        for name, value in doc.entities_by_kind[kind].items():
            referrer = Change(0, "", "", kind, name, value)
            if (change.kind, change.name) in _references(referrer):
                referrers.append(f"{kind} {name!r}")
    if not referrers:
        return None
    detail = f"{change.kind} {change.name!r} is used by " + ", ".join(
        referrers
    )
    return ChangeFailure("invalid", detail)
