"""Sessions for calls to other processes, and traces of single calls.

Connections may go silent for good while new ones work. A call without a
response says something of its own connection only, so a session uses no
connection again that has been idle for as long as a call may wait, and a trace
records whether the connection of a call was opened for it.
"""

import enum

import aiohttp

from boragetrail.utils.responses import BoundedConnector

__all__ = ["MAX_IDLE_S", "CallTrace", "ConnectionUse", "make_session"]

# Longest idle time of a connection that is used again. It is shorter than the
# timeout of any call, so that a call that is repeated after a timeout uses no
# connection from before.
MAX_IDLE_S = 0.5


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
    connector = BoundedConnector(keepalive_timeout=MAX_IDLE_S)
    return aiohttp.ClientSession(connector=connector, trace_configs=[config])


async def _record_new(session, context, params):
    _record(context, ConnectionUse.NEW)


async def _record_reused(session, context, params):
    _record(context, ConnectionUse.REUSED)


def _record(context, use):
    trace = context.trace_request_ctx
    if trace is not None:
        trace.connection = use
