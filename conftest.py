"""Mark the tests that KNOWN-RED.txt lists as expected failures."""

import pathlib

import hypothesis
import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
PREFIX = "test: "
FUZZ_EXAMPLES = 2000

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile(
    "fuzz", max_examples=FUZZ_EXAMPLES, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


def known_failures():
    """Return the listed tests, each the end of a node id."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return [
        line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)
    ]


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures; they still run."""
    listed = known_failures()
    for item in items:
        if any(item.nodeid.endswith(name) for name in listed):
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for name in known_failures():
        terminalreporter.write_line(f"known red, passed over: {name}")
