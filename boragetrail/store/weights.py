"""Client of the platform's rate-limited weight store."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["ModelWeightClient"]


class ModelWeightClient:
    """HTTP client that reserves fetches of model weights.

    :param session: ``aiohttp.ClientSession`` that this client may use
    :param url: base URL of the store
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url

    async def reserve(self, model, version):
        """Reserve a fetch; return the wait in seconds, or a failure."""
        body = {"model": model, "version": version}
        url = f"{self.url}/reserve"
        response = await call(self.session, "POST", url, json=body)
        if isinstance(response, PlatformFailure):
            return response
        return float(response.data["wait_s"])
