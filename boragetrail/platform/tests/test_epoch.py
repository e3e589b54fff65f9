"""Tests of the epoch that the store's responses name."""

import pytest

from boragetrail.platform.store import PlatformStoreClient


class TestEpoch:
    """Epochs that rise, go back, or cannot be read."""

    def record(self, *texts):
        """Return the epoch after responses that name some epochs."""
        client = PlatformStoreClient(None, "127.0.0.1:1")
        for text in texts:
            client._record_epoch(text)
        return client.epoch

    def test_epoch_rises(self):
        assert self.record("1", None, "3") == 3

    def test_epoch_never_goes_back(self):
        assert self.record("3", "2") == 3

    @pytest.mark.parametrize("text", ["", "-1", "x", "1.5", "²", "9" * 400])
    def test_invalid_epoch_is_ignored(self, text):
        assert self.record("2", text) == 2
