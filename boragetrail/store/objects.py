"""Client of the platform's object store."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["ObjectClient"]


class ObjectClient:
    """Read and write whole objects over HTTP.

    :param session: ``aiohttp.ClientSession`` that this client may use
    :param url: base URL of the store
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url

    async def get(self, key):
        """Return the bytes of an object, ``None`` if absent, or a failure."""
        url = f"{self.url}/objects/{key}"
        answer = await call(self.session, "GET", url)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status == 404:
            return None
        if answer.status != 200:
            return PlatformFailure(f"object read answered {answer.status}")
        return answer.data

    async def put(self, key, data):
        """Store an object; returns ``True`` or a failure."""
        url = f"{self.url}/objects/{key}"
        answer = await call(self.session, "PUT", url, data=data)
        if isinstance(answer, PlatformFailure):
            return answer
        return answer.status == 200
