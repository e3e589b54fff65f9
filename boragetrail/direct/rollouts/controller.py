"""Rollouts of all services at one router."""

import xxhash

from boragetrail.direct.rollouts.rollout import Rollout
from boragetrail.direct.rollouts.versiongate import VersionGate
from boragetrail.events import Event, log_event
from boragetrail.policy.placement import rendezvous_score
from boragetrail.policy.rollout import Stage

__all__ = ["RolloutController"]


class RolloutController:
    """Follow orders, exchange evidence and decide on stages.

    In a large fleet only some routers send to the new version in the canary
    stage, so that the evidence stays small. The others follow their stage.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param bounds: :class:`~boragetrail.settings.direct.RolloutBounds`
    :param record_gossip:
        :class:`~boragetrail.direct.recordgossip.RecordGossip`
    :param random: random generator
    :param incarnation: id of the run of this router
    :ivar rollouts_by_service:
        :class:`~boragetrail.direct.rollouts.rollout.Rollout` by service
    :ivar gate: :class:`~boragetrail.direct.rollouts.versiongate.VersionGate`
    :ivar sent_s_by_service: monotonic time at which evidence was last sent
    :ivar participants_by_service: (monotonic time of the ranking, addresses)
        of the routers that send to the new version in the canary stage
    :ivar urgent_services: services whose evidence is to be sent soon
    :ivar had_peers: whether this router has known others
    """

    INTERVAL_S = 0.1
    # Interval at which evidence is sent, within the budget of control traffic.
    SEND_INTERVAL_S = 1.0
    # Interval in the short steps after the canary stage.
    STEP_SEND_INTERVAL_S = 0.4
    # Interval after a bad response, which others need soon.
    MIN_SEND_INTERVAL_S = 0.2
    MAX_PARTICIPANTS = 24
    # Other routers to which each participant of a large fleet sends evidence.
    OUTSIDE_FANOUT = 24
    # Age of an order whose service has no servers of another version, from
    # which these are not just still unknown.
    MIN_SOLE_VERSION_S = 3.0

    def __init__(self, fleet, bounds, record_gossip, random, incarnation):
        self.fleet = fleet
        self.peers = fleet.peers
        self.bounds = bounds
        self.record_gossip = record_gossip
        self.random = random
        self.clock = fleet.clock
        self.router = xxhash.xxh32_intdigest(incarnation.encode())
        self.gate = VersionGate(fleet.clock)
        self.rollouts_by_service = {}
        self.sent_s_by_service = {}
        self.participants_by_service = {}
        self.urgent_services = set()
        self.had_peers = False
        fleet.directory.on_rollout_order = self.order_changed
        record_gossip.add_rollout_evidence = self.apply
        record_gossip.rollout_snapshot = self.snapshot

    def order_changed(self, service, order):
        """Begin the rollout that an order asks for.

        :param service: name of the service
        :param order: :class:`~boragetrail.direct.model.RolloutOrder`, or
            ``None`` if the order was withdrawn
        """
        previous = self.rollouts_by_service.pop(service, None)
        self._leave(previous)
        if order is None:
            log_event(Event.ROLLOUT_WITHDRAWN, service=service)
            return
        rollout = Rollout(
            order, self.router, self.bounds, self.clock, self.random
        )
        rollout.enter(self._first_stage(previous, order))
        self.gate.admit(service, order.to)
        self.rollouts_by_service[service] = rollout
        self.sent_s_by_service.pop(service, None)
        self.participants_by_service.pop(service, None)
        log_event(
            Event.ROLLOUT_ORDERED,
            service=service,
            to=order.to,
            duration_s=order.duration_s,
            row_version=order.row_version,
        )

    def apply(self, record):
        """Apply the evidence of another router.

        :param record:
            :class:`~boragetrail.policy.rollout.RolloutEvidence`
        :returns: whether it changed a stage, so that others need it
        """
        for rollout in self.rollouts_by_service.values():
            if rollout.order.key == record.order:
                changed = rollout.apply(record)
                if changed:
                    self._log_stage(rollout)
                return changed
        return False

    def confirm(self, rollout, stage):
        """Adopt what the store says of a rollout.

        :param stage: ``Stage.COMPLETED``, ``Stage.REVERTED``, or
            ``Stage.CANARY`` if it says nothing final
        """
        rollout.is_status_known = True
        if rollout.enter(stage):
            self._stage_changed(rollout)

    def advance(self):
        """Decide on stages and send what is due."""
        self.had_peers = self.had_peers or bool(self.peers.members())
        for service, versions in self._versions_by_service().items():
            self.gate.record_listed(service, versions)
        for service, rollout in self.rollouts_by_service.items():
            self._record_listed(service, rollout)
            others = self.others(rollout)
            rollout.check_alarm()
            if self._may_decide(rollout) and rollout.advance(others):
                self._stage_changed(rollout)
            self._send_if_due(service, rollout)

    def others(self, rollout):
        """Return of how many other routers half must be heard.

        A router that has lost all others is not alone.
        """
        if self.peers.own_uptime_s() < self.peers.STARTUP_S:
            return self.peers.MIN_SIZE_WITHOUT_LIST
        count = len(self.peers.members())
        if not count:
            return 1 if self.had_peers else 0
        if count < self.MAX_PARTICIPANTS:
            return count
        if self.participates(rollout):
            return self.MAX_PARTICIPANTS - 1
        return 1

    def participates(self, rollout):
        """Return whether this router sends in the canary stage."""
        return self.peers.own_address in self._participants(rollout)

    def is_idle(self, rollout):
        """Return whether no router has work at servers of old versions."""
        order = rollout.order
        return not any(
            state.in_flight + self.peers.load(state.record.id).requests
            for state in self.fleet.listed_servers(order.service)
            if state.record.version != order.to
        )

    def status(self, rollout):
        """Return the stage that the store should name, see ``Rollout``.

        A version that has been the only one since the order is in place.
        """
        if self._is_sole(rollout):
            return Stage.COMPLETED
        is_idle = rollout.stage is Stage.DRAINING and self.is_idle(rollout)
        return rollout.status(self.others(rollout), is_idle)

    def send_soon(self, service):
        """Send the evidence soon, since the new version failed a request."""
        self.urgent_services.add(service)

    def dump(self):
        """Return the state of all rollouts as basic values, by service."""
        return {
            service: {
                "to": rollout.order.to,
                "stage": rollout.stage.name.lower(),
                "age_s": rollout.age_s(),
                "is_current": rollout.is_current(self.others(rollout)),
                "requests": rollout.quota.requests,
                "sent": rollout.quota.sent,
                "responses": rollout.evidence.comparison().responses,
                "score": rollout.evidence.comparison().score,
            }
            for service, rollout in self.rollouts_by_service.items()
        }

    def snapshot(self):
        """Return the records that a router that starts needs, as a list."""
        return [
            rollout.own_evidence()
            for rollout in self.rollouts_by_service.values()
            if rollout.is_status_known
        ]

    def _first_stage(self, previous, order):
        """Return the stage in which the rollout of an order begins.

        An order that the store has lost and the operator wrote again keeps
        its verdict. A return to the version that was in service before an
        unfinished rollout needs no canary stage.
        """
        if previous is None:
            return Stage.CANARY
        before = previous.order
        is_rewritten = before.epoch != order.epoch and before.to == order.to
        if is_rewritten and previous.stage >= Stage.REVERTING:
            is_good = previous.stage is Stage.COMPLETED
            return Stage.DRAINING if is_good else Stage.REVERTING
        if previous.stage is Stage.COMPLETED or before.to == order.to:
            return Stage.CANARY
        listed = self._versions(order.service)
        is_return = order.to in listed and self.gate.is_open(
            order.service, order.to
        )
        return Stage.DRAINING if is_return else Stage.CANARY

    def _leave(self, rollout):
        if rollout is not None and rollout.stage is not Stage.COMPLETED:
            order = rollout.order
            self.gate.reject(order.service, order.to)

    def _record_listed(self, service, rollout):
        """Record whether servers of old versions are listed."""
        versions = self._versions(service)
        order = rollout.order
        old = versions - {order.to}
        if any((service, each) not in self.gate.rejected for each in old):
            rollout.old_listed_s = self.clock()

    def _is_sole(self, rollout):
        """Return whether a service has had no old servers since its order."""
        order = rollout.order
        if rollout.stage.is_final or rollout.old_listed_s > float("-inf"):
            return False
        is_old_enough = rollout.age_s() >= self.MIN_SOLE_VERSION_S
        return is_old_enough and self._versions(order.service) == {order.to}

    def _versions(self, service):
        return self._versions_by_service().get(service, set())

    def _versions_by_service(self):
        """Return the versions of the ready servers, by service."""
        versions = {}
        for known in self.fleet.directory.servers_by_id.values():
            record = known.record
            if record.ready:
                versions.setdefault(record.service, set()).add(record.version)
        return versions

    def _may_decide(self, rollout):
        return rollout.is_status_known and self.participates(rollout)

    def _participants(self, rollout):
        """Return the addresses of the routers that rank first for an order."""
        service, now_s = rollout.order.service, self.clock()
        ranked_s, addresses = self.participants_by_service.get(
            service, (float("-inf"), ())
        )
        if now_s - ranked_s >= self.SEND_INTERVAL_S:
            key = f"rollout/{rollout.order.key}"
            addresses = [peer.address for peer in self.peers.members()]
            addresses.append(self.peers.own_address)
            addresses.sort(key=lambda each: -rendezvous_score(key, each))
            addresses = addresses[: self.MAX_PARTICIPANTS]
            self.participants_by_service[service] = (now_s, addresses)
        return addresses

    def _stage_changed(self, rollout):
        """Log and send a stage that this router decided on or read."""
        self._log_stage(rollout)
        self.record_gossip.send_now(rollout.own_evidence())

    def _log_stage(self, rollout):
        order = rollout.order
        comparison = rollout.evidence.comparison()
        log_event(
            Event.ROLLOUT_STAGE,
            service=order.service,
            to=order.to,
            stage=rollout.stage.name.lower(),
            age_s=round(rollout.age_s(), 2),
            responses=comparison.responses,
            excess=round(comparison.excess, 1),
            score=round(comparison.score, 1),
        )

    def _send_if_due(self, service, rollout):
        if not rollout.is_status_known:
            return
        if not self.participates(rollout):
            return
        interval_s = self.SEND_INTERVAL_S
        if rollout.stage in (Stage.FIRST_STEP, Stage.SECOND_STEP):
            interval_s = self.STEP_SEND_INTERVAL_S
        if service in self.urgent_services:
            interval_s = self.MIN_SEND_INTERVAL_S
        now_s = self.clock()
        if now_s - self.sent_s_by_service.get(service, 0.0) < interval_s:
            return
        self.sent_s_by_service[service] = now_s
        self.urgent_services.discard(service)
        self._send(rollout)

    def _send(self, rollout):
        members = self.peers.members()
        if len(members) < self.MAX_PARTICIPANTS:
            addresses = [peer.address for peer in members]
        else:
            outside = self.peers.sample(self.OUTSIDE_FANOUT)
            addresses = {peer.address for peer in outside}
            addresses.update(self._participants(rollout))
            addresses.discard(self.peers.own_address)
        self.record_gossip.tell(rollout.own_evidence(), addresses)
