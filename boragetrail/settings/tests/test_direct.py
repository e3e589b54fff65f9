"""Tests of the settings of direct routers."""

import json
import pathlib
import re

from boragetrail.settings import load_any_settings, load_direct_settings

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "direct-router.json"
TEMPLATE = ROOT / "deploy" / "router.json"
PLACEHOLDER = re.compile(r"\{\{([A-Za-z.0-9]+)(\|json)?\}\}")
# Values that the platform fills into the deployment template.
VALUES_BY_PLACEHOLDER = {
    "nodeName": "edge-a-1",
    "zone": "a",
    "ip": "10.1.0.40",
    "portRange.0": 7340,
    "listen.frontend": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "platform.address": "10.200.1.7:8223",
    "seeds": ["10.1.0.40:8229", "10.2.0.29:8229"],
    "firstStart": True,
    "limits.linkMbps": 5,
    "bounds.retryRatio": 0.2,
    "bounds.retryWindowS": 10,
    "bounds.retryExtra": 52,
    "bounds.coldFactor": 1.5,
    "bounds.coldMargin": 5,
    "bounds.graceS": 8,
    "invariants": ["base", "platform"],
}
ROLLOUT_VALUES = {
    "bounds.exposureRatio": 0.1,
    "bounds.exposureMargin": 50,
    "bounds.rollbackMs": 5000,
}
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def fill_template(values):
    """Return the text of the deployment template with its values.

    :param values: values by placeholder
    """

    def fill(match):
        value = values[match[1]]
        return json.dumps(value) if match[2] else str(value)

    text = SECTION.sub(
        lambda match: match[2] if match[1] in values else "",
        TEMPLATE.read_text(),
    )
    return PLACEHOLDER.sub(fill, text)


class TestDirectSettings:
    """Valid settings files are loaded; errors name the invalid key."""

    def test_example(self):
        settings, errors = load_any_settings(EXAMPLE)
        assert errors == []
        assert settings.role == "direct"
        assert settings.seed_hosts == ["127.0.0.2"]

    def test_filled_deployment_template(self, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text(fill_template(VALUES_BY_PLACEHOLDER))
        settings, errors = load_direct_settings(path)
        assert errors == []
        assert settings.gossip == "10.1.0.40:7340"
        assert settings.seed_hosts == ["10.1.0.40", "10.2.0.29"]
        assert settings.first_start
        assert settings.rollout is None

    def test_template_of_a_deployment_with_rollouts(self, tmp_path):
        path = tmp_path / "node.yaml"
        values = {**VALUES_BY_PLACEHOLDER, **ROLLOUT_VALUES}
        path.write_text(fill_template(values))
        settings, errors = load_direct_settings(path)
        assert errors == []
        assert settings.rollout.exposure_margin == 50
        assert settings.rollout.rollback_s == 5.0

    def test_error_names_the_field(self, tmp_path):
        path = tmp_path / "bad.json"
        text = EXAMPLE.read_text().replace('"grace_s": 8', '"grace_s": 0')
        path.write_text(text)
        settings, (error,) = load_direct_settings(path)
        assert settings is None
        assert error.path == "grace_s"

    def test_file_that_is_not_json(self, tmp_path):
        path = tmp_path / "bad.json"
        path.write_bytes(b"\xff{")
        _, (error,) = load_any_settings(path)
        assert "is not JSON" in error.message
