"""Checks for keys that are ambiguous, missing or unused.

Keys are secrets, so findings name customers only.
"""

from boragetrail.configurationcheck.document import Finding, Severity, quoted

__all__ = ["check_customers"]


def check_customers(document):
    """Yield the findings of the customers of a document."""
    names_by_key, numbers_by_name = {}, {}
    for number, entry in enumerate(document.customers):
        path, name = f"customers[{number}]", entry.customer.name
        first = numbers_by_name.setdefault(name, number)
        if first != number:
            text = f"name {quoted(name)} is that of customers[{first}]"
            yield Finding(Severity.WARNING, path, text)
        if not entry.keys:
            text = f"customer {quoted(name)} has no key"
            yield Finding(Severity.WARNING, path, text)
        for key in entry.keys:
            yield from _check_key(path, key, names_by_key.get(key), name)
            names_by_key[key] = name
    yield from _check_need(document, bool(names_by_key))


def _check_key(path, key, other, name):
    if not key:
        yield Finding(Severity.ERROR, path, "a key is empty")
    elif not key.isascii() or not key.isprintable() or key != key.strip():
        text = "a key can never match: header fields cannot have its value"
        yield Finding(Severity.WARNING, path, text)
    if other is not None and other != name:
        text = f"a key is also that of customer {quoted(other)}"
        yield Finding(Severity.ERROR, path, text)
    elif other is not None:
        yield Finding(Severity.WARNING, path, "a key is listed twice")


def _check_need(document, has_keys):
    """Yield findings if keys are needed and missing, or the reverse."""
    if not document.needs_keys:
        return
    protected = [each for each in document.routes if not each.public]
    if protected and not has_keys:
        text = "no request can have a valid key, but routes need one"
        yield Finding(Severity.WARNING, "customers", text)
    if has_keys and not protected:
        text = "keys are unused: all routes are public"
        yield Finding(Severity.WARNING, "customers", text)
