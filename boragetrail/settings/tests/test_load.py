"""Tests of the settings of routers and agents."""

import pathlib

import pytest
from typer.testing import CliRunner

from boragetrail.cli import app
from boragetrail.settings import load_any_settings, load_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class TestSettings:
    """Settings files are validated; errors name the invalid keys."""

    @pytest.mark.parametrize(
        "path", sorted(EXAMPLES.glob("*.json")), ids=lambda path: path.name
    )
    def test_examples_are_valid(self, path):
        settings, errors = load_any_settings(str(path))
        assert not errors
        assert settings.name

    def test_errors_name_their_keys(self, tmp_path):
        path = tmp_path / "bad.json"
        path.write_text(
            '{"role": "router", "name": "r", "zone": "z", "speed": 1, // no\n'
            ' "listen": {"callers": "here"}, "platform": {}}'
        )
        result = CliRunner().invoke(app, ["check", str(path)])
        assert result.exit_code == 2
        assert "listen.callers" in result.output
        assert "'speed'" in result.output

    def test_token_comes_from_the_environment(self, monkeypatch):
        monkeypatch.setenv("BORAGETRAIL_OPERATOR_TOKEN", "from-outside")
        settings, _ = load_settings(str(EXAMPLES / "kowhai-router.json"))
        assert settings.operator_token == "from-outside"
