"""Tests of the configuration document."""

import pytest

from boragetrail.configuration import Change, Document, check_change
from boragetrail.configuration import subset_for_service


def proposed_change(doc, kind, name, value, expected=None, change_id="c"):
    expected = doc.version if expected is None else expected
    return Change(0, change_id, "op", kind, name, value, expected)


def commit(doc, kind, name, value):
    proposed = proposed_change(
        doc, kind, name, value, change_id=f"c{doc.version}"
    )
    assert check_change(doc, proposed) is None
    proposed.version = doc.version + 1
    assert doc.apply(proposed)


@pytest.fixture
def doc():
    doc = Document()
    commit(doc, "zone", "z1", {"state": "in"})
    commit(doc, "service", "s", {"kind": "application", "zones": ["z1"]})
    commit(doc, "customer", "c1", {"key_sha256": "0" * 64})
    return doc


class TestDocument:
    """Each change increments the version, which never decreases."""

    def test_versions_never_revert_or_skip(self, doc):
        reverting = Change(2, "x", "op", "zone", "z1", {"state": "out"})
        skipping = Change(9, "x", "op", "zone", "z1", {"state": "out"})
        assert not doc.apply(reverting) and not doc.apply(skipping)
        assert not doc.zone_is_out("z1")

    def test_older_snapshot_changes_nothing(self, doc):
        old = doc.to_snapshot()
        commit(doc, "zone", "z1", {"state": "out"})
        assert not doc.apply_snapshot(old)
        assert doc.zone_is_out("z1")

    def test_snapshot_round_trip(self, doc):
        copy = Document.from_snapshot(doc.to_snapshot())
        assert copy.to_snapshot() == doc.to_snapshot()

    def test_subset_omits_other_services_and_all_customers(self, doc):
        commit(doc, "binding", "c1:s", {"customer": "c1", "service": "s"})
        subset = doc.subset("other")["entities"]
        assert not subset["service"] and not subset["binding"]
        assert not subset["customer"] and subset["zone"]

    def test_unrelated_change_is_emptied_and_keeps_its_version(self, doc):
        proposed = proposed_change(
            doc, "customer", "c2", {"key_sha256": "1" * 64}
        )
        proposed.version = doc.version + 1
        empty_change = subset_for_service(proposed, "s")
        assert (
            empty_change.version == proposed.version
            and empty_change.value is None
        )


class TestCheckChange:
    """Proposed changes that conflict or are invalid are refused."""

    def test_conflict_names_the_newer_version(self, doc):
        read_version = doc.version
        commit(doc, "zone", "z1", {"state": "out"})
        failure = check_change(
            doc,
            proposed_change(doc, "zone", "z1", {"state": "in"}, read_version),
        )
        assert (failure.kind, failure.version) == (
            "conflict",
            read_version + 1,
        )

    def test_change_of_another_entity_is_no_conflict(self, doc):
        read_version = doc.version
        commit(doc, "zone", "z1", {"state": "out"})
        proposed = proposed_change(
            doc, "zone", "z2", {"state": "in"}, read_version
        )
        assert check_change(doc, proposed) is None

    @pytest.mark.parametrize(
        "kind, name, value, text",
        [
            ("zone", "z1", {"state": "sideways"}, "sideways"),
            ("service", "t", {"kind": "model", "zones": ["z9"]}, "'z9'"),
            ("service", "t", {"kind": "model", "zones": []}, "zones"),
            ("binding", "c1:s", {"customer": "c9", "service": "s"}, "'c9'"),
            ("binding", "x", {"customer": "c1", "service": "s"}, "'c1:s'"),
            ("zone", "z1", None, "service 's'"),
            ("zone", "z7", None, "does not exist"),
        ],
    )
    def test_failure_describes_the_invalid_change(
        self, doc, kind, name, value, text
    ):
        failure = check_change(doc, proposed_change(doc, kind, name, value))
        assert failure.kind == "invalid"
        assert text in failure.detail
