"""Run of the check on files."""

import json

from boragetrail.configurationcheck.check import check_document
from boragetrail.configurationcheck.differences import find_differences
from boragetrail.configurationcheck.document import Finding, Severity

__all__ = ["check_files", "count_servers"]

# The store accepts no rows as long as this.
MAX_FILE_BYTES = 16 * 1024 * 1024


def check_files(path, in_force_path, read_document, server_counts=None):
    """Return the findings of a file.

    :param path: path of the file
    :param in_force_path: path of the file with the version in force, or
        ``None``
    :param read_document: function of the platform's adapter that returns
        (document or ``None``, findings) for the content of a file
    :param server_counts: number of servers by name of the service
    """
    document, findings = _read(path, read_document)
    if document is not None:
        findings += check_document(document, server_counts)
    if in_force_path is None:
        return findings
    in_force, old_findings = _read(in_force_path, read_document)
    if in_force is None:
        findings += [
            Finding(each.severity, f"in force: {each.path}", each.text)
            for each in old_findings
            if each.severity is Severity.ERROR
        ]
    elif document is not None:
        findings += find_differences(document, in_force)
    return findings


def count_servers(path):
    """Return the number of ready servers by service in a router's dump.

    :param path: path of a file with the output of ``boragetrail dump``
    :returns: (dictionary, list of findings)
    """
    try:
        content = _content(path)
        servers = json.loads(content)["servers"].values()
        counts = {}
        for each in servers:
            counts[each["service"]] = counts.get(each["service"], 0)
            counts[each["service"]] += each["ready"] is True
        return counts, []
    except OSError as exc:
        text = f"cannot be read: {exc.strerror}"
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        text = "is not a router's dump"
    return {}, [Finding(Severity.ERROR, "dump", text)]


def _read(path, read_document):
    try:
        return read_document(_content(path))
    except OSError as exc:
        text = f"cannot be read: {exc.strerror}"
    except ValueError as exc:
        text = f"cannot be read: {exc}"
    return None, [Finding(Severity.ERROR, "$", text)]


def _content(path):
    with open(path, "rb") as file:
        content = file.read(MAX_FILE_BYTES + 1)
    if len(content) > MAX_FILE_BYTES:
        raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
    return content
