"""Convert entities between protocol buffers and plain values."""

from google.protobuf import json_format

from boragetrail.operators import operator_pb2 as pb

__all__ = ["entity_to_value", "value_to_entity"]

# Fields that always stand in a value, whatever they hold.
_DEFAULTS_BY_KIND = {"server": {"drained": False}}


def entity_to_value(entity):
    """Return kind, name and plain value of an entity.

    :param entity: ``operator_pb2.Entity``
    :returns: (kind or ``None``, name, value)
    """
    kind = entity.WhichOneof("value")
    if kind is None:
        return None, entity.name, None
    message = getattr(entity, kind)
    value = json_format.MessageToDict(
        message, preserving_proto_field_name=True
    )
    for name, each in value.items():
        field = message.DESCRIPTOR.fields_by_name[name]
        if field.type == field.TYPE_INT64:
            value[name] = int(each)
    return kind, entity.name, {**_DEFAULTS_BY_KIND.get(kind, {}), **value}


def value_to_entity(kind, name, value):
    """Return an entity; an empty one if the value is ``None``."""
    entity = pb.Entity(name=name)
    if value is not None:
        json_format.ParseDict(value, getattr(entity, kind))
        getattr(entity, kind).SetInParent()
    return entity
