"""Check of a configuration before it is put in force.

The checks are pure functions over a decoded document. The document is read by
the platform's adapter, which alone knows its format.
"""

from boragetrail.configurationcheck.check import check_document
from boragetrail.configurationcheck.differences import find_differences
from boragetrail.configurationcheck.document import (
    ConfigurationDocument,
    CustomerEntry,
    Finding,
    Severity,
    quoted,
)
from boragetrail.configurationcheck.report import (
    exit_code,
    render_json,
    render_text,
)

__all__ = [
    "ConfigurationDocument",
    "CustomerEntry",
    "Finding",
    "Severity",
    "check_document",
    "exit_code",
    "find_differences",
    "quoted",
    "render_json",
    "render_text",
]
