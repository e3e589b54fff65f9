"""Claims of orders in the table service, gathered into transactions."""

import asyncio
import time

from boragetrail.errors import PlatformFailure
from boragetrail.store import Put, Row

__all__ = ["ClaimController", "distinct_batches"]

BATCH_ROWS = 25
GATHER_S = 0.003
CLAIM_TRIES = 2
# Seconds for which a store that failed is not asked for claims.
AVOID_STORE_S = 1.0


class _Waiting:
    """One claim that waits for its transaction."""

    __slots__ = ("put", "result")

    def __init__(self, put):
        self.put = put
        self.result = asyncio.get_running_loop().create_future()


class ClaimController:
    """Own the claims that are on their way to the table service.

    :param table: client of the table service
    :param tasks: :class:`~boragetrail.utils.TaskGroup`
    :param clock: function that returns monotonic seconds
    """

    def __init__(self, table, tasks, clock=time.monotonic):
        self.table = table
        self.tasks = tasks
        self.clock = clock
        self.failed_s = None
        self.waiting = []
        self.gathering = False

    async def claim(self, key, value, if_version):
        """Claim a row and recognise the own claim after a lost answer.

        :param value: what the row shall hold; ``order_id`` is unique
        :param if_version: version that the row must have, 0 for absent
        :returns: (:class:`Row`, whether the claim is the own one), or
            :class:`PlatformFailure`
        """
        if self._store_failed_just_now():
            detail = f"row {key!r}: the store failed a moment ago"
            return PlatformFailure(detail, False)
        result = await self._claim(key, value, if_version)
        failed = isinstance(result, PlatformFailure)
        self.failed_s = self.clock() if failed else None
        return result

    def _store_failed_just_now(self):
        # Orders need not wait one after another for a store that is down.
        if self.failed_s is None:
            return False
        return self.clock() - self.failed_s < AVOID_STORE_S

    async def _claim(self, key, value, if_version):
        failure = None
        for _ in range(CLAIM_TRIES):
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
                own = row.value["order_id"] == value["order_id"]
                return row, own
            # The row is as it was, yet the write may still take effect. It
            # is repeated with the same id, so that both are one claim.
        return failure or PlatformFailure(f"row {key!r} cannot be claimed")

    async def read(self, key):
        """Return the row of an order, or a failure."""
        return await self.table.get(key)

    def release(self, row, value):
        """Mark a claim as refused, so that a repeat need not ask."""
        self.tasks.start(self._release(row, value), "release claim")

    async def _release(self, row, value):
        await self.table.transact_one(row.key, value, row.version)

    async def _write(self, key, value, if_version):
        waiting = _Waiting(Put(key, value, if_version))
        self.waiting.append(waiting)
        if not self.gathering:
            self.gathering = True
            self.tasks.start(self._gather(), "gather claims")
        return await waiting.result

    async def _gather(self):
        await asyncio.sleep(GATHER_S)
        self.gathering = False
        waiting, self.waiting = self.waiting, []
        for batch in distinct_batches(waiting):
            self.tasks.start(self._transact(batch), "transact claims")

    async def _transact(self, batch):
        while batch:
            result = await self.table.transact([each.put for each in batch])
            if not isinstance(result, PlatformFailure):
                self._claimed(batch, result)
                return
            conflicts = result.conflicts_by_key
            hit = [each for each in batch if each.put.key in conflicts]
            if not hit:
                hit = batch
            for each in hit:
                _resolve(each, result)
            # The others did not conflict and nothing was written.
            batch = [each for each in batch if each not in hit]

    def _claimed(self, batch, versions):
        for each, version in zip(batch, versions):
            put = each.put
            _resolve(each, Row(put.key, version, put.value))


def distinct_batches(waiting):
    """Divide claims into batches in which no key stands twice.

    Both conditions of two claims of one key would hold before either is
    written, so one transaction would grant both.
    """
    batches = []
    for each in waiting:
        for batch in batches:
            keys = {other.put.key for other in batch}
            if len(batch) < BATCH_ROWS and each.put.key not in keys:
                batch.append(each)
                break
        else:
            batches.append([each])
    return batches


def _resolve(waiting, result):
    if not waiting.result.done():
        waiting.result.set_result(result)
