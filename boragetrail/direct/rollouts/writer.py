"""Writer of the status of rollouts."""

import asyncio

from boragetrail.direct.interfaces import SourceFailure, Table
from boragetrail.direct.readers import ReaderRole
from boragetrail.direct.registries import SavedRollout
from boragetrail.events import Event, log_event
from boragetrail.policy.rollout import Stage

__all__ = ["StatusWriter"]


class StatusWriter:
    """Read and write the status of rollouts in the platform's store.

    Each write has two conditions: that the status has not changed since it
    was read, and that the order is still in force. So a rollout has one
    verdict, whichever routers reach one, and a status that is newer than the
    order is that of the order.

    The routers that read the store for the fleet write at once. The others
    follow one after another if a status stays away.

    :param controller:
        :class:`~boragetrail.direct.rollouts.controller.RolloutController`
    :param directory: :class:`~boragetrail.direct.directory.Directory`
    :param registry: :class:`~boragetrail.direct.registries.RolloutRegistry`
    :param role: function that returns the router's
        :class:`~boragetrail.direct.readers.ReaderRole`
    :ivar saved_by_order:
        :class:`~boragetrail.direct.registries.SavedRollout` that was last read
        or written, by key of the order
    :ivar wanted_by_order: (:class:`~boragetrail.policy.rollout.Stage` to
        write, monotonic time since which it is due) by key of the order
    :ivar next_call_s_by_order: monotonic time of the next call of the store,
        by key of the order
    :ivar failing: keys of the orders of which a failed call was logged
    """

    INTERVAL_S = 0.1
    RETRY_INTERVAL_S = 0.5
    # Interval at which a router reads the status while it hears no others.
    ISOLATED_INTERVAL_S = 1.0
    # Time after which another router writes what the readers have not, and
    # the time between one such router and the next.
    TAKEOVER_S = 1.5
    TAKEOVER_STEP_S = 0.3
    MAX_TAKEOVER_STEPS = 10

    def __init__(self, controller, directory, registry, role):
        self.controller = controller
        self.directory = directory
        self.registry = registry
        self.role = role
        self.clock = controller.clock
        self.saved_by_order = {}
        self.wanted_by_order = {}
        self.next_call_s_by_order = {}
        self.failing = set()

    async def run(self):
        """Read and write what is due until cancelled."""
        while True:
            await asyncio.sleep(self.INTERVAL_S)
            rollouts = list(self.controller.rollouts_by_service.values())
            self._forget_others({each.order.key for each in rollouts})
            for rollout in rollouts:
                if self._is_in_force(rollout) and self._is_due(rollout):
                    await self._synchronize(rollout)

    def _forget_others(self, keys):
        for by_order in (
            self.saved_by_order,
            self.wanted_by_order,
            self.next_call_s_by_order,
        ):
            for key in by_order.keys() - keys:
                del by_order[key]
        self.failing &= keys

    def _is_in_force(self, rollout):
        """Return whether the store is known to hold the order.

        After the store returned from a copy, it may hold another one.
        """
        mirror = self.directory.mirrors[Table.OPERATORS]
        if mirror.epoch < self.registry.epoch:
            return False
        row = mirror.rows_by_key.get(rollout.order.row_key)
        is_same = row is not None and row.version == rollout.order.row_version
        return is_same and rollout.order.row_key not in mirror.retained

    def _is_due(self, rollout):
        """Return whether this router has to call the store."""
        key, now_s = rollout.order.key, self.clock()
        if now_s < self.next_call_s_by_order.get(key, 0.0):
            return False
        if not rollout.is_status_known:
            return True
        others = self.controller.others(rollout)
        if not rollout.stage.is_final and not rollout.is_current(others):
            return True
        wanted = self.controller.status(rollout)
        if self._is_saved(rollout, wanted):
            return False
        if wanted is not self.wanted_by_order.get(key, (None, 0.0))[0]:
            self.wanted_by_order[key] = (wanted, now_s)
        waited_s = now_s - self.wanted_by_order[key][1]
        return waited_s >= self._delay_s(rollout)

    def _delay_s(self, rollout):
        """Return for how long the status may stay away."""
        if self.role() is ReaderRole.READER:
            return 0.0
        rank = self.controller.peers.rank(f"status/{rollout.order.key}")
        steps = min(rank, self.MAX_TAKEOVER_STEPS)
        return self.TAKEOVER_S + self.TAKEOVER_STEP_S * steps

    def _is_saved(self, rollout, stage):
        saved = self.saved_by_order.get(rollout.order.key)
        if saved is None or saved.epoch != self.registry.epoch:
            return False
        return saved.stage is stage

    async def _synchronize(self, rollout):
        """Read the status, adopt it if it is final, else write what is due."""
        order = rollout.order
        result = await self.registry.read_rollouts()
        if isinstance(result, SourceFailure):
            self._retry(rollout, result.detail)
            return
        self.failing.discard(rollout.order.key)
        self._space_calls(rollout, self.ISOLATED_INTERVAL_S)
        saved = result.get(order.service)
        if saved is None:
            saved = SavedRollout(epoch=self.registry.epoch)
        if saved.row_version > order.row_version and saved.to == order.to:
            self.saved_by_order[order.key] = saved
            self.controller.confirm(rollout, saved.stage or Stage.CANARY)
        else:
            self.controller.confirm(rollout, Stage.CANARY)
        wanted = self.controller.status(rollout)
        if not self._is_saved(rollout, wanted):
            await self._save(rollout, wanted, saved)

    async def _save(self, rollout, stage, saved):
        order = rollout.order
        is_current = (
            self.controller.rollouts_by_service.get(order.service) is rollout
        )
        if not is_current or not self._is_in_force(rollout):
            return
        was_saved = await self.registry.save_rollout(order, stage, saved)
        if not was_saved or self.registry.epoch != saved.epoch:
            self._retry(rollout, "not written, or the response was lost")
            return
        self.saved_by_order[order.key] = SavedRollout(
            stage, order.to, 0, saved.epoch
        )
        log_event(
            Event.ROLLOUT_STATUS_SAVED,
            service=order.service,
            to=order.to,
            stage=stage.name.lower(),
            age_s=round(rollout.age_s(), 2),
        )
        self.controller.confirm(rollout, stage)

    def _retry(self, rollout, detail):
        self._space_calls(rollout, self.RETRY_INTERVAL_S)
        if rollout.order.key in self.failing:
            return
        self.failing.add(rollout.order.key)
        log_event(
            Event.ROLLOUT_STATUS_UNSAVED,
            service=rollout.order.service,
            detail=detail,
        )

    def _space_calls(self, rollout, interval_s):
        self.next_call_s_by_order[rollout.order.key] = (
            self.clock() + interval_s
        )
