"""Codec of the records of crashes that routers exchange.

Times are encoded as ages, since the clocks of routers differ.
"""

import dataclasses

from boragetrail.direct import checks
from boragetrail.policy.crashrecords import CrashReport, Survival, Trial

__all__ = ["CrashMessage", "decode_records", "encode_records"]

MAX_RECORDS = 32
MAX_PARTS = 16
MAX_AGE_MS = 3_600_000
MAX_KEY = 2**64 - 1


@dataclasses.dataclass(slots=True)
class CrashMessage:
    """Holds records of crashes, as :func:`encode_records` returns them.

    :param kind: ``"crashes"``
    :param crash_reports: [server key, parts, begun, age in ms] of each
        :class:`~boragetrail.policy.crashrecords.CrashReport`
    :param survivals: [part, age in ms] of each
        :class:`~boragetrail.policy.crashrecords.Survival`
    :param trials: [part, age in ms] of each
        :class:`~boragetrail.policy.crashrecords.Trial`
    """

    kind: str
    crash_reports: list
    survivals: list
    trials: list


def encode_records(records, now_s):
    """Return a :class:`CrashMessage` that contains records.

    :param records: list of :class:`CrashReport`, :class:`Survival` and
        :class:`Trial`
    :param now_s: current monotonic time
    """
    message = CrashMessage("crashes", [], [], [])
    for record in records:
        if isinstance(record, CrashReport):
            age_ms = _age_ms(record.crashed_s, now_s)
            message.crash_reports.append(
                [record.server, list(record.parts), record.begun, age_ms]
            )
        elif isinstance(record, Survival):
            age_ms = _age_ms(record.survived_s, now_s)
            message.survivals.append([record.part, age_ms])
        else:
            age_ms = _age_ms(record.started_s, now_s)
            message.trials.append([record.part, age_ms])
    return message


def decode_records(message, now_s):
    """Return the records that a :class:`CrashMessage` contains.

    Survivals come first, so that a report of a part that is known to be
    innocent convicts nothing in between.
    """
    return [
        *(
            Survival(part, now_s - age_ms / 1000.0)
            for part, age_ms in message.survivals
        ),
        *(
            CrashReport(server, tuple(parts), begun, now_s - age_ms / 1000.0)
            for server, parts, begun, age_ms in message.crash_reports
        ),
        *(
            Trial(part, now_s - age_ms / 1000.0)
            for part, age_ms in message.trials
        ),
    ]


def check_kind(value):
    """Return the kind of a :class:`CrashMessage`."""
    if value != "crashes":
        raise ValueError("not records of crashes")
    return value


def check_reports(value):
    """Return the reports of a :class:`CrashMessage`."""
    return [
        checks.fixed_list(each, _server, _parts, checks.flag, _age)
        for each in checks.bounded_list(value, MAX_RECORDS)
    ]


def check_parts_with_age(value):
    """Return the survivals or trials of a :class:`CrashMessage`."""
    return [
        checks.fixed_list(each, checks.text, _age)
        for each in checks.bounded_list(value, MAX_RECORDS)
    ]


def _server(value):
    return checks.integer(value, MAX_KEY)


def _parts(value):
    parts = checks.bounded_list(value, MAX_PARTS)
    return [checks.text(each) for each in parts]


def _age(value):
    return checks.integer(value, MAX_AGE_MS)


def _age_ms(time_s, now_s):
    return max(0, min(MAX_AGE_MS, int((now_s - time_s) * 1000)))
