"""Client of the platform's transactional table service."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["Row", "Put", "TableClient"]


class Row:
    """One row of the table.

    :param key: key
    :param version: counts the writes of the row; 0 means absent
    :param value: value that JSON can carry
    """

    __slots__ = ("key", "version", "value")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value


class Put:
    """One conditional write of a transaction.

    :param if_version: version that the row must have; 0 for absent,
        ``None`` for any
    """

    __slots__ = ("key", "value", "if_version")

    def __init__(self, key, value, if_version=None):
        self.key = key
        self.value = value
        self.if_version = if_version

    def to_dict(self):
        """Return the fields as the table service takes them."""
        return {
            "key": self.key,
            "value": self.value,
            "if_version": self.if_version,
        }


class TableClient:
    """Call the table service over HTTP.

    :param session: ``aiohttp.ClientSession`` that this client may use
    :param url: base URL of the service
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url
        self.writes = 0
        self.reads = 0

    async def transact(self, puts):
        """Write all rows if every condition holds, else none.

        :returns: new versions in order, or :class:`PlatformFailure`
        """
        self.writes += 1
        body = {"puts": [put.to_dict() for put in puts]}
        url = f"{self.url}/transact"
        answer = await call(self.session, "POST", url, json=body)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status == 200:
            return answer.data["versions"]
        detail = f"transaction answered {answer.status}"
        if answer.status != 409:
            return PlatformFailure(detail)
        rows = answer.data["conflicts"]
        conflicts = {row["key"]: _row(row) for row in rows}
        return PlatformFailure(detail, False, conflicts)

    async def transact_one(self, key, value, if_version=None):
        """Write one row; returns its version or a failure."""
        result = await self.transact([Put(key, value, if_version)])
        return result if isinstance(result, PlatformFailure) else result[0]

    async def get(self, key):
        """Return a row (version 0 if absent), or a failure."""
        self.reads += 1
        url = f"{self.url}/row"
        answer = await call(self.session, "GET", url, params={"key": key})
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status != 200:
            return PlatformFailure(f"read answered {answer.status}", False)
        return _row(answer.data)

    async def scan(self, prefix, after, limit):
        """Return rows with a prefix after a key, in order of keys."""
        self.reads += 1
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        url = f"{self.url}/rows"
        answer = await call(self.session, "GET", url, params=params)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status != 200:
            return PlatformFailure(f"scan answered {answer.status}", False)
        return [_row(row) for row in answer.data["rows"]]


def _row(data):
    return Row(data["key"], data["version"], data["value"])
