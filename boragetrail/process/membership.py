"""The controller that merges what is known of the other processes.

Precedence, the first that speaks wins: operators' configuration (zone out,
server drained); the agent's own word that it leaves; the platform's list;
failures that this process saw on its own path. An agent decides for itself
in any case, so views that differ cost a refusal and nothing else.
"""

import asyncio
import time

from boragetrail.errors import PlatformFailure
from boragetrail.gossip import Peer
from boragetrail.store.transport import call
from boragetrail.store.vms import Vm
from boragetrail.utils import split_address

__all__ = ["Member", "MembershipController"]

POLL_INTERVAL_S = 2.0
# Seconds for which a failed path is avoided: first, and at most.
MIN_SUSPICION_S = 0.5
MAX_SUSPICION_S = 15.0
# Seconds without a failure after which suspicion starts anew.
SUSPICION_RESET_S = 30.0


class Member:
    """One process as this process knows it.

    :ivar vm: entry of the platform's list
    :ivar incarnation: incarnation last heard of, or empty
    :ivar leaving: whether the process itself said that it leaves
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
    """Know the members of the fleet and which can take work.

    :param vms: :class:`~boragetrail.store.VmClient`
    :param doc: :class:`~boragetrail.configuration.Document`
    :param spread: :class:`~boragetrail.gossip.Spread`
    :param session: ``aiohttp.ClientSession`` to ask seeds
    :param seeds: administration addresses to ask while the list is down
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
        self.servers_by_service = {}

    def servers(self, service):
        """Return the members of a service that may take new work."""
        names = self.servers_by_service.get(service, ())
        members = (self.members_by_name[name] for name in names)
        return [member for member in members if self.accepts_work(member)]

    def accepts_work(self, member):
        """Return whether a member may be given new work."""
        doc = self.doc
        if doc.zone_is_out(member.vm.zone):
            return False
        if doc.server_is_drained(member.vm.name):
            return False
        return not member.leaving and member.vm.state == "live"

    def is_suspect(self, member):
        """Return whether the path to a member failed a short time ago."""
        return self.clock() < member.suspect_until_s

    def record_path_failure(self, name):
        """Record that the path to a member failed; doubles the suspicion."""
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

    def record_path_success(self, name):
        """Record that the path to a member works."""
        member = self.members_by_name.get(name)
        if member is not None:
            member.suspect_until_s = 0.0

    def merge_digest(self, digest):
        """Merge what a member says of itself."""
        member = self.members_by_name.get(digest.name)
        if member is None:
            return
        if member.incarnation != digest.incarnation:
            member.incarnation = digest.incarnation
            member.suspect_until_s = 0.0
        member.leaving = digest.leaving

    def merge_vms(self, vms):
        """Merge changes of the platform's list."""
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
        """Poll the platform's list."""
        while True:
            vms = await self.vms.changes()
            if isinstance(vms, PlatformFailure):
                if not self.members_by_name:
                    await self._ask_seeds()
            else:
                self.merge_vms(vms)
            pause_s = POLL_INTERVAL_S * self.gossip_protocol.random.uniform(
                0.8, 1.2
            )
            await asyncio.sleep(pause_s)

    def to_lists(self):
        """Return the list for a process that cannot reach the platform."""
        members = self.members_by_name.values()
        return [
            [getattr(m.vm, name) for name in Vm.__slots__] for m in members
        ]

    async def _ask_seeds(self):
        for seed in self.seeds:
            url = f"http://{seed}/members"
            answer = await call(self.session, "GET", url)
            if isinstance(answer, PlatformFailure) or answer.status != 200:
                continue
            self.merge_vms([Vm(*fields) for fields in answer.data["members"]])
            return

    def _index(self):
        by_service = {}
        peers = []
        for name, member in sorted(self.members_by_name.items()):
            vm = member.vm
            if vm.role == "agent":
                by_service.setdefault(vm.service, []).append(name)
            address = split_address(vm.gossip)
            peers.append(Peer(name, vm.role, vm.service, address))
        self.servers_by_service = by_service
        self.gossip_protocol.set_peers(peers)
