"""Queries of the servers that limit the rate of their requests."""

import asyncio

from boragetrail.direct.counts import run_key

__all__ = ["LimitWatch"]


class LimitWatch:
    """Ask limited servers whether their limits have ended.

    A server says so in its responses only, and one with a small limit gets a
    request each few seconds. A query takes no place at the server. One router
    asks each server, and tells the others of a change. The queries at a time
    do not grow with the number of limited servers.

    :param fleet: :class:`~boragetrail.direct.fleet.Fleet`
    :param engines: :class:`~boragetrail.direct.interfaces.EngineClient`
    """

    INTERVAL_S = 0.3
    MAX_QUERIES = 16

    def __init__(self, fleet, engines):
        self.fleet = fleet
        self.engines = engines

    async def run(self):
        """Query servers until the task is cancelled."""
        while True:
            await asyncio.sleep(self.INTERVAL_S)
            await asyncio.gather(*(self._query(each) for each in self.due()))

    def due(self):
        """Return the engines that this router asks now.

        These are some of those that limit their rate, or did so a moment ago.

        :returns: list of
            :class:`~boragetrail.direct.serverstate.ServerState`
        """
        fleet = self.fleet
        configuration = fleet.directory.configuration
        runs = fleet.knowledge.limits.runs_to_query()
        if configuration is None or not runs:
            return []
        limited = [
            state
            for service in configuration.services_by_name.values()
            if service.is_model
            for state in fleet.ready_servers(service.name)
            if run_key(state.record) in runs
        ]
        count = min(self.MAX_QUERIES, len(limited))
        sample = fleet.peers.random.sample(limited, count)
        return [
            state for state in sample if fleet.peers.is_first(state.record.id)
        ]

    async def _query(self, state):
        sent_s = self.fleet.clock()
        report = await self.engines.report(state.record.address)
        if report is None or report.started_ms != state.record.started_ms:
            return
        if report.leaving:
            state.record_leaving()
        state.record_limit(report.limit, sent_s)
        if report.limit is None:
            self.fleet.knowledge.tell_end(state.record)
