"""Codec of the records that routers exchange soon after an observation.

A message contains lists of records by the name of their type. Names that a
router does not know are ignored, so that versions with further types can run
beside it. Times are encoded as ages, since the clocks of routers differ.
"""

import dataclasses
import math

from boragetrail.direct import checks
from boragetrail.direct.knowledge.leaving import Leaving
from boragetrail.direct.knowledge.streams import (
    StreamOrigin,
    StreamQuery,
    StreamUnknown,
)
from boragetrail.policy.crashrecords import CrashReport, Survival, Trial
from boragetrail.policy.outcomes import MAX_RESULTS, OutcomeReport
from boragetrail.policy.rollout import Counts, RolloutEvidence, Stage
from boragetrail.policy.serverlimits import MAX_RATE_PER_S, LimitReport
from boragetrail.policy.speed import (
    MAX_PERCENT,
    MIN_PERCENT,
    SpeedReport,
    clamp_percent,
)

__all__ = [
    "RecordMessage",
    "decode_records",
    "encode_records",
    "pack_records",
    "unpack_records",
]

MAX_RECORDS = 32
MAX_PARTS = 16
MAX_TYPES = 16
MAX_AGE_MS = 3_600_000
MAX_KEY = 2**64 - 1
# Encoded age of the ejection of a server that is not ejected; other ages are
# encoded as milliseconds + 1.
NOT_EJECTED = 0
# Encoded limit of a server that names none.
NO_LIMIT = 0
MAX_COUNT = 0xFFFF
OUTCOME_COUNTS = 6
MAX_SPEED_SAMPLES = 255
# Limits on the evidence of a rollout. Counts are those of one router in one
# slot and route.
MAX_CELLS = 64
MAX_SLOT = 10_000
MAX_ROUTE_KEY = 2**16 - 1
MAX_CELL_COUNT = 100_000
MAX_RATE_PER_1000_S = int(1000 * MAX_RATE_PER_S)


@dataclasses.dataclass(slots=True)
class RecordMessage:
    """Holds records, as :func:`encode_records` returns them.

    :param kind: ``"records"``
    :param lists_by_type: lists of encoded records by the name of their type:
        ``"crash"`` for :class:`~boragetrail.policy.crashrecords.CrashReport`,
        ``"late crash"`` for those of responses that had progressed,
        ``"survival"``, ``"trial"`` and
        ``"leaving"`` for
        :class:`~boragetrail.direct.knowledge.leaving.Leaving`,
        ``"stream"``, ``"query"`` and ``"unknown"`` for those of
        :mod:`boragetrail.direct.knowledge.streams`,
        ``"limit"`` for
        :class:`~boragetrail.policy.serverlimits.LimitReport`,
        ``"outcomes"`` for
        :class:`~boragetrail.policy.outcomes.OutcomeReport`,
        ``"speed"`` for :class:`~boragetrail.policy.speed.SpeedReport`,
        ``"rollout"`` for
        :class:`~boragetrail.policy.rollout.RolloutEvidence`
    """

    kind: str
    lists_by_type: dict


def encode_records(records, now_s):
    """Return a :class:`RecordMessage`.

    :param records: list of records
    :param now_s: current monotonic time
    """
    lists = {}
    for record in records:
        name = _name(record)
        encoded = _ENCODERS_BY_NAME[name](record, now_s)
        lists.setdefault(name, []).append(encoded)
    return RecordMessage("records", lists)


def decode_records(message, now_s):
    """Return the records that a :class:`RecordMessage` contains.

    Survivals come first, so that a report about a part that is known to be
    innocent convicts nothing in between.
    """
    return [
        decode(each, now_s)
        for name, decode in _DECODERS_BY_NAME.items()
        for each in message.lists_by_type.get(name, ())
    ]


def pack_records(records, now_s):
    """Encode records as basic values, to be saved.

    :param records: list of records
    :param now_s: current monotonic time
    """
    return encode_records(records, now_s).lists_by_type


def unpack_records(value, now_s):
    """Decode the result of :func:`pack_records`.

    :param now_s: monotonic time at which they were encoded
    :returns: list of records
    :raises ValueError: if the value is invalid
    """
    return decode_records(RecordMessage("records", check_lists(value)), now_s)


def check_kind(value):
    """Return the kind of a :class:`RecordMessage`."""
    if value != "records":
        raise ValueError("not a message with records")
    return value


def check_lists(value):
    """Return the lists of a :class:`RecordMessage` without unknown types."""
    if not isinstance(value, dict) or len(value) > MAX_TYPES:
        raise ValueError(f"not lists of at most {MAX_TYPES} types")
    return {
        name: [check(each) for each in checks.bounded_list(each, MAX_RECORDS)]
        for name, each in value.items()
        if (check := _CHECKS_BY_NAME.get(name)) is not None
    }


def _check_crash(value):
    return checks.fixed_list(value, _key, _parts, checks.flag, _age)


def _check_part_with_age(value):
    return checks.fixed_list(value, checks.text, _age)


def _check_stream(value):
    return checks.fixed_list(value, _key, _software, _age)


def _software(value):
    """Return a software version, which may be empty if unknown."""
    return checks.text(value) if value != "" else ""


def _check_rollout(value):
    return checks.fixed_list(value, _key, _key, _stage, _age, _cells)


def _stage(value):
    return checks.integer(value, max(Stage))


def _cells(value):
    return [_cell(each) for each in checks.bounded_list(value, MAX_CELLS)]


def _cell(value):
    """Return a slot, a route and counts, of which the last may be missing."""
    numbers = checks.bounded_list(value, 2 + len(Counts.__slots__))
    if len(numbers) < 2:
        raise ValueError("not a slot and a route")
    slot = checks.integer(numbers[0], MAX_SLOT)
    route = checks.integer(numbers[1], MAX_ROUTE_KEY)
    return [
        slot,
        route,
        *(checks.integer(each, MAX_CELL_COUNT) for each in numbers[2:]),
    ]


def _check_limit(value):
    return checks.fixed_list(value, _key, _rate, _age)


def _check_outcomes(value):
    return checks.fixed_list(
        value, _key, _key, _counts, _ejection_age, _age, _age
    )


def _ejection_age(value):
    return checks.integer(value, MAX_AGE_MS + 1)


def _counts(value):
    """Return the counts of an :class:`OutcomeReport`, if they are possible."""
    counts = [
        checks.integer(each, MAX_COUNT)
        for each in checks.bounded_list(value, OUTCOME_COUNTS)
    ]
    if len(counts) != OUTCOME_COUNTS or not (
        sum(counts[:4]) <= counts[4] <= MAX_RESULTS
    ):
        raise ValueError("not the counts of outcomes")
    return counts


def _check_speed(value):
    return checks.fixed_list(value, _key, _percent, _samples, _age)


def _percent(value):
    return checks.integer(value, MAX_PERCENT, MIN_PERCENT)


def _samples(value):
    return checks.integer(value, MAX_SPEED_SAMPLES)


def _rate(value):
    return checks.integer(value, MAX_RATE_PER_1000_S)


def _key(value):
    return checks.integer(value, MAX_KEY)


def _parts(value):
    parts = checks.bounded_list(value, MAX_PARTS)
    return [checks.text(each) for each in parts]


def _age(value):
    return checks.integer(value, MAX_AGE_MS)


def _encode_crash(report, now_s):
    age_ms = _age_ms(report.crashed_s, now_s)
    return [report.server, list(report.parts), report.begun, age_ms]


def _decode_crash(value, now_s):
    server, parts, begun, age_ms = value
    crashed_s = now_s - age_ms / 1000.0
    return CrashReport(server, tuple(parts), begun, crashed_s)


def _decode_late_crash(value, now_s):
    return dataclasses.replace(_decode_crash(value, now_s), progressed=True)


def _encode_limit(report, now_s):
    rate = NO_LIMIT
    if report.rate_per_s is not None:
        rate = max(1, int(1000 * report.rate_per_s))
    return [report.server, rate, _age_ms(report.heard_s, now_s)]


def _decode_limit(value, now_s):
    server, rate, age_ms = value
    rate_per_s = rate / 1000.0 if rate != NO_LIMIT else None
    return LimitReport(server, rate_per_s, now_s - age_ms / 1000.0)


def _encode_outcomes(report, now_s):
    counts = (*report.errors, *report.losses, report.responses)
    ejected = NOT_EJECTED
    if report.ejected_s > -math.inf:
        ejected = _age_ms(report.ejected_s, now_s) + 1
    return [
        report.router,
        report.server,
        [*counts, min(MAX_COUNT, report.successes)],
        ejected,
        _age_ms(report.failed_s, now_s),
        _age_ms(report.made_s, now_s),
    ]


def _decode_outcomes(value, now_s):
    router, server, counts, ejected, failed_ms, made_ms = value
    ejected_s = -math.inf
    if ejected != NOT_EJECTED:
        ejected_s = now_s - (ejected - 1) / 1000.0
    return OutcomeReport(
        router,
        server,
        tuple(counts[:2]),
        tuple(counts[2:4]),
        counts[4],
        counts[5],
        ejected_s,
        now_s - failed_ms / 1000.0,
        now_s - made_ms / 1000.0,
    )


def _encode_speed(report, now_s):
    samples = min(MAX_SPEED_SAMPLES, report.samples)
    percent = clamp_percent(report.percent)
    age_ms = _age_ms(report.heard_s, now_s)
    return [report.server, percent, samples, age_ms]


def _decode_speed(value, now_s):
    server, percent, samples, age_ms = value
    return SpeedReport(server, percent, samples, now_s - age_ms / 1000.0)


def _encode_rollout(record, now_s):
    cells = [_encode_cell(*cell) for cell in record.cells]
    age_ms = _age_ms(record.read_s, now_s)
    stage = int(record.stage)
    return [record.order, record.router, stage, age_ms, cells]


def _encode_cell(slot, route, counts):
    """Return a list without the zeros at its end, which are the rule."""
    values = [min(MAX_CELL_COUNT, each) for each in counts.values()]
    while values and not values[-1]:
        values.pop()
    return [min(MAX_SLOT, slot), route, *values]


def _decode_rollout(value, now_s):
    order, router, stage, age_ms, cells = value
    return RolloutEvidence(
        order,
        router,
        Stage(stage),
        now_s - age_ms / 1000.0,
        tuple((cell[0], cell[1], Counts(*cell[2:])) for cell in cells),
    )


def _name(record):
    """Return the name of a record's type in messages."""
    if isinstance(record, CrashReport) and record.progressed:
        return "late crash"
    return _NAMES_BY_TYPE[type(record)]


def _age_ms(time_s, now_s):
    return int(max(0, min(MAX_AGE_MS, (now_s - time_s) * 1000)))


_NAMES_BY_TYPE = {
    Survival: "survival",
    CrashReport: "crash",
    Trial: "trial",
    Leaving: "leaving",
    LimitReport: "limit",
    OutcomeReport: "outcomes",
    SpeedReport: "speed",
    RolloutEvidence: "rollout",
    StreamOrigin: "stream",
    StreamQuery: "query",
    StreamUnknown: "unknown",
}
_ENCODERS_BY_NAME = {
    "survival": lambda record, now_s: [
        record.part,
        _age_ms(record.survived_s, now_s),
    ],
    "crash": _encode_crash,
    "late crash": _encode_crash,
    "trial": lambda record, now_s: [
        record.part,
        _age_ms(record.started_s, now_s),
    ],
    "leaving": lambda record, now_s: record.server,
    "limit": _encode_limit,
    "outcomes": _encode_outcomes,
    "speed": _encode_speed,
    "rollout": _encode_rollout,
    "stream": lambda record, now_s: [
        record.stream,
        record.version,
        _age_ms(record.begun_s, now_s),
    ],
    "query": lambda record, now_s: record.stream,
    "unknown": lambda record, now_s: record.stream,
}
_DECODERS_BY_NAME = {
    "survival": lambda value, now_s: Survival(
        value[0], now_s - value[1] / 1000.0
    ),
    "crash": _decode_crash,
    "late crash": _decode_late_crash,
    "trial": lambda value, now_s: Trial(value[0], now_s - value[1] / 1000.0),
    "leaving": lambda value, now_s: Leaving(value),
    "limit": _decode_limit,
    "outcomes": _decode_outcomes,
    "speed": _decode_speed,
    "rollout": _decode_rollout,
    "stream": lambda value, now_s: StreamOrigin(
        value[0], value[1], now_s - value[2] / 1000.0
    ),
    "query": lambda value, now_s: StreamQuery(value),
    "unknown": lambda value, now_s: StreamUnknown(value),
}
_CHECKS_BY_NAME = {
    "survival": _check_part_with_age,
    "crash": _check_crash,
    "late crash": _check_crash,
    "trial": _check_part_with_age,
    "leaving": _key,
    "limit": _check_limit,
    "outcomes": _check_outcomes,
    "speed": _check_speed,
    "rollout": _check_rollout,
    "stream": _check_stream,
    "query": _key,
    "unknown": _key,
}
