"""Client of the platform's transactional table service."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["Row", "Put", "TableClient"]


class Row:
    """A row of the table.

    :param key: key
    :param version: number of writes of the row; 0 if the row is absent
    :param value: value that JSON can represent
    """

    __slots__ = ("key", "version", "value")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value


class Put:
    """A conditional write in a transaction.

    :param key: key of the row
    :param value: value that JSON can represent
    :param if_version: version that the row must have; 0 for absent,
        ``None`` for any
    """

    __slots__ = ("key", "value", "if_version")

    def __init__(self, key, value, if_version=None):
        self.key = key
        self.value = value
        self.if_version = if_version

    def to_dict(self):
        """Return the fields in the form of a transaction request."""
        return {
            "key": self.key,
            "value": self.value,
            "if_version": self.if_version,
        }


class TableClient:
    """HTTP client of the table service.

    :param session: ``aiohttp.ClientSession`` that this client may use
    :param url: base URL of the service
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url
        self.writes = 0
        self.reads = 0

    async def transact(self, puts):
        """Write all rows atomically if every condition holds.

        :returns: new versions in order, or :class:`PlatformFailure` with the
            conflicting rows by key
        """
        self.writes += 1
        body = {"puts": [put.to_dict() for put in puts]}
        url = f"{self.url}/transact"
        response = await call(self.session, "POST", url, json=body)
        if isinstance(response, PlatformFailure):
            return response
        if response.status == 200:
            return response.data["versions"]
        detail = f"transaction returned {response.status}"
        if response.status != 409:
            return PlatformFailure(detail)
        rows = response.data["conflicts"]
        conflicts = {row["key"]: _row(row) for row in rows}
        return PlatformFailure(detail, False, conflicts)

    async def transact_one(self, key, value, if_version=None):
        """Write one row; return its new version or a failure."""
        result = await self.transact([Put(key, value, if_version)])
        return result if isinstance(result, PlatformFailure) else result[0]

    async def get(self, key):
        """Return a row, with version 0 if it is absent, or a failure."""
        self.reads += 1
        url = f"{self.url}/row"
        response = await call(self.session, "GET", url, params={"key": key})
        if isinstance(response, PlatformFailure):
            return response
        if response.status != 200:
            return PlatformFailure(f"read returned {response.status}", False)
        return _row(response.data)

    async def scan(self, prefix, after, limit):
        """Return rows by key prefix, after a key, in key order."""
        self.reads += 1
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        url = f"{self.url}/rows"
        response = await call(self.session, "GET", url, params=params)
        if isinstance(response, PlatformFailure):
            return response
        if response.status != 200:
            return PlatformFailure(f"scan returned {response.status}", False)
        return [_row(row) for row in response.data["rows"]]


def _row(data):
    return Row(data["key"], data["version"], data["value"])
