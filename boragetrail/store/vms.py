"""Client of the platform's list of VMs.

The platform updates the list with a delay.
"""

from boragetrail.errors import PlatformFailure
from boragetrail.store.transport import call

__all__ = ["Vm", "VmClient"]


class Vm:
    """A VM of the fleet, as the platform lists it.

    :param name: name of the process on the VM
    :param role: ``router`` or ``agent``
    :param zone: availability zone
    :param service: service of the backend server, empty for a router
    :param link: address at which an agent accepts routers' connections,
        ``ip:port``
    :param gossip: address at which the process receives datagrams,
        ``ip:port``
    :param admin: address of the administration port, ``ip:port``
    :param state: ``live``, ``leaving`` or ``gone``
    """

    __slots__ = (
        "name",
        "role",
        "zone",
        "service",
        "link",
        "gossip",
        "admin",
        "state",
    )

    def __init__(self, name, role, zone, service, link, gossip, admin, state):
        self.name = name
        self.role = role
        self.zone = zone
        self.service = service
        self.link = link
        self.gossip = gossip
        self.admin = admin
        self.state = state


class VmClient:
    """HTTP client that reads changes of the list of VMs.

    :param session: ``aiohttp.ClientSession`` for the calls
    :param url: base URL of the service
    :ivar revision: revision of the list at the last call, initially 0
    """

    def __init__(self, session, url):
        self.session = session
        self.url = url
        self.revision = 0

    async def changes(self):
        """Read the VMs that changed since the last successful call.

        :returns: list of :class:`Vm`, or :class:`PlatformFailure`
        """
        params = {"since": str(self.revision)}
        url = f"{self.url}/vms"
        response = await call(self.session, "GET", url, params=params)
        if isinstance(response, PlatformFailure):
            return response
        if response.status != 200:
            return PlatformFailure(
                f"list of VMs: read returned HTTP {response.status}"
            )
        self.revision = response.data["revision"]
        return [Vm(**fields) for fields in response.data["vms"]]
