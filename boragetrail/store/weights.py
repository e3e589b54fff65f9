"""Client of the platform's store of model weights.

The store limits the rate of fetches.
"""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["ModelWeightClient"]


class ModelWeightClient:
    """HTTP client that reserves fetches of model weights.

    :param session: ``aiohttp.ClientSession`` for the calls
    :param url: base URL of the store
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url

    async def reserve(self, model, version):
        """Reserve a fetch of a model's weights.

        :param model: name of the model
        :param version: version of the model
        :returns: 0 if the fetch is reserved, else the seconds to wait before
            the next call; or :class:`PlatformFailure`
        """
        body = {"model": model, "version": version}
        url = f"{self.url}/reserve"
        response = await call(self.session, "POST", url, json=body)
        if isinstance(response, PlatformFailure):
            return response
        return float(response.data["wait_s"])
