"""Client of the platform's object store."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["ObjectClient"]


class ObjectClient:
    """HTTP client of the object store.

    :param session: ``aiohttp.ClientSession`` for the calls
    :param url: base URL of the store
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url

    async def get(self, key):
        """Return the content of an object.

        :returns: bytes, ``None`` if the object does not exist, or
            :class:`PlatformFailure`
        """
        url = f"{self.url}/objects/{key}"
        response = await call(self.session, "GET", url)
        if isinstance(response, PlatformFailure):
            return response
        if response.status == 404:
            return None
        if response.status != 200:
            return PlatformFailure(
                f"object store: read returned HTTP {response.status}"
            )
        return response.data

    async def put(self, key, data):
        """Store an object.

        :returns: whether it was stored, or :class:`PlatformFailure`
        """
        url = f"{self.url}/objects/{key}"
        response = await call(self.session, "PUT", url, data=data)
        if isinstance(response, PlatformFailure):
            return response
        return response.status == 200
