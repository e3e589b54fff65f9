"""Tests of what routers save in the store."""

import aiohttp
import pytest

from boragetrail.direct.interfaces import SavedVersions
from boragetrail.platform import PlatformStoreClient
from boragetrail.platform.names import STREAMS_TABLE, VERSIONS_TABLE
from standins.rowstore import RowStore


@pytest.fixture
async def store():
    """A store, its client and no rows."""
    rows = RowStore()
    await rows.open()
    async with aiohttp.ClientSession() as session:
        yield rows, PlatformStoreClient(session, rows.address)
    await rows.close()


class TestSavedVersions:
    """Versions in service are read as they were saved."""

    async def test_saved_row(self, store):
        _, client = store
        saved = SavedVersions(["v2"], {"v1": 5000.0})
        assert await client.save_versions("chat", saved)
        read = await client.read_versions()
        assert read["chat"].listed == ["v2"]
        assert read["chat"].gone_ms_by_version == {"v1": 5000.0}
        assert read["chat"].now_ms > 0

    async def test_row_that_changed_since_is_not_replaced(self, store):
        _, client = store
        assert await client.save_versions("chat", SavedVersions(["v1"]))
        assert not await client.save_versions("chat", SavedVersions(["v2"]))
        read = (await client.read_versions())["chat"]
        assert read.listed == ["v1"]

    @pytest.mark.parametrize(
        "row",
        ["junk", 7, {}, {"listed": 5, "gone": {}}, {"listed": [], "gone": 1}],
    )
    async def test_invalid_row_is_skipped(self, store, row):
        rows, client = store
        rows.put(VERSIONS_TABLE, "chat", row)
        assert await client.read_versions() == {}


class TestSavedStreams:
    """Origins of streams are read as they were saved."""

    async def test_saved_rows(self, store):
        _, client = store
        streams = {"v1": [1, 2**64 - 1], "v2": [3]}
        assert await client.save_streams("10.0.0.1/0", streams)
        assert await client.save_streams("10.0.0.1/1", {"v2": [4]})
        assert sorted(await client.read_streams()) == [
            (1, "v1"),
            (3, "v2"),
            (4, "v2"),
            (2**64 - 1, "v1"),
        ]

    @pytest.mark.parametrize("row", ["junk", 7, [], {"v1": 5}, {"v1": "AAA"}])
    async def test_invalid_row_is_skipped(self, store, row):
        rows, client = store
        rows.put(STREAMS_TABLE, "10.0.0.1/0", row)
        assert await client.read_streams() == []
