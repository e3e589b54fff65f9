"""Controller that merges the sources of information on other processes.

The sources in order of precedence: the configuration (zone out, server
drained), the process's announcement that it leaves, the platform's list of
VMs, and failures of this process's own connections. The agent makes the final
decision on admission, so outdated information at a router at worst leads to a
refusal by the agent.
"""

import asyncio
import time

from boragetrail.errors import PlatformFailure
from boragetrail.gossip import Peer
from boragetrail.store.transport import call
from boragetrail.store.vms import Vm
from boragetrail.utils import split_address

__all__ = ["Member", "MembershipController"]

VM_POLL_INTERVAL_S = 2.0
# A member is suspect for MIN_SUSPICION_S after the first failure of a
# connection to it. Each further failure doubles this period, up to
# MAX_SUSPICION_S.
MIN_SUSPICION_S = 0.5
MAX_SUSPICION_S = 15.0
# Seconds without a failure after which the next period of suspicion is
# MIN_SUSPICION_S again.
SUSPICION_RESET_S = 30.0


class Member:
    """Hold the state of another process.

    :ivar vm: entry of the platform's list of VMs
    :ivar incarnation: latest known incarnation, or empty
    :ivar leaving: whether the process announced that it leaves
    :ivar failures: number of recent connection failures, up to 10
    :ivar failed_s: monotonic time of the latest failure
    :ivar suspect_until_s: monotonic time until which the member is suspect,
        after a connection to it has failed
    """

    __slots__ = (
        "vm",
        "incarnation",
        "leaving",
        "failures",
        "failed_s",
        "suspect_until_s",
    )

    def __init__(self, vm):
        self.vm = vm
        self.incarnation = ""
        self.leaving = False
        self.failures = 0
        self.failed_s = 0.0
        self.suspect_until_s = 0.0


class MembershipController:
    """Track the members of the fleet and which of them accept work.

    :param vms: :class:`~boragetrail.store.VmClient`
    :param doc: :class:`~boragetrail.configuration.Document`
    :param gossip_protocol: :class:`~boragetrail.gossip.GossipProtocol`
    :param session: ``aiohttp.ClientSession`` to query seeds
    :param seeds: administration addresses of peers to get the members from
        while the platform's list is unavailable
    :param clock: function that returns monotonic seconds
    """

    def __init__(
        self, vms, doc, gossip_protocol, session, seeds, clock=time.monotonic
    ):
        self.vms = vms
        self.doc = doc
        self.gossip_protocol = gossip_protocol
        self.session = session
        self.seeds = seeds
        self.clock = clock
        self.members_by_name = {}
        self.server_names_by_service = {}

    def available_servers(self, service):
        """Return the servers of a service that accept new work.

        :returns: list of :class:`Member`
        """
        names = self.server_names_by_service.get(service, ())
        members = (self.members_by_name[name] for name in names)
        return [member for member in members if self.accepts_work(member)]

    def accepts_work(self, member):
        """Return whether a member accepts new work."""
        doc = self.doc
        if doc.zone_is_out(member.vm.zone):
            return False
        if doc.server_is_drained(member.vm.name):
            return False
        return not member.leaving and member.vm.state == "live"

    def is_suspect(self, member):
        """Return whether the connection to a member failed recently."""
        return self.clock() < member.suspect_until_s

    def record_connection_failure(self, name):
        """Record a connection failure and make the member suspect."""
        member = self.members_by_name.get(name)
        if member is None:
            return
        now = self.clock()
        if now - member.failed_s > SUSPICION_RESET_S:
            member.failures = 0
        period_s = MIN_SUSPICION_S * 2**member.failures
        member.failures = min(member.failures + 1, 10)
        member.failed_s = now
        member.suspect_until_s = now + min(period_s, MAX_SUSPICION_S)

    def record_connection_success(self, name):
        """Record that a connection to the member works and end suspicion."""
        member = self.members_by_name.get(name)
        if member is not None:
            member.suspect_until_s = 0.0

    def merge_digest(self, digest):
        """Update a member from the gossip digest that it sent."""
        member = self.members_by_name.get(digest.name)
        if member is None:
            return
        if member.incarnation != digest.incarnation:
            member.incarnation = digest.incarnation
            member.suspect_until_s = 0.0
        member.leaving = digest.leaving

    def merge_vms(self, vms):
        """Apply changes of the platform's list of VMs to the members."""
        for vm in vms:
            if vm.state == "gone":
                self.members_by_name.pop(vm.name, None)
                continue
            member = self.members_by_name.get(vm.name)
            if member is None:
                self.members_by_name[vm.name] = Member(vm)
            else:
                member.vm = vm
        self._index()

    async def run(self):
        """Poll the platform's list of VMs."""
        while True:
            vms = await self.vms.changes()
            if isinstance(vms, PlatformFailure):
                if not self.members_by_name:
                    await self._query_seeds()
            else:
                self.merge_vms(vms)
            pause_s = VM_POLL_INTERVAL_S * self.gossip_protocol.random.uniform(
                0.8, 1.2
            )
            await asyncio.sleep(pause_s)

    def to_lists(self):
        """Return each member as a list of fields.

        Peers that cannot reach the platform fetch these lists.
        """
        members = self.members_by_name.values()
        return [
            [getattr(m.vm, name) for name in Vm.__slots__] for m in members
        ]

    async def _query_seeds(self):
        for seed in self.seeds:
            url = f"http://{seed}/members"
            answer = await call(self.session, "GET", url)
            if isinstance(answer, PlatformFailure) or answer.status != 200:
                continue
            self.merge_vms([Vm(*fields) for fields in answer.data["members"]])
            return

    def _index(self):
        names_by_service = {}
        peers = []
        for name, member in sorted(self.members_by_name.items()):
            vm = member.vm
            if vm.role == "agent":
                names_by_service.setdefault(vm.service, []).append(name)
            address = split_address(vm.gossip)
            peers.append(Peer(name, vm.role, vm.service, address))
        self.server_names_by_service = names_by_service
        self.gossip_protocol.set_peers(peers)
