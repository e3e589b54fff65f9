"""Fixtures: a store and its client."""

import aiohttp
import pytest

from boragetrail.platform import PlatformStoreClient
from standins.rowstore import RowStore


@pytest.fixture
async def store():
    """A store without rows, and its client."""
    rows = RowStore()
    await rows.open()
    async with aiohttp.ClientSession() as session:
        yield rows, PlatformStoreClient(session, rows.address)
    await rows.close()
