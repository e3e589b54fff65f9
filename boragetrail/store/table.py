"""Client of the platform's transactional table service."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["Row", "Put", "TableClient"]


class Row:
    """A row of the table.

    :param key: key of the row
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
    :param if_version: version that the row must have before the write; 0 if
        the row must be absent, ``None`` for no condition
    """

    __slots__ = ("key", "value", "if_version")

    def __init__(self, key, value, if_version=None):
        self.key = key
        self.value = value
        self.if_version = if_version

    def to_dict(self):
        """Return the write as an element of a transaction request."""
        return {
            "key": self.key,
            "value": self.value,
            "if_version": self.if_version,
        }


class TableClient:
    """HTTP client of the table service.

    :param session: ``aiohttp.ClientSession`` for the calls
    :param url: base URL of the service
    :ivar writes: number of transactions so far
    :ivar reads: number of calls of :meth:`get` and :meth:`scan` so far
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url
        self.writes = 0
        self.reads = 0

    async def transact(self, puts):
        """Write all rows atomically if every condition holds.

        :param puts: list of :class:`Put`
        :returns: new versions of the rows in the order of ``puts``, or
            :class:`PlatformFailure`, which holds the rows that violate their
            conditions
        """
        self.writes += 1
        body = {"puts": [put.to_dict() for put in puts]}
        url = f"{self.url}/transact"
        response = await call(self.session, "POST", url, json=body)
        if isinstance(response, PlatformFailure):
            return response
        if response.status == 200:
            return response.data["versions"]
        detail = f"table service: write returned HTTP {response.status}"
        if response.status != 409:
            return PlatformFailure(detail)
        rows = response.data["conflicts"]
        conflicts = {row["key"]: _row(row) for row in rows}
        # False: a conflict rejects the whole transaction.
        return PlatformFailure(detail, False, conflicts)

    async def transact_one(self, key, value, if_version=None):
        """Write one row.

        :returns: new version of the row, or :class:`PlatformFailure`
        """
        result = await self.transact([Put(key, value, if_version)])
        return result if isinstance(result, PlatformFailure) else result[0]

    async def get(self, key):
        """Read one row.

        :returns: :class:`Row`, with version 0 if it is absent, or
            :class:`PlatformFailure`
        """
        self.reads += 1
        url = f"{self.url}/row"
        response = await call(self.session, "GET", url, params={"key": key})
        if isinstance(response, PlatformFailure):
            return response
        if response.status != 200:
            return PlatformFailure(
                f"table service: row read returned HTTP {response.status}",
                False,  # A read has no effect.
            )
        return _row(response.data)

    async def scan(self, prefix, after, limit):
        """Read the rows whose keys have a prefix, in key order.

        :param prefix: prefix of the keys
        :param after: key after which the result starts
        :param limit: largest number of rows
        :returns: list of :class:`Row`, or :class:`PlatformFailure`
        """
        self.reads += 1
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        url = f"{self.url}/rows"
        response = await call(self.session, "GET", url, params=params)
        if isinstance(response, PlatformFailure):
            return response
        if response.status != 200:
            return PlatformFailure(
                f"table service: row scan returned HTTP {response.status}",
                False,  # A read has no effect.
            )
        return [_row(row) for row in response.data["rows"]]


def _row(data):
    return Row(data["key"], data["version"], data["value"])
