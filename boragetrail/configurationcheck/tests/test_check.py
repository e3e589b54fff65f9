"""Tests of the check of a configuration document."""

import copy
import json

import pytest
from typer.testing import CliRunner

from boragetrail.cli import app
from boragetrail.direct.tests.conftest import KEY, configuration, route
from boragetrail.direct.tests.conftest import service
from boragetrail.platform.configurationfile import read_document


def document(**fields):
    """Return a document without findings, in the operators' format."""
    routes = [route("status", "idempotent"), route("order", "non_idempotent")]
    routes[1]["maxAttempts"] = 1
    return configuration(**{"routes": routes, **fields})


class Check:
    """Base of tests that run the command on files."""

    @pytest.fixture(autouse=True)
    def _folder(self, tmp_path):
        self.folder = tmp_path

    def run(self, content, *arguments):
        """Run the command; return (exit code, output).

        :param content: document, or bytes of a file
        """
        path = self._write("new.json", content)
        result = CliRunner().invoke(
            app, ["check-configuration", path, *arguments]
        )
        assert result.exception is None or isinstance(
            result.exception, SystemExit
        )
        return result.exit_code, result.output

    def _write(self, name, content):
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        path = self.folder / name
        path.write_bytes(content)
        return str(path)


class TestFineDocument(Check):
    """Guard against findings where nothing is wrong."""

    def test_without_findings(self):
        code, output = self.run(document())
        assert code == 0, output
        assert output.endswith("0 errors, 0 warnings, 0 differences\n")

    def test_document_without_customers(self):
        assert self.run(document(tenants=None))[0] == 0

    def test_shares_of_a_route(self):
        made = document(services=[service("apps"), service("new")])
        made["routes"][0]["backends"] = [
            {"service": "apps", "weight": 9},
            {"service": "new", "weight": 1},
        ]
        assert self.run(made)[0] == 0


class TestHostileDocuments(Check):
    """Guard against tracebacks and silence for documents of any kind."""

    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"\x00",
            b"\xff\xfe{}",
            b"\xef\xbb\xbf{}",
            b"{",
            b"nul",
            b"[]",
            b"3",
            b'"text"',
            b"[" * 200000,
            b'{"a":' * 200000,
            b'{"version": NaN}',
            b'{"version": -Infinity}',
            b'{"version": 1, "version": 2}',
            b'{"version": ' + b"9" * 10000 + b"}",
            b'{"\\ud800": 1, "\\ud800": 2}',
        ],
        ids=lambda content: ascii(content[:16]),
    )
    def test_no_document(self, content):
        code, output = self.run(content)
        assert code == 2
        assert output.startswith("error: ")
        assert len(output) < 1000

    @pytest.mark.parametrize("section", ["routes", "services", "tenants"])
    @pytest.mark.parametrize(
        "value",
        [{}, 5, "text", True, [1], [None], ["a"], [[]], [{}], [{"name": 1}]],
        ids=ascii,
    )
    def test_sections_of_a_wrong_type(self, section, value):
        code, output = self.run(document(**{section: value}))
        assert code == 2
        assert f"error: {section}" in output

    @pytest.mark.parametrize("section", ["version", "limits"])
    @pytest.mark.parametrize(
        "value", [None, [], {}, "1", True, -1, 1.5, 10**400], ids=ascii
    )
    def test_members_of_a_wrong_type(self, section, value):
        content = json.dumps(document(**{section: 0}))
        text = "1e999" if value == 10**400 else json.dumps(value)
        content = content.replace(f'"{section}": 0', f'"{section}": {text}')
        code, output = self.run(content.encode())
        assert code == 2
        assert f"error: {section}" in output

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("routeType", "batch"),
            ("routeType", []),
            ("timeoutMs", -1),
            ("timeoutMs", "2000"),
            ("timeoutMs", 10**30),
            ("host", None),
            ("backends", {"service": "apps"}),
            ("backends", [{"service": "apps"}]),
            ("maxAttempts", 1.5),
            ("priority", "high"),
            # Routers took any text as true: the route needed no key.
            ("public", "false"),
            ("resumable", "no"),
        ],
    )
    def test_fields_of_a_route(self, name, value):
        made = document()
        made["routes"][1][name] = value
        code, output = self.run(made)
        assert code == 2
        assert "error: routes[1]: " in output

    def test_all_errors_are_named(self):
        made = document()
        del made["routes"][0]["host"]
        made["services"][0]["maxConns"] = -1
        made["limits"]["idleTimeoutMs"] = None
        _, output = self.run(made)
        assert 'error: routes[0]: "host" is missing' in output
        assert "error: services[0]: " in output
        assert "error: limits: " in output

    # Routers used the last of two members, and nobody saw the first.
    def test_member_that_is_listed_twice(self):
        text = json.dumps(document())
        twice = text.replace('"timeoutMs"', '"timeoutMs": 9, "timeoutMs"', 1)
        code, output = self.run(twice.encode())
        assert code == 2
        assert 'member "timeoutMs" is listed twice' in output

    # Each letter of the text was a key.
    def test_keys_that_are_no_list(self):
        made = document(tenants=[{"name": "a", "apiKeys": "secret"}])
        code, output = self.run(made)
        assert code == 2
        assert "secret" not in output

    @pytest.mark.parametrize("name", ["none.json", ".", "a\0b"])
    def test_files_that_cannot_be_read(self, name):
        path = str(self.folder / name)
        result = CliRunner().invoke(app, ["check-configuration", path])
        assert result.exit_code == 2
        assert "error: $: cannot be read" in result.output

    def test_text_that_cannot_be_printed(self):
        made = document()
        made["routes"][0]["service"] = "\ud800\n\x1b[2J"
        code, output = self.run(made)
        assert code == 2
        assert "\x1b" not in output
        assert output.isascii()


class TestFindings(Check):
    """Guard against mistakes of operators that nobody reports."""

    def _check(self, code, text, *arguments, **fields):
        """Check a document with other fields for one finding."""
        exit_code, output = self.run(document(**fields), *arguments)
        assert (exit_code, text in output) == (code, True), output

    def _check_route(self, code, text, **fields):
        made = document()["routes"]
        made[0].update(fields)
        self._check(code, text, routes=made)

    def test_route_that_never_matches(self):
        routes = document()["routes"]
        routes.append(route("copy", "idempotent"))
        routes[-1].update(host=routes[0]["host"].upper())
        routes[-1]["pathPrefix"] = routes[0]["pathPrefix"]
        self._check(1, "routes[0] has the same host", routes=routes)

    @pytest.mark.parametrize(
        ("fields", "text"),
        [
            ({"host": "chat.example:80"}, "can never match"),
            ({"host": ""}, "can never match"),
            ({"pathPrefix": "status/"}, "can never match"),
            ({"pathPrefix": "/a?b=1"}, "can never match"),
            ({"name": "order"}, "is that of routes[0]"),
            ({"goalMs": 3000}, "goal (3 s) is longer than the timeout (2 s)"),
            ({"maxAttempts": 9}, "at most 8 are made"),
            ({"routeType": "streaming"}, "must not be repeated"),
        ],
    )
    def test_warnings_of_a_route(self, fields, text):
        self._check_route(1, text, **fields)

    @pytest.mark.parametrize(
        ("fields", "text"),
        [
            ({"service": "gone"}, "does not exist"),
            ({"timeoutMs": 0}, "the timeout is 0"),
            ({"maxAttempts": 0}, "attempts is 0"),
        ],
    )
    def test_errors_of_a_route(self, fields, text):
        self._check_route(2, text, **fields)

    @pytest.mark.parametrize(
        ("weights", "text"),
        [((1, 0), 'service "new" has weight 0'), ((0, 0), "weights are 0")],
    )
    def test_weights(self, weights, text):
        routes = document()["routes"]
        routes[0]["backends"] = [
            {"service": name, "weight": weight}
            for name, weight in zip(("apps", "new"), weights)
        ]
        services = [service("apps"), service("new")]
        self._check(1, text, routes=routes, services=services)

    def test_unused_service(self):
        services = [service("apps"), service("old")]
        self._check(1, '"old" gets no request', services=services)

    def test_ambiguous_service(self):
        services = [service("apps"), service("apps")]
        self._check(2, "is that of services[0]", services=services)

    def test_service_without_connections(self):
        services = [service("apps", maxConns=0)]
        self._check(2, "no connection", services=services)

    @pytest.mark.parametrize(
        ("code", "text", "tenants"),
        [
            (2, 'also that of customer "a"', [("a", [KEY]), ("b", [KEY])]),
            (2, "a key is empty", [("a", [""])]),
            (1, "a key is listed twice", [("a", [KEY, KEY])]),
            (1, "a key can never match", [("a", [KEY, "k\n"])]),
            (1, 'customer "b" has no key', [("a", [KEY]), ("b", [])]),
            (1, "is that of customers[0]", [("a", [KEY]), ("a", ["k2"])]),
            (1, "no request can have a valid key", []),
        ],
    )
    def test_keys(self, code, text, tenants):
        made = [{"name": name, "apiKeys": keys} for name, keys in tenants]
        self._check(code, text, tenants=made)
        assert KEY not in self.run(document(tenants=made))[1]

    def test_unused_keys(self):
        routes = document()["routes"]
        for each in routes:
            each["public"] = True
        self._check(1, "keys are unused", routes=routes)

    @pytest.mark.parametrize(
        ("code", "text", "change"),
        [
            (1, "is longer than the idle time", {"headerTimeoutMs": 20000}),
            (2, "the idle time is limited to 0", {"idleTimeoutMs": 0}),
            (2, "no request is accepted", {"maxHeaderBytes": 0}),
        ],
    )
    def test_limits(self, code, text, change):
        limits = {**document()["limits"], **change}
        self._check(code, text, limits=limits)

    def test_more_attempts_than_servers(self):
        dump = {"servers": {"i-1": {"service": "apps", "ready": True}}}
        path = self._write("dump.json", dump)
        text = '2 attempts, but service "apps" has 1 servers'
        self._check(1, text, "--dump", path)

    @pytest.mark.parametrize("content", [b"{", b"[]", b'{"servers": [1]}'])
    def test_dump_that_is_none(self, content):
        path = self._write("dump.json", content)
        self._check(2, "is not a router's dump", "--dump", path)


class TestDifferences(Check):
    """Guard against changes that the operator did not mean."""

    def _differences(self, new, old):
        path = self._write("old.json", old)
        code, output = self.run(new, "--in-force", path, "--json")
        return code, json.loads(output)

    def test_none(self):
        code, report = self._differences(document(), document())
        assert (code, report["differences"]) == (0, [])

    def test_all_kinds(self):
        new = document(version=2)
        old = copy.deepcopy(new)
        old["version"] = 1
        new["routes"][0]["timeoutMs"] = 2500
        new["routes"].append(route("extra", "idempotent"))
        new["tenants"][0]["apiKeys"] = ["other-key"]
        new["limits"]["maxBodyBytes"] = 5
        old["tenants"].append({"name": "left", "apiKeys": ["left-key"]})
        code, report = self._differences(new, old)
        found = {
            f"{each['path']}: {each['text']}" for each in report["differences"]
        }
        assert found == {
            'routes "status": timeout_s: "2.5", before "2.0"',
            'routes "extra": added',
            'customers "left": removed',
            'customers "customer-1": keys added: 1, removed: 1',
            'limits: body_bytes: "5", before "100000"',
        }
        assert code == report["exit_code"] == 0

    # Routers ignored the document, and nobody noticed.
    @pytest.mark.parametrize("version", [6, 7])
    def test_version_that_is_not_newer(self, version):
        new = document(version=version)
        new["limits"]["maxBodyBytes"] = 5
        code, report = self._differences(new, document(version=7))
        assert code == 2
        assert report["errors"][0]["path"] == "version"

    def test_version_in_force_that_cannot_be_read(self):
        code, report = self._differences(document(), b"{")
        assert code == 2
        assert report["errors"][0]["path"] == "in force: $"


class TestSameDecoder:
    """Guard against a check that accepts what routers refuse."""

    def test_document_of_the_tests(self):
        read, findings = read_document(json.dumps(configuration()).encode())
        assert findings == []
        assert [each.name for each in read.services] == ["apps"]
        assert read.customers[0].keys == [KEY]
