"""Tests that jumps of the wall clock do not affect a router."""

import ast
import itertools
import pathlib
import time

import pytest

import boragetrail
from boragetrail.direct.tests.conftest import configuration

ROOT = pathlib.Path(boragetrail.__file__).parent
FOLDERS = ("direct", "policy", "platform", "settings", "utils")
WALL_CLOCK_FUNCTIONS = {
    "time",
    "time_ns",
    "localtime",
    "gmtime",
    "ctime",
    "strftime",
}


def wall_clock_lines(tree):
    """Return the numbers of the lines that may read the wall clock."""
    return [
        node.lineno
        for node in ast.walk(tree)
        if (
            isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id == "time"
            and node.attr in WALL_CLOCK_FUNCTIONS
        )
        or (isinstance(node, ast.ImportFrom) and node.module == "datetime")
        or (
            isinstance(node, ast.Import)
            and any(each.name == "datetime" for each in node.names)
        )
    ]


class TestSources:
    """The modules of a direct router do not read the wall clock."""

    def test_no_module_reads_the_wall_clock(self):
        for folder in FOLDERS:
            for path in (ROOT / folder).rglob("*.py"):
                if "tests" not in path.parts:
                    tree = ast.parse(path.read_text())
                    assert not wall_clock_lines(tree), path

    def test_reads_of_the_wall_clock_are_found(self):
        for text in (
            "import time\ntime.time()",
            "import datetime",
            "from datetime import datetime",
        ):
            assert wall_clock_lines(ast.parse(text))


class TestWallClockSteps:
    """The wall clock jumps forward or back between successive readings."""

    @pytest.mark.parametrize("step_s", [3600.0, -3600.0])
    async def test_requests_and_changes_continue(
        self, cluster, monkeypatch, step_s
    ):
        daemon = await cluster.add_router()
        true_time = time.time
        offsets_s = itertools.cycle([0.0, step_s])
        monkeypatch.setattr(
            time, "time", lambda: true_time() + next(offsets_s)
        )
        assert (await cluster.call(daemon, "/order/1"))[0] == 200
        cluster.store.put("op", "config", configuration(2))
        await cluster.until(
            lambda: daemon.directory.configuration.version == 2
        )
        cluster.store.put("op", "evacuate/z1", {})
        await cluster.until(lambda: "z1" in daemon.directory.evacuated_zones)
        cluster.store.remove("op", "evacuate/z1")
        await cluster.until(lambda: not daemon.directory.evacuated_zones)
        assert (await cluster.call(daemon, "/order/2"))[0] == 200
        assert daemon.is_ready()
