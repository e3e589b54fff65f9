"""Names of the platform: header fields, tables, keys and values."""

from boragetrail.direct.features import Feature
from boragetrail.direct.model import RequestKind
from boragetrail.direct.interfaces import HeaderNames, Table
from boragetrail.policy.rollout import Stage

__all__ = [
    "CONFIGURATION_KEY",
    "CRASHES_TABLE",
    "EPOCH_HEADER",
    "EVACUATION_PREFIX",
    "HEADER_NAMES",
    "KINDS_BY_ROUTE_TYPE",
    "MEMBERS_TABLE",
    "READY_STATE",
    "ROLLOUT_PREFIX",
    "STATES_BY_STAGE",
    "STATUS_TABLE",
    "STREAMS_TABLE",
    "TABLE_NAMES",
    "VERSIONS_TABLE",
    "features",
]

HEADER_NAMES = HeaderNames(
    request_id="X-Boragetrail-Attempt-Id",
    deadline_ms="X-Boragetrail-Deadline-Ms",
    key="Api-Key",
    customer="X-Boragetrail-Tenant",
    expected_server="X-Boragetrail-Expect-Instance",
    server_id="X-Boragetrail-Instance-Id",
    seal="X-Boragetrail-Response-Seal",
    not_executed="X-Boragetrail-Not-Executed",
    load="X-Boragetrail-Server-Load",
    leaving="Server-Leaving",
    limit="Server-Limit",
    cold_ms="X-Boragetrail-Cold-Ms",
    prompt_parts="X-Boragetrail-Prefix-Hash",
    tokens="X-Boragetrail-Token-Count",
    length_hint="X-Boragetrail-Length-Hint",
    last_event_id="Last-Event-Id",
    resumed_request="Resumes",
    priority="X-Boragetrail-Request-Priority",
    copy_from="Kv-Fetch",
    reserved=frozenset(
        (
            "x-boragetrail-tenant",
            "x-boragetrail-expect-instance",
            "x-boragetrail-instance-id",
            "x-boragetrail-response-seal",
            "x-boragetrail-not-executed",
            "x-boragetrail-server-load",
            "x-boragetrail-cold-ms",
            "x-boragetrail-request-priority",
            "x-boragetrail-expect-version",
            "x-boragetrail-weight-versions",
            "x-boragetrail-pin-ms",
            "x-boragetrail-hold",
            "x-boragetrail-kv-backup",
            "kv-from",
            "kv-fetch",
        )
    ),
    end_to_end=frozenset(
        (
            "x-boragetrail-attempt-id",
            "x-boragetrail-model",
            "x-boragetrail-token-count",
            "x-boragetrail-prefix-hash",
            "x-boragetrail-length-hint",
            "last-event-id",
            "resumes",
        )
    ),
)

# Number of times that the store has returned from a copy of its rows.
EPOCH_HEADER = "Store-Era"
TABLE_NAMES = {Table.OPERATORS: "op", Table.SERVERS: "servers"}
MEMBERS_TABLE = "routers"
CRASHES_TABLE = "crashes"
VERSIONS_TABLE = "versions"
STREAMS_TABLE = "streams"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
READY_STATE = "ready"
# Prefix of the keys of orders, and of the rows that tell how far they are.
ROLLOUT_PREFIX = "rollout/"
STATUS_TABLE = "status"
STATES_BY_STAGE = {
    Stage.CANARY: "in_progress",
    Stage.COMPLETED: "completed",
    Stage.REVERTED: "reverted",
}

KINDS_BY_ROUTE_TYPE = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}

FEATURES_BY_RULE = {
    "rollout": frozenset((Feature.ROLLOUTS,)),
    "pressure": frozenset(
        (
            Feature.OUTLIER_EJECTION,
            Feature.PRIORITY_ADMISSION,
            Feature.ENGINE_CAPACITY,
            Feature.ZONE_AFFINITY,
        )
    ),
}


def features(rules):
    """Return the features that the platform's rules call for.

    Rules that are not known here call for none.

    :param rules: names of the rules that are in force
    :returns: frozenset of :class:`~boragetrail.direct.features.Feature`

    >>> [feature.name for feature in features(["rollout", "base"])]
    ['ROLLOUTS']
    """
    return frozenset().union(
        *(FEATURES_BY_RULE.get(rule, ()) for rule in rules)
    )
