"""Reader of the platform's configuration document, with all its errors.

Routers refuse a document with an error as a whole. This reader names each
error, and values that the routers' decoder takes in another sense than meant.
"""

import json

from boragetrail.configurationcheck.document import (
    ConfigurationDocument,
    CustomerEntry,
    Finding,
    Severity,
    quoted,
)
from boragetrail.platform.decode import (
    DECODE_ERRORS,
    ENTRY_DECODERS,
)

__all__ = ["read_document"]

MAX_TEXT = 200
FLAGS = ("public", "sticky", "resumable")


def read_document(content):
    """Decode a configuration document.

    :param content: bytes of the document
    :returns: (:class:`ConfigurationDocument` or ``None``, list of
        :class:`Finding`)
    """
    try:
        data = json.loads(
            content.decode("utf-8"),
            object_pairs_hook=_unique,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as exc:
        return None, [_error("$", f"is not valid JSON: {_safe(exc)}")]
    if not isinstance(data, dict):
        return None, [_error("$", "is not an object")]
    return _DocumentReader(data).read()


class _DocumentReader:
    """Decode the sections of a document and collect their errors."""

    def __init__(self, data):
        self.data = data
        self.findings = []

    def read(self):
        """Return (document or ``None``, findings)."""
        document = ConfigurationDocument(
            version=self._member("version"),
            routes=self._entries("routes", ENTRY_DECODERS["routes"]),
            services=self._entries("services", ENTRY_DECODERS["services"]),
            customers=self._customers(),
            limits=self._member("limits"),
            needs_keys=self.data.get("tenants") is not None,
        )
        for number, route in enumerate(self._list("routes")):
            self._check_flags(f"routes[{number}]", route)
        # Without an entry, entries that refer to it would look wrong.
        return (None if self.findings else document), self.findings

    def _member(self, name):
        if name not in self.data:
            self.findings.append(_error(name, "is missing"))
            return None
        return self._decode(name, ENTRY_DECODERS[name], self.data[name])

    def _customers(self):
        if self.data.get("tenants") is None:
            return []
        return self._entries("tenants", _customer_entry)

    def _entries(self, name, decode):
        if not isinstance(self.data.get(name), list):
            self.findings.append(_error(name, "is not a list"))
            return []
        return [
            self._decode(f"{name}[{number}]", decode, entry)
            for number, entry in enumerate(self.data[name])
        ]

    def _list(self, name):
        entries = self.data.get(name)
        return entries if isinstance(entries, list) else []

    def _decode(self, path, decode, entry):
        """Return a decoded entry, or ``None`` after an error."""
        try:
            return decode(entry)
        except KeyError as exc:
            name = exc.args[0]
            is_missing = not isinstance(entry, dict) or name not in entry
            text = "is missing" if is_missing else "is unknown"
            text = f"{quoted(name)} {text}"
        except DECODE_ERRORS as exc:
            text = _safe(exc)
        self.findings.append(_error(path, text))
        return None

    def _check_flags(self, path, route):
        """Refuse flags that count as true although they may say false."""
        if not isinstance(route, dict):
            return
        for name in FLAGS:
            if not isinstance(route.get(name, False), bool):
                text = f"{quoted(name)} is neither true nor false"
                self.findings.append(_error(path, text))


def _customer_entry(data):
    customer = ENTRY_DECODERS["tenants"](data)
    keys = data["apiKeys"]
    if not isinstance(keys, list) or not all(
        isinstance(key, str) for key in keys
    ):
        raise ValueError("the keys are not a list of strings")
    return CustomerEntry(customer, keys)


def _unique(pairs):
    """Return an object; routers would use the last of several members."""
    data = dict(pairs)
    if len(data) != len(pairs):
        names = set()
        twice = next(
            name for name, _ in pairs if name in names or names.add(name)
        )
        raise ValueError(f"member {quoted(twice)} is listed twice")
    return data


def _refuse_constant(text):
    raise ValueError(f"{text} is not a number")


def _error(path, text):
    return Finding(Severity.ERROR, path, text)


def _safe(exc):
    """Return the text of an exception in ASCII, without line breaks."""
    text = str(exc)[:MAX_TEXT]
    return ascii(text)[1:-1] or type(exc).__name__
