"""Client of the platform's rate-limited weight store."""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["WeightClient"]


class WeightClient:
    """Ask the weight store for leave to fetch a model's weights.

    :param session: ``aiohttp.ClientSession`` that this client may use
    :param url: base URL of the store
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url

    async def reserve(self, model, version):
        """Reserve one fetch; returns seconds to wait (0 now) or a failure."""
        body = {"model": model, "version": version}
        url = f"{self.url}/reserve"
        answer = await call(self.session, "POST", url, json=body)
        if isinstance(answer, PlatformFailure):
            return answer
        return float(answer.data["wait_s"])
