"""Outcomes of claimed orders, written in batches to the table service."""

import asyncio
import base64

from boragetrail.errors import PlatformFailure
from boragetrail.events import Event, log_event
from boragetrail.orders.state import OrderState
from boragetrail.store import Put

__all__ = ["OutcomeWriter", "outcome_value"]

MAX_TRANSACTION_ROWS = 25
BATCH_DELAY_S = 0.01
RETRY_PAUSE_S = 1.0
# Limit on the body of an answer that is written to the table. The row of a
# larger answer has no body; the agent keeps the body.
MAX_STORED_BODY_BYTES = 48 * 1024


def outcome_value(attempt):
    """Return the row value that describes the outcome of a claimed order.

    :param attempt: ended :class:`~boragetrail.agent.attempt.Attempt`
    """
    stream = attempt.stream
    body = None
    if attempt.entry.state == OrderState.FINISHED:
        if stream.length <= MAX_STORED_BODY_BYTES:
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
    """Write the outcomes of claimed orders in the background.

    :param table: client of the table service
    :param server: name of the backend server, written to the rows
    :param incarnation: incarnation of the agent, written to the rows

    :ivar pending_count: number of outcomes that are not yet written
    """

    def __init__(self, table, server, incarnation):
        self.table = table
        self.server = server
        self.incarnation = incarnation
        self.queue = asyncio.Queue()
        self.pending_count = 0

    def add(self, attempt):
        """Queue the outcome of an order if the order was claimed."""
        dispatch = attempt.dispatch
        if not dispatch.row_key:
            return
        value = outcome_value(attempt)
        value["server"] = self.server
        value["incarnation"] = self.incarnation
        self.pending_count += 1
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
            self.pending_count -= len(batch)

    async def _write(self, puts):
        while puts:
            result = await self.table.transact(puts)
            if not isinstance(result, PlatformFailure):
                return
            if result.conflicts_by_key:
                # A row with a conflict already holds an outcome, perhaps from
                # an earlier write whose reply was lost.
                conflicts = result.conflicts_by_key
                puts = [put for put in puts if put.key not in conflicts]
                continue
            log_event(Event.STORE_FAILED, detail=result.detail)
            await asyncio.sleep(RETRY_PAUSE_S)
