"""Conversion of entities between protocol buffers and dictionaries."""

from google.protobuf import json_format

from boragetrail.operators import operator_pb2 as pb

__all__ = ["entity_to_value", "value_to_entity"]

# Default values of required fields, because MessageToDict omits fields with
# their default value.
_DEFAULTS_BY_KIND = {"server": {"drained": False}}


def entity_to_value(entity):
    """Convert an entity to the form in the configuration document.

    :param entity: ``operator_pb2.Entity``
    :returns: (kind, name, dictionary of the fields); kind and dictionary are
        ``None`` if the entity sets none of the kinds of its ``oneof``
    """
    kind = entity.WhichOneof("value")
    if kind is None:
        return None, entity.name, None
    message = getattr(entity, kind)
    value = json_format.MessageToDict(
        message, preserving_proto_field_name=True
    )
    for name, field_value in value.items():
        field = message.DESCRIPTOR.fields_by_name[name]
        if field.type == field.TYPE_INT64:
            value[name] = int(field_value)
    return kind, entity.name, {**_DEFAULTS_BY_KIND.get(kind, {}), **value}


def value_to_entity(kind, name, value):
    """Convert an entity of the configuration document to a message.

    :param value: dictionary of the fields, or ``None`` for an entity that has
        only a name
    :returns: ``operator_pb2.Entity``
    :raises AttributeError: if the kind does not exist
    :raises json_format.ParseError: if a field does not exist or has a wrong
        type
    """
    entity = pb.Entity(name=name)
    if value is not None:
        json_format.ParseDict(value, getattr(entity, kind))
        getattr(entity, kind).SetInParent()
    return entity
