"""Reports of findings for operators and programs."""

import json

from boragetrail.configurationcheck.document import Severity

__all__ = ["exit_code", "render_json", "render_text"]

EXIT_CODES = {
    Severity.ERROR: 2,
    Severity.WARNING: 1,
    Severity.DIFFERENCE: 0,
}


def exit_code(findings):
    """Return 2 if there are errors, else 1 if there are warnings, else 0."""
    return max((EXIT_CODES[each.severity] for each in findings), default=0)


def render_text(path, findings):
    """Return the lines of a report.

    :param path: path of the checked file
    :param findings: list of
        :class:`~boragetrail.configurationcheck.document.Finding`
    """
    lines = [
        f"{each.severity.value}: {each.path}: {each.text}"
        for each in _sorted(findings)
    ]
    counts = [
        f"{sum(each.severity is severity for each in findings)} "
        f"{severity.value}s"
        for severity in Severity
    ]
    return [*lines, f"{path}: {', '.join(counts)}"]


def render_json(path, findings):
    """Return a report as JSON; parameters as of :func:`render_text`."""
    report = {"file": path, "exit_code": exit_code(findings)}
    for severity in Severity:
        report[f"{severity.value}s"] = [
            {"path": each.path, "text": each.text}
            for each in _sorted(findings)
            if each.severity is severity
        ]
    return json.dumps(report, indent=2)


def _sorted(findings):
    order = list(Severity)
    return sorted(
        findings,
        key=lambda each: (order.index(each.severity), each.path, each.text),
    )
