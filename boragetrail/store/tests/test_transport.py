"""Calls to the platform over connections that go silent for good."""

import asyncio
import time

from boragetrail.direct.tests.conftest import free_port
from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import CALL_TIMEOUT_S, call
from boragetrail.utils.calls import make_session
from standins.proxy import FaultProxy
from standins.rowstore import RowStore

POOLED = 4
PROCESSING_S = 0.5
PATH = "/-/rows-get?table=t"


class TestSilentConnections:
    """A silence of all pooled connections costs one timeout at the most."""

    async def test_repeated_call(self):
        # Guards against a timeout for each silent connection of the pool.
        store = RowStore()
        await store.open()
        port = int(store.address.partition(":")[2])
        proxy = FaultProxy(free_port(), port)
        await proxy.open()
        url = f"http://127.0.0.1:{proxy.port}{PATH}"
        async with make_session() as session:
            await asyncio.gather(
                *(call(session, "GET", url) for _ in range(POOLED))
            )
            assert len(proxy.connections) == POOLED
            proxy.drop_traffic()
            started_s = time.monotonic()
            while isinstance(await call(session, "GET", url), PlatformFailure):
                pass
            took_s = time.monotonic() - started_s
        proxy.close()
        await store.close()
        assert took_s < CALL_TIMEOUT_S + PROCESSING_S
