"""Sessions for calls to other processes, and traces of single calls.

A call says something of the connection that it uses only. A trace therefore
records whether that connection was opened for the call.
"""

import enum

import aiohttp

__all__ = ["CallTrace", "ConnectionUse", "make_session"]


class ConnectionUse(str, enum.Enum):
    """Name the kinds of connections that a call uses."""

    NONE = "none"
    NEW = "new"
    REUSED = "reused"


class CallTrace:
    """Hold what is known of one call.

    :ivar connection: :class:`ConnectionUse`; ``NONE`` until a connection is
        available
    """

    __slots__ = ("connection",)

    def __init__(self):
        self.connection = ConnectionUse.NONE


def make_session():
    """Return an ``aiohttp.ClientSession`` that fills in traces.

    A call gets its :class:`CallTrace` as ``trace_request_ctx``.
    """
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_record_new)
    config.on_connection_reuseconn.append(_record_reused)
    return aiohttp.ClientSession(trace_configs=[config])


async def _record_new(session, context, params):
    _record(context, ConnectionUse.NEW)


async def _record_reused(session, context, params):
    _record(context, ConnectionUse.REUSED)


def _record(context, use):
    trace = context.trace_request_ctx
    if trace is not None:
        trace.connection = use
