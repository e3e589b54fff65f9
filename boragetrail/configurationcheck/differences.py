"""Differences of a document from the version in force."""

import dataclasses

from boragetrail.configurationcheck.document import Finding, Severity, quoted

__all__ = ["find_differences"]


def find_differences(document, in_force):
    """Return the differences of a document from the one in force.

    A document with differences is an error unless its version is newer, since
    routers ignore it otherwise.

    :param document:
        :class:`~boragetrail.configurationcheck.document.ConfigurationDocument`
    :param in_force: the same
    :returns: list of :class:`~boragetrail.configurationcheck.document.Finding`
    """
    found = [
        *_compare("routes", document.routes, in_force.routes),
        *_compare("services", document.services, in_force.services),
        *_compare_customers(document.customers, in_force.customers),
        *_changes("limits", document.limits, in_force.limits),
    ]
    if document.needs_keys != in_force.needs_keys:
        need = "need" if document.needs_keys else "no longer need"
        found.append(_difference("customers", f"routes {need} keys"))
    if found and document.version <= in_force.version:
        text = (
            f"version {document.version} is not newer than version "
            f"{in_force.version} in force, so routers ignore it"
        )
        found.insert(0, Finding(Severity.ERROR, "version", text))
    return found


def _compare(section, entries, old_entries):
    """Yield which entries were added, removed and changed, by name."""
    new, old = _by_name(entries), _by_name(old_entries)
    for name in new.keys() - old.keys():
        yield _difference(f"{section} {quoted(name)}", "added")
    for name in old.keys() - new.keys():
        yield _difference(f"{section} {quoted(name)}", "removed")
    for name in new.keys() & old.keys():
        path = f"{section} {quoted(name)}"
        if len(new[name]) != len(old[name]):
            text = f"{len(new[name])} entries, before {len(old[name])}"
            yield _difference(path, text)
            continue
        for entry, old_entry in zip(new[name], old[name]):
            yield from _changes(path, entry, old_entry)


def _by_name(entries):
    by_name = {}
    for each in entries:
        by_name.setdefault(each.name, []).append(each)
    return by_name


def _changes(path, entry, old_entry):
    for field in dataclasses.fields(entry):
        value = _text(getattr(entry, field.name))
        old_value = _text(getattr(old_entry, field.name))
        if value != old_value:
            text = f"{field.name}: {quoted(value)}, before {quoted(old_value)}"
            yield _difference(path, text)


def _text(value):
    """Return the text of a field's value."""
    if isinstance(value, list):
        return ", ".join(f"{each.service}={each.weight}" for each in value)
    return str(getattr(value, "value", value))


def _compare_customers(entries, old_entries):
    customers = [each.customer for each in entries]
    old_customers = [each.customer for each in old_entries]
    yield from _compare("customers", customers, old_customers)
    keys, old_keys = _keys_by_name(entries), _keys_by_name(old_entries)
    for name in keys.keys() & old_keys.keys():
        added = len(keys[name] - old_keys[name])
        removed = len(old_keys[name] - keys[name])
        if added or removed:
            text = f"keys added: {added}, removed: {removed}"
            yield _difference(f"customers {quoted(name)}", text)


def _keys_by_name(entries):
    keys = {}
    for each in entries:
        keys.setdefault(each.customer.name, set()).update(each.keys)
    return keys


def _difference(path, text):
    return Finding(Severity.DIFFERENCE, path, text)
