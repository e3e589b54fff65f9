"""Property tests of epochs, retained rows and saved reports of crashes."""

import random

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from boragetrail.direct.interfaces import ChangeSet, Row
from boragetrail.direct.knowledge.crasharchive import CrashArchive
from boragetrail.direct.knowledge.epochs import RetainedRow, RowPosition
from boragetrail.direct.mirror import Mirror
from boragetrail.direct.recordmessages import pack_records, unpack_records
from boragetrail.direct.relay import decode_changes, encode_changes
from boragetrail.platform.store import PlatformStoreClient
from boragetrail.policy.quarantine import PromptQuarantine
from standins.clock import ManualClock

KEYS = st.sampled_from("abc")
VERSIONS = st.integers(0, 9)
DATA = st.none() | st.sampled_from([b"1", b"2"])
ROWS = st.lists(st.builds(Row, KEYS, VERSIONS, DATA), max_size=4)
RETAINED = st.none() | st.lists(
    st.builds(RetainedRow, KEYS, VERSIONS, DATA, st.integers(-1, 9)),
    max_size=3,
)
CHANGES = st.builds(
    ChangeSet,
    ROWS,
    VERSIONS,
    st.booleans(),
    st.none() | st.integers(0, 3),
    RETAINED,
)


class TestEpochHeader:
    """Texts that the store may name as its epoch."""

    @given(st.lists(st.text(max_size=30) | st.integers().map(str)))
    def test_epoch_never_goes_back(self, texts):
        client = PlatformStoreClient(None, "127.0.0.1:1")
        epoch = 0
        for text in texts:
            client._record_epoch(text)
            assert client.epoch >= epoch
            epoch = client.epoch


class TestChangeSets:
    """Change sets of any epochs, in any order."""

    @given(st.lists(CHANGES, max_size=8))
    def test_mirror_stays_consistent(self, change_sets):
        mirror = Mirror()
        for changes in change_sets:
            epoch = mirror.epoch
            was_read = mirror.version >= 0
            changed = mirror.apply(changes)
            assert mirror.epoch >= epoch or not was_read
            for row in changed:
                known = mirror.rows_by_key.get(row.key)
                assert (
                    known is None
                    or known.data == row.data
                    or (sum(each.key == row.key for each in changed) > 1)
                )
            assert set(mirror.retained.copies_by_key) <= set(
                mirror.rows_by_key
            )
            for position in (mirror.position(), RowPosition(-1, 9)):
                sent = encode_changes(mirror.since(position))
                assert isinstance(decode_changes(sent), ChangeSet)

    @given(st.lists(CHANGES, max_size=8))
    def test_end_of_retention_leaves_the_rows_of_the_store(self, change_sets):
        mirror = Mirror()
        for changes in change_sets:
            mirror.apply(changes)
        mirror.end_retention(lambda key: False)
        assert not mirror.retained
        assert mirror.end_retention(lambda key: False) == []


class TestSavedCrashes:
    """Rows of reports that another writer may have left."""

    @given(
        st.binary(max_size=200)
        | st.recursive(
            st.none() | st.integers() | st.text() | st.binary(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        ).map(cbor2.dumps)
    )
    def test_decoding(self, data):
        clock = ManualClock(100.0)
        quarantine = PromptQuarantine(
            clock, random.Random(1), lambda held, released: None
        )
        client = PlatformStoreClient(None, "127.0.0.1:1")
        codec = (pack_records, unpack_records)
        archive = CrashArchive(quarantine, client, "r", codec, clock)
        for report in archive._decoded(data, 0.0):
            quarantine.add_crash(report)
