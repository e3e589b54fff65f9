"""Decoding of the rows that the platform's store returns.

Rows may come from another writer, so one that cannot be read costs no other.
"""

import base64
import json
import math
import struct

from boragetrail.direct.interfaces import (
    ChangeSet,
    Row,
    SourceFailure,
)
from boragetrail.direct.registries import (
    SavedRollout,
    SavedVersions,
)
from boragetrail.platform.decode import DECODE_ERRORS
from boragetrail.platform.names import STATES_BY_STAGE

__all__ = [
    "TIME",
    "decode_change_set",
    "decode_saved_rollout",
    "decode_saved_versions",
    "decode_streams",
    "decode_time_ms",
    "registration_age_s",
    "saved_age_s",
]

MAX_VERSION = 2**62
MAX_ERROR_LENGTH = 80
# Time of the store at which a row was saved, in front of its content.
TIME = struct.Struct(">d")
_STAGES_BY_STATE = {state: stage for stage, state in STATES_BY_STAGE.items()}


def decode_change_set(content, is_snapshot, epoch=None):
    """Return the rows of a response of the store.

    :param content: decoded body
    :param is_snapshot: whether it holds all rows of a table
    :param epoch: epoch that the response names, or ``None``
    :returns: :class:`~boragetrail.direct.interfaces.ChangeSet`, or
        :class:`~boragetrail.direct.interfaces.SourceFailure` if it has no
        version or no rows
    """
    try:
        version = _version(content["ver"])
        encoded = content["rows"]
        if not isinstance(encoded, list):
            raise TypeError("no list of rows")
    except DECODE_ERRORS as exc:
        return SourceFailure(f"invalid rows in the store's response: {exc!r}")
    changes = ChangeSet([], version, is_snapshot, epoch)
    for each in encoded:
        try:
            changes.rows.append(_row(each))
        except DECODE_ERRORS as exc:
            key = each.get("key") if isinstance(each, dict) else None
            changes.unreadable.append((key, repr(exc)))
    return changes


def decode_saved_versions(row, now_ms, epoch):
    """Return the saved versions of a service.

    :param row: :class:`~boragetrail.direct.interfaces.Row` as it was read
    :param now_ms: time of the store at the read, in milliseconds
    :param epoch: epoch of the store at the read
    :returns: :class:`~boragetrail.direct.registries.SavedVersions`, or
        ``None`` if the row is invalid
    """
    try:
        content = json.loads(row.data)
        listed = [str(each) for each in content["listed"]]
        gone_ms = {
            str(version): decode_time_ms(at_ms)
            for version, at_ms in content["gone"].items()
        }
    except DECODE_ERRORS:
        return None
    return SavedVersions(listed, gone_ms, now_ms, row.version, epoch)


def decode_saved_rollout(row, epoch):
    """Return the saved status of a rollout.

    :param row: :class:`~boragetrail.direct.interfaces.Row` as it was read
    :param epoch: epoch of the store at the read
    :returns: :class:`~boragetrail.direct.registries.SavedRollout`; without a
        stage if the row is invalid
    """
    try:
        content = json.loads(row.data)
        stage = _STAGES_BY_STATE[content["state"]]
        return SavedRollout(stage, str(content["to"]), row.version, epoch)
    except DECODE_ERRORS:
        return SavedRollout(None, "", row.version, epoch)


def decode_streams(data):
    """Return the saved streams of a row.

    :param data: content of the row, as bytes
    :returns: list of (key of the stream, version), empty if it is invalid
    """
    try:
        return [
            (stream, str(version))
            for version, packed in json.loads(data).items()
            for (stream,) in struct.iter_unpack(">Q", base64.b64decode(packed))
        ]
    except (*DECODE_ERRORS, struct.error):
        return []


def decode_time_ms(value):
    """Return a time of the store in milliseconds.

    :raises ValueError: if the value is no time
    """
    time_ms = float(value)
    if not math.isfinite(time_ms):
        raise ValueError("not a time")
    return time_ms


def saved_age_s(data, now_ms):
    """Return the seconds since a row was saved, 0 if that is not known.

    :param data: content of the row, which begins with :data:`TIME`
    :param now_ms: time of the store now, in milliseconds
    """
    (saved_ms,) = TIME.unpack_from(data)
    age_s = (now_ms - saved_ms) / 1000.0
    return age_s if saved_ms > 0 and age_s > 0 else 0.0


def registration_age_s(data, now_ms):
    """Return the seconds since a router registered.

    :param data: content of its row, as bytes
    :param now_ms: time of the store now, in milliseconds
    :returns: seconds, or ``None`` if the row does not hold the time
    """
    return saved_age_s(data, now_ms) if len(data) >= TIME.size else None


def _version(value):
    """Return a row version."""
    if type(value) is not int or not 0 <= value <= MAX_VERSION:
        raise ValueError(f"{value!r} is not a row version"[:MAX_ERROR_LENGTH])
    return value


def _row(data):
    key = data["key"]
    if not isinstance(key, str):
        raise TypeError("the key is not a string")
    version = _version(data["ver"])
    if data.get("deleted"):
        return Row(key, version, None)
    content = base64.b64decode(data.get("data") or "", validate=True)
    return Row(key, version, content)
