"""State of one rollout at one router."""

from boragetrail.direct.rollouts.evidence import EvidenceTable
from boragetrail.policy.rollout import (
    Counts,
    ExposureQuota,
    RolloutEvidence,
    RolloutPlan,
    Situation,
    Stage,
    may_complete,
    next_stage,
    share_of,
)

__all__ = ["Rollout"]


class Rollout:
    """Hold an order, its evidence, and how far its rollout is.

    :param order: :class:`~boragetrail.direct.model.RolloutOrder`
    :param router: key of the run of this router
    :param bounds: :class:`~boragetrail.settings.direct.RolloutBounds`
    :param clock: function that returns monotonic seconds
    :param random: random generator
    :ivar read_s: monotonic time at which some router first read the order
    :ivar stage: :class:`~boragetrail.policy.rollout.Stage`
    :ivar stage_entered_s: monotonic time at which this router entered it
    :ivar is_status_known: whether the store or another router told how far
        the rollout was when this router read the order
    :ivar is_alarmed: whether the versions are compared again in the last
        stage, see :func:`~boragetrail.policy.rollout.is_alarming`
    :ivar old_listed_s: monotonic time at which a server of an old version was
        last listed
    :ivar cells: :class:`~boragetrail.policy.rollout.Counts` of this router's
        responses by (slot, key of the route)
    :ivar heard_s_by_router: monotonic time of the last record of each other
        router, the one not heard longest first
    """

    # Age from which the evidence of another router is not recent. Routers send
    # theirs every second, and two in a row may be lost.
    MAX_EVIDENCE_AGE_S = 2.5
    # Multiple of the share that the routes together ask for, so that the
    # margin is used too; the quota limits their sum.
    CREDIT_FACTOR = 3.0
    # Requests that a route may be behind its share. More would be sent in
    # bursts.
    MAX_CREDIT = 3.0
    # A route that is this far behind takes a request of any session.
    OPEN_CREDIT = 2.0
    # Slots that a record contains. The last may have changed since the
    # previous record, and that may have been lost.
    SENT_SLOTS = 2
    MAX_SENT_CELLS = 48

    def __init__(self, order, router, bounds, clock, random):
        self.order = order
        self.router = router
        self.clock = clock
        self.random = random
        self.plan = RolloutPlan(order.duration_s)
        self.quota = ExposureQuota(
            bounds.exposure_ratio, bounds.exposure_margin
        )
        self.evidence = EvidenceTable()
        self.read_s = clock()
        self.stage = Stage.CANARY
        self.stage_entered_s = self.read_s
        self.is_status_known = False
        self.is_alarmed = False
        self.old_listed_s = float("-inf")
        self.cells = {}
        self.heard_s_by_router = {}
        self.credits_by_route = {}

    def age_s(self):
        """Return the seconds since the order was first read."""
        return self.clock() - self.read_s

    def enter(self, stage):
        """Enter a stage unless the rollout is further.

        :param stage: :class:`~boragetrail.policy.rollout.Stage`
        :returns: whether the stage changed
        """
        if stage <= self.stage:
            return False
        self.stage = stage
        self.is_alarmed = False
        self.stage_entered_s = self.clock()
        return True

    def is_current(self, others):
        """Return whether enough other routers sent their evidence lately.

        :param others: number of other routers of which half are needed
        """
        oldest_s = self.clock() - self.MAX_EVIDENCE_AGE_S
        recent = sum(
            heard_s >= oldest_s for heard_s in self.heard_s_by_router.values()
        )
        return 2 * recent >= others

    def may_send(self, others):
        """Return whether the new version may get requests of this router."""
        if self.stage is Stage.COMPLETED:
            return True
        if self.stage.is_reverse or not self.is_status_known:
            return False
        return self.is_current(others)

    def share(self):
        """Return the part of the requests that the new version gets."""
        return share_of(self.stage, self.quota.share, self.is_alarmed)

    def takes_sample(self, route, position):
        """Return whether the new version is due for a request.

        The canary share of each route is spread over time, and consists of
        the same sessions if these have enough requests. Later shares consist
        of sessions alone.

        :param route: name of the route
        :param position: position of the session from 0 to 1, or ``None`` for
            a request without one
        """
        share = self.share()
        if self.stage is not Stage.CANARY:
            if position is None:
                position = self.random.random()
            return position < share
        credit = self.credits_by_route.get(route, self.random.random())
        share *= self.CREDIT_FACTOR
        credit = min(self.MAX_CREDIT, credit + share)
        is_sampled = position is None or position < share
        is_due = credit >= (1.0 if is_sampled else self.OPEN_CREDIT)
        self.credits_by_route[route] = credit
        return is_due

    def try_acquire(self, route, routers):
        """Count a request to the new version if the quota allows it.

        :param route: name of the route
        :param routers: number of routers that may send
        :returns: whether it may be sent
        """
        progress = 2.0 * self.age_s() / self.plan.canary_s
        if not self.quota.try_acquire(routers, progress):
            return False
        if route in self.credits_by_route:
            self.credits_by_route[route] -= 1.0
        return True

    def record(self, route, **increments):
        """Count a response of this router.

        :param route: key of the route
        :param increments: numbers to add, by field of
            :class:`~boragetrail.policy.rollout.Counts`
        """
        slot = self._slot()
        counts = self.cells.setdefault((slot, route), Counts())
        for name, increment in increments.items():
            setattr(counts, name, getattr(counts, name) + increment)
        self.evidence.add(self.router, [(slot, route, counts)])

    def apply(self, record):
        """Add the evidence of another router.

        :param record:
            :class:`~boragetrail.policy.rollout.RolloutEvidence`
        :returns: whether it changed the stage
        """
        if record.router == self.router:
            return False
        self._record_heard(record.router)
        self.is_status_known = True
        self.read_s = min(self.read_s, record.read_s)
        self.evidence.add(record.router, record.cells)
        return self.enter(record.stage)

    def own_evidence(self):
        """Return this router's evidence for the other routers.

        :returns: :class:`~boragetrail.policy.rollout.RolloutEvidence`
        """
        oldest = self._slot() - self.SENT_SLOTS + 1
        cells = [
            (slot, route, counts)
            for (slot, route), counts in self.cells.items()
            if slot >= oldest
        ]
        return RolloutEvidence(
            self.order.key,
            self.router,
            self.stage,
            self.read_s,
            tuple(cells[-self.MAX_SENT_CELLS :]),
        )

    def check_alarm(self):
        """Decide whether the versions have to be compared again."""
        is_draining = self.stage is Stage.DRAINING
        self.is_alarmed = is_draining and self.evidence.is_alarming(
            self._slot() - 1
        )

    def advance(self, others):
        """Decide on the stage.

        :param others: see :meth:`is_current`
        :returns: whether the stage changed
        """
        situation = self._situation(others, False)
        return self.enter(next_stage(self.plan, situation))

    def status(self, others, is_idle):
        """Return the stage that the status in the store should name.

        :returns: ``Stage.COMPLETED``, ``Stage.REVERTED``, or
            ``Stage.CANARY`` if the rollout is in progress
        """
        if self.stage.is_final:
            return self.stage
        if self.stage is Stage.REVERTING:
            return Stage.REVERTED
        if may_complete(self.plan, self._situation(others, is_idle)):
            return Stage.COMPLETED
        return Stage.CANARY

    def _record_heard(self, router):
        """Record that a router was heard, and bound the number of keys.

        A router that restarts has another key; the oldest are removed.
        """
        heard_s = self.heard_s_by_router
        heard_s.pop(router, None)
        heard_s[router] = self.clock()
        if len(heard_s) > EvidenceTable.MAX_ROUTERS:
            del heard_s[next(iter(heard_s))]

    def _situation(self, others, is_idle):
        return Situation(
            self.stage,
            self.age_s(),
            self.clock() - self.stage_entered_s,
            self.evidence.comparison(),
            self.is_current(others),
            is_idle,
            self.is_alarmed,
        )

    def _slot(self):
        return int(self.age_s() / self.plan.slot_s)
