"""A router fleet for very many returning chats."""

import importlib

__version__ = "0.1.0"

_MODULES_BY_NAME = {
    "Change": "boragetrail.configuration",
    "Document": "boragetrail.configuration",
    "Event": "boragetrail.events",
    "Failure": "boragetrail.errors",
    "Freshness": "boragetrail.configuration",
    "History": "boragetrail.configuration",
    "AffinityPlacement": "boragetrail.policy",
    "Ledger": "boragetrail.orders",
    "MeanMultipleCap": "boragetrail.policy",
    "OrderState": "boragetrail.orders",
    "Executed": "boragetrail.reasons",
    "Reason": "boragetrail.reasons",
    "Refusal": "boragetrail.errors",
    "Ticket": "boragetrail.orders",
}

__all__ = sorted(_MODULES_BY_NAME)


def __getattr__(name):
    # Lazy, so that a process imports only the modules that its role uses.
    if name in _MODULES_BY_NAME:
        return getattr(importlib.import_module(_MODULES_BY_NAME[name]), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
