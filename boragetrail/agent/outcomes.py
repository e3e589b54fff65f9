"""Write the outcomes of claimed orders to the table service in batches."""

import asyncio
import base64

from boragetrail.errors import PlatformFailure
from boragetrail.events import Event, log_event
from boragetrail.orders.state import OrderState
from boragetrail.store import Put

__all__ = ["OutcomeWriter", "outcome_value"]

# Rows in one transaction.
MAX_TRANSACTION_ROWS = 25
# Seconds to gather a batch.
BATCH_DELAY_S = 0.01
RETRY_S = 1.0
# Largest answer that is kept in the table; a larger one stays with its
# agent, and only its status is kept.
MAX_STORED_BODY_BYTES = 48 * 1024


def outcome_value(attempt):
    """Return what the row of a claimed order holds after its end."""
    stream = attempt.stream
    body = None
    if attempt.entry.state == OrderState.FINISHED:
        if stream.total <= MAX_STORED_BODY_BYTES:
            body = base64.b64encode(bytes(stream.buffer)).decode()
    return {
        "state": attempt.entry.state.value,
        "order_id": attempt.entry.key,
        "digest": attempt.entry.digest.hex(),
        "status": stream.status,
        "headers": [list(pair) for pair in stream.headers],
        "body": body,
    }


class OutcomeWriter:
    """Own the outcomes that are not yet written.

    :param table: client of the table service
    :param server: name of the backend server, kept in the rows
    :param incarnation: incarnation of the agent, kept in the rows
    """

    def __init__(self, table, server, incarnation):
        self.table = table
        self.server = server
        self.incarnation = incarnation
        self.queue = asyncio.Queue()
        self.pending = 0

    def add(self, attempt):
        """Queue the outcome of an order that has a row."""
        dispatch = attempt.dispatch
        if not dispatch.row_key:
            return
        value = outcome_value(attempt)
        value["server"] = self.server
        value["incarnation"] = self.incarnation
        self.pending += 1
        put = Put(dispatch.row_key, value, dispatch.row_version)
        self.queue.put_nowait(put)

    async def run(self):
        """Write batches until cancelled."""
        while True:
            batch = [await self.queue.get()]
            await asyncio.sleep(BATCH_DELAY_S)
            while len(batch) < MAX_TRANSACTION_ROWS and not self.queue.empty():
                batch.append(self.queue.get_nowait())
            await self._write(batch)
            self.pending -= len(batch)

    async def _write(self, puts):
        while puts:
            result = await self.table.transact(puts)
            if not isinstance(result, PlatformFailure):
                return
            if result.conflicts_by_key:
                # A conflicting row was completed before, perhaps by a write
                # of this loop whose answer was lost.
                conflicts = result.conflicts_by_key
                puts = [put for put in puts if put.key not in conflicts]
                continue
            log_event(Event.STORE_FAILED, detail=result.detail)
            await asyncio.sleep(RETRY_S)
