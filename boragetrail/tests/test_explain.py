"""Tests of explaining failed requests from logs."""

import json

from typer.testing import CliRunner

from boragetrail.cli import app
from boragetrail.explain import count_failures, read_logs, tell_story


def log_line(time_s, event, **fields):
    """Return one line of a log."""
    data = {"t": time_s, "event": event, "level": "INFO", "text": event}
    return json.dumps({**data, **fields})


class TestExplain:
    """One request that two routers wrote of, and noise."""

    def prepare(self, folder):
        """Write the logs of two routers."""
        first = [
            log_line(10.0, "E205", request="a", server="s1"),
            log_line(10.2, "E201", request="a", server="s1", code="deadline"),
            log_line(10.3, "E200", request="b", server="s2"),
            "no line of a log",
            "[1]",
            '{"t": null, "event": 1, "text": ""}',
        ]
        second = [
            log_line(9.0, "E201", request="a", server="", code="no-server"),
            log_line(99.0, "E201", request="c", server="s1", code="deadline"),
        ]
        (folder / "r1.log").write_text("\n".join(first))
        (folder / "r2.log").write_text("\n".join(second))
        return folder

    def test_lines_of_all_routers_in_order(self, tmp_path):
        lines = read_logs(self.prepare(tmp_path))
        assert [line.time_s for line in lines] == [9.0, 10.0, 10.2, 10.3, 99.0]
        assert lines[0].router == "r2"

    def test_story_begins_with_the_cause(self, tmp_path):
        story = tell_story(read_logs(self.prepare(tmp_path)), "a")
        assert [line.event for line in story] == ["E201", "E201", "E205"]
        assert tell_story(story, "unknown") == []

    def test_failures_of_a_time(self, tmp_path):
        lines = read_logs(self.prepare(tmp_path))
        assert count_failures(lines, 9.5, 50.0) == {
            ("deadline", "s1", "r1"): 1
        }
        assert sum(count_failures(lines).values()) == 3

    def test_commands(self, tmp_path):
        folder = str(self.prepare(tmp_path))
        told = CliRunner().invoke(app, ["explain", "a", "--logs", folder])
        assert told.exit_code == 0
        assert "deadline" in told.stdout.splitlines()[1]
        counted = CliRunner().invoke(app, ["failures", folder])
        assert counted.exit_code == 0
        assert "no-server" in counted.stdout
        unknown = CliRunner().invoke(app, ["explain", "x", "--logs", folder])
        assert unknown.exit_code == 1
        neither = CliRunner().invoke(app, ["explain", "a"])
        assert neither.exit_code != 0

    def test_knowledge(self):
        told = CliRunner().invoke(app, ["knowledge", "--routers", "3"])
        assert told.exit_code == 0
        assert "datagrams" in told.stdout
