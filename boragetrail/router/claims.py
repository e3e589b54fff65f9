"""Claims of orders in the table service, written in batched transactions."""

import asyncio
import time

from boragetrail.errors import PlatformFailure
from boragetrail.store import Put, Row

__all__ = ["ClaimController", "split_by_unique_key"]

MAX_TRANSACTION_ROWS = 25
BATCH_DELAY_S = 0.003
MAX_CLAIM_ATTEMPTS = 2
# Time after a failure of the table service during which claims fail without
# a call, so that orders do not wait one after another while the table service
# is down.
STORE_BACKOFF_S = 1.0


class _PendingClaim:
    """Hold a claim whose transaction has not finished.

    :ivar put: conditional write of the claim's row
    :ivar result: future of the granted row or the failure
    """

    __slots__ = ("put", "result")

    def __init__(self, put):
        self.put = put
        self.result = asyncio.get_running_loop().create_future()


class ClaimController:
    """Write claims of orders to the table service.

    Claims that arrive within ``BATCH_DELAY_S`` share a transaction.

    :param table: client of the table service
    :param tasks: :class:`~boragetrail.utils.BackgroundTasks`
    :param clock: function that returns monotonic seconds
    """

    def __init__(self, table, tasks, clock=time.monotonic):
        self.table = table
        self.tasks = tasks
        self.clock = clock
        self.store_failed_s = None
        self.pending_claims = []
        self.batch_scheduled = False

    async def claim(self, key, value, if_version):
        """Claim an order by a conditional write of its row.

        If the reply of a successful write was lost, the unique ``order_id``
        in the row shows that the row holds this claim.

        :param key: key of the row
        :param value: new value of the row, with a unique ``order_id``
        :param if_version: version that the row must have, or 0 if the row
            must not exist
        :returns: (:class:`~boragetrail.store.Row`, whether the row holds
            this claim), or :class:`~boragetrail.errors.PlatformFailure`
        """
        if self._is_backing_off():
            detail = f"row {key!r}: the table service failed recently"
            return PlatformFailure(detail, False)
        result = await self._claim(key, value, if_version)
        failed = isinstance(result, PlatformFailure)
        self.store_failed_s = self.clock() if failed else None
        return result

    def _is_backing_off(self):
        if self.store_failed_s is None:
            return False
        return self.clock() - self.store_failed_s < STORE_BACKOFF_S

    async def _claim(self, key, value, if_version):
        failure = None
        for _ in range(MAX_CLAIM_ATTEMPTS):
            result = await self._write(key, value, if_version)
            if not isinstance(result, PlatformFailure):
                return result, True
            row = result.conflicts_by_key.get(key)
            if row is None:
                failure = result
                row = await self.table.get(key)
            if isinstance(row, PlatformFailure):
                return row
            if row.version > if_version:
                owned = row.value["order_id"] == value["order_id"]
                return row, owned
            # The row is unchanged, but the write may still take effect. The
            # retry has the same order_id, so both writes are one claim.
        return failure or PlatformFailure(f"row {key!r}: claim not written")

    async def read(self, key):
        """Return the row of an order.

        :returns: :class:`~boragetrail.store.Row` or
            :class:`~boragetrail.errors.PlatformFailure`
        """
        return await self.table.get(key)

    def release(self, row, value):
        """Write in the background that a claimed order was refused.

        A retry of the order then reads the refusal from the row and does not
        have to query the agent.

        :param row: :class:`~boragetrail.store.Row` with the claim
        :param value: new value of the row
        """
        self.tasks.start(self._release(row, value), "release claim")

    async def _release(self, row, value):
        await self.table.transact_one(row.key, value, row.version)

    async def _write(self, key, value, if_version):
        claim = _PendingClaim(Put(key, value, if_version))
        self.pending_claims.append(claim)
        if not self.batch_scheduled:
            self.batch_scheduled = True
            self.tasks.start(self._send_batches(), "send claim batches")
        return await claim.result

    async def _send_batches(self):
        await asyncio.sleep(BATCH_DELAY_S)
        self.batch_scheduled = False
        claims, self.pending_claims = self.pending_claims, []
        for batch in split_by_unique_key(claims):
            self.tasks.start(self._transact(batch), "transact claims")

    async def _transact(self, batch):
        while batch:
            result = await self.table.transact([claim.put for claim in batch])
            if not isinstance(result, PlatformFailure):
                self._grant(batch, result)
                return
            conflicts = result.conflicts_by_key
            conflicting = [
                claim for claim in batch if claim.put.key in conflicts
            ]
            if not conflicting:
                conflicting = batch
            for claim in conflicting:
                _resolve(claim, result)
            # A transaction with a conflict writes nothing, so the claims
            # without a conflict are written again.
            batch = [claim for claim in batch if claim not in conflicting]

    def _grant(self, batch, versions):
        for claim, version in zip(batch, versions):
            put = claim.put
            _resolve(claim, Row(put.key, version, put.value))


def split_by_unique_key(claims):
    """Divide claims into batches that contain each key at most once.

    A transaction checks all conditions before it writes. Two claims of one
    key in the same transaction would therefore both be granted.

    :returns: list of batches of up to ``MAX_TRANSACTION_ROWS`` claims
    """
    batches = []
    for claim in claims:
        for batch in batches:
            keys = {other.put.key for other in batch}
            if len(batch) < MAX_TRANSACTION_ROWS and claim.put.key not in keys:
                batch.append(claim)
                break
        else:
            batches.append([claim])
    return batches


def _resolve(claim, result):
    if not claim.result.done():
        claim.result.set_result(result)
