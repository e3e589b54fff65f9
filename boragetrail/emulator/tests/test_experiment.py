"""Tests of experiments on fixed load patterns, and of their files."""

import dataclasses
import json
import pathlib

import pytest

from boragetrail.emulator.experiment import load_experiment, run_once
from boragetrail.emulator.report import means_by_policy, write_results

EXAMPLE = "examples/experiments/kowhai.json"


@pytest.fixture
def steady():
    """Return the example experiment, cut to 10 s and without zone outage."""
    loaded, errors = load_experiment(EXAMPLE)
    assert not errors
    return dataclasses.replace(loaded, seconds=10.0, zone_out=None)


class TestRun:
    """Results of the placement policies."""

    def test_same_seed_gives_the_same_results(self, steady):
        assert run_once(steady, "prefix", 4) == run_once(steady, "prefix", 4)

    def test_shared_parts_are_prefilled_by_few_engines(self, steady):
        """Random placement prefills shared parts at almost every engine."""
        prefix = run_once(steady, "prefix", 1)
        random = run_once(steady, "random", 1)
        assert 1.5 * prefix["tokens_read_each"] < random["tokens_read_each"]
        assert prefix["on_time"] >= 0.98

    def test_surge_is_served(self, steady):
        surge = {"factor": 3.0, "from_s": 3.0, "to_s": 6.0}
        run = run_once(dataclasses.replace(steady, surge=surge), "prefix", 1)
        assert run["served"] >= 0.985

    def test_zone_outage_does_not_cause_refusals(self, steady):
        outage = {"zone": "chc-a", "from_s": 3.0, "to_s": 6.0}
        run = run_once(
            dataclasses.replace(steady, zone_out=outage), "prefix", 1
        )
        assert run["served"] >= 0.985 and run["refused"] == 0

    def test_requests_are_refused_if_all_zones_are_out(self, steady):
        outage = {"zone": "one", "from_s": 0.1, "to_s": 30.0}
        no_zone = dataclasses.replace(steady, zones=["one"], zone_out=outage)
        run = run_once(no_zone, "prefix", 1)
        assert run["refused"] > run["asked"]

    def test_many_routers_do_not_overload_one_engine(self, steady):
        """All requests share one prompt, which draws them to one engine.

        Each router knows only part of the engine's load.
        """
        request_class = dataclasses.replace(
            steady.classes[0], subjects=1, rate=80.0
        )
        hot = dataclasses.replace(
            steady,
            classes=[request_class],
            routers=28,
            engines=20,
            seconds=6.0,
        )
        run = run_once(hot, "prefix", 1)
        assert run["over_limit"] <= 0.03
        assert run["on_time"] >= 0.95


class TestFile:
    """Experiment files and result files."""

    def test_errors_name_the_field(self, tmp_path):
        path = tmp_path / "e.json"
        data = json.loads(
            "\n".join(
                line
                for line in pathlib.Path(EXAMPLE).read_text().splitlines()
                if not line.startswith("//")
            )
        )
        for field, value in (
            ("seconds", -1),
            ("policies", ["best"]),
            ("engine", {"speed": 1}),
        ):
            path.write_text(json.dumps({**data, field: value}))
            loaded, errors = load_experiment(path)
            assert loaded is None and field in str(errors[0])

    def test_results_are_written_as_json(self, steady, tmp_path):
        short = dataclasses.replace(steady, seconds=2.0)
        results = [run_once(short, "prefix", seed) for seed in (1, 2)]
        write_results(results, tmp_path / "results.json")
        read = json.loads((tmp_path / "results.json").read_text())
        assert [each["seed"] for each in read] == [1, 2]
        assert set(means_by_policy(read)) == {"prefix"}
