"""Tests of claims of orders in the table service."""

import asyncio

from boragetrail.errors import PlatformFailure
from boragetrail.router.claims import ClaimController
from boragetrail.store import Row
from boragetrail.utils import BackgroundTasks


class MemoryTable:
    """In-memory table that can delay writes and lose replies to writes.

    :ivar lost_replies: number of upcoming writes whose reply is lost
    :ivar delayed_writes: number of upcoming writes that take effect later
    :ivar delayed_puts: puts of each delayed write
    """

    def __init__(self):
        self.rows_by_key = {}
        self.lost_replies = 0
        self.delayed_puts = []
        self.delayed_writes = 0
        self.transactions = 0

    async def transact(self, puts):
        self.transactions += 1
        await asyncio.sleep(0)
        if self.delayed_writes:
            self.delayed_writes -= 1
            self.delayed_puts.append(puts)
            return PlatformFailure("late")
        result = self.write(puts)
        if self.lost_replies:
            self.lost_replies -= 1
            return PlatformFailure("reply lost")
        return result

    def write(self, puts):
        conflicts = {
            put.key: self.row(put.key)
            for put in puts
            if self.row(put.key).version != put.if_version
        }
        if conflicts:
            return PlatformFailure("conflict", False, conflicts)
        for put in puts:
            version = self.row(put.key).version + 1
            self.rows_by_key[put.key] = Row(put.key, version, put.value)
        return [self.row(put.key).version for put in puts]

    async def get(self, key):
        return self.row(key)

    def row(self, key):
        return self.rows_by_key.get(key, Row(key, 0, None))


class TestClaimController:
    """A key is granted to at most one order id."""

    def setup_method(self):
        self.table = MemoryTable()
        self.claims = ClaimController(self.table, BackgroundTasks())

    def claim(self, key, order_id):
        return self.claims.claim(key, {"order_id": order_id}, 0)

    async def test_same_key_twice_in_one_batch_is_granted_once(self):
        granted = await asyncio.gather(
            *[self.claim("k", f"c{n}") for n in range(3)]
        )
        assert [owned for _, owned in granted].count(True) == 1

    async def test_different_claims_of_a_batch_share_a_transaction(self):
        await asyncio.gather(*[self.claim(f"k{n}", "c") for n in range(10)])
        assert self.table.transactions == 1

    async def test_owned_claim_is_recognised_after_a_lost_reply(self):
        self.table.lost_replies = 1
        row, owned = await self.claim("k", "c1")
        assert owned and row.version == 1

    async def test_other_claim_is_recognised_after_a_lost_reply(self):
        await self.claim("k", "other")
        self.table.lost_replies = 1
        row, owned = await self.claim("k", "c1")
        assert not owned and row.value["order_id"] == "other"

    async def test_claim_that_takes_effect_late_is_the_same_claim(self):
        self.table.delayed_writes = 1
        row, owned = await self.claim("k", "c1")
        assert owned
        late = self.table.write(self.table.delayed_puts[0])
        assert isinstance(late, PlatformFailure)

    async def test_claims_fail_at_once_after_a_store_failure(self):
        now = [0.0]
        self.claims.clock = lambda: now[0]
        self.table.delayed_writes = 4
        failure = await self.claim("k", "c1")
        transactions_before = self.table.transactions
        assert isinstance(failure, PlatformFailure)
        assert isinstance(await self.claim("k2", "c2"), PlatformFailure)
        assert self.table.transactions == transactions_before
        now[0] = 1.5
        self.table.delayed_writes = 0
        assert (await self.claim("k2", "c2"))[1]

    async def test_conflict_of_one_leaves_the_others_granted(self):
        await self.claim("k0", "other")
        granted = await asyncio.gather(
            *[self.claim(f"k{n}", "mine") for n in range(3)]
        )
        assert [owned for _, owned in granted] == [False, True, True]
