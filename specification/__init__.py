"""Formal models of the protocol, whose properties are checked with z3."""

from specification.checker import Model, find_trace, prove
from specification.orders import ORDER_WEAKENINGS, order_model
from specification.tickets import TICKET_WEAKENINGS, ticket_model
from specification.versions import VERSION_WEAKENINGS, version_model

__all__ = [
    "Model",
    "ORDER_WEAKENINGS",
    "TICKET_WEAKENINGS",
    "VERSION_WEAKENINGS",
    "find_trace",
    "order_model",
    "prove",
    "ticket_model",
    "version_model",
]
