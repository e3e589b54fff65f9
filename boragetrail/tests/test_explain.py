"""Tests of the search for causes of failed requests in logs."""

import json

from typer.testing import CliRunner

from boragetrail.cli import app
from boragetrail.explain import count_failures, read_logs, select_request


def log_line(time_s, event, **fields):
    """Return a log line as a JSON string."""
    data = {"t": time_s, "event": event, "level": "INFO", "text": event}
    return json.dumps({**data, **fields})


class TestExplain:
    """Logs of two routers that tried the same request.

    One log also holds lines that are not log events and must be skipped.
    """

    def prepare(self, folder):
        """Write the logs of two routers to a folder; return the folder."""
        first = [
            log_line(10.0, "E205", request="a", server="s1"),
            log_line(10.2, "E201", request="a", server="s1", code="deadline"),
            log_line(10.3, "E200", request="b", server="s2"),
            "not a log line",
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

    def test_lines_of_all_routers_sorted_by_time(self, tmp_path):
        lines = read_logs(self.prepare(tmp_path))
        assert [line.time_s for line in lines] == [9.0, 10.0, 10.2, 10.3, 99.0]
        assert lines[0].router == "r2"

    def test_failures_of_a_request_come_first(self, tmp_path):
        selected = select_request(read_logs(self.prepare(tmp_path)), "a")
        assert [line.event for line in selected] == ["E201", "E201", "E205"]
        assert select_request(selected, "unknown") == []

    def test_failures_between_two_times(self, tmp_path):
        lines = read_logs(self.prepare(tmp_path))
        assert count_failures(lines, 9.5, 50.0) == {
            ("deadline", "s1", "r1"): 1
        }
        assert sum(count_failures(lines).values()) == 3

    def test_explain_and_failures_commands(self, tmp_path):
        folder = str(self.prepare(tmp_path))
        result = CliRunner().invoke(app, ["explain", "a", "--logs", folder])
        assert result.exit_code == 0
        assert "deadline" in result.stdout.splitlines()[1]
        counted = CliRunner().invoke(app, ["failures", folder])
        assert counted.exit_code == 0
        assert "no-server" in counted.stdout
        unknown = CliRunner().invoke(app, ["explain", "x", "--logs", folder])
        assert unknown.exit_code == 1
        neither = CliRunner().invoke(app, ["explain", "a"])
        assert neither.exit_code != 0

    def test_knowledge_command(self):
        result = CliRunner().invoke(app, ["knowledge", "--routers", "3"])
        assert result.exit_code == 0
        assert "datagrams" in result.stdout
