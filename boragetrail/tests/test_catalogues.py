"""Tests of the catalogues of events and reasons, and of their pages."""

import pathlib

from boragetrail.events import Event, events_markdown
from boragetrail.reasons import Reason, reasons_markdown

DOCS = pathlib.Path(__file__).parents[2] / "docs"


class TestCatalogues:
    """Pages and uniqueness of the events and reasons."""

    def test_events_page(self):
        assert (DOCS / "EVENTS.md").read_text() == events_markdown()

    def test_reasons_page(self):
        assert (DOCS / "REASONS.md").read_text() == reasons_markdown()

    def test_numbers_and_codes_are_distinct(self):
        numbers = [event.number for event in Event]
        codes = [reason.code for reason in Reason]
        assert len(set(numbers)) == len(numbers)
        assert len(set(codes)) == len(codes)
