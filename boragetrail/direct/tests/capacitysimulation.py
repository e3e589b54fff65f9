"""Simulation of routers and servers of uneven speed and bounded memory."""

import collections
import dataclasses
import types

from boragetrail.direct.capacity import CapacityMonitor, MemoryFilter
from boragetrail.direct.counts import server_key
from boragetrail.direct.datagrams import decode_datagram, encode_datagram
from boragetrail.direct.model import Service
from boragetrail.direct.recordmessages import decode_records, encode_records
from boragetrail.direct.tests.fleetsimulation import (
    NETWORK_DELAY_S,
    ROUTE,
    FleetSimulation,
)
from boragetrail.platform import HEADER_NAMES

__all__ = ["CapacitySimulation", "ENGINE_TOKENS"]

ENGINE_TOKENS = 271_624
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
SLOW_S = 0.5
# Deviation of the logarithm of a response's length, relative to its hint.
LENGTH_DEVIATION = 0.8
MAX_OUTPUT = 2000
HINT = 200


class CapacitySimulation(FleetSimulation):
    """Play requests at servers that are slow at times.

    Options are those of :class:`FleetSimulation`.

    :param capacity: whether routers take speed and memory into account
    :param figures: whether servers report their speed
    :ivar lies_by_id: figure that a server reports in place of the true one
    :ivar held_tokens: tokens that each server holds
    :ivar max_tokens: most tokens that any server held
    :ivar sent_slow: number of requests sent to servers that were slow then
    :ivar expected_slow: the same if requests were spread evenly
    :ivar sent_by_id: number of requests by server
    :ivar speed_bytes: bytes of all messages about speed
    """

    def __init__(self, seed, capacity=True, figures=True, **options):
        super().__init__(seed, **options)
        self.figures = figures
        self.factors_by_id = dict.fromkeys(self.held, 1.0)
        self.lies_by_id = {}
        self.held_tokens = collections.Counter()
        self.part_counts = collections.Counter()
        self.max_tokens = 0
        self.sent_slow = 0
        self.expected_slow = 0.0
        self.sent_by_id = collections.Counter()
        self.speed_bytes = 0
        self.service = Service("chat", 360, 13.0, True, ENGINE_TOKENS)
        self.routers_by_address = {
            router.fleet.peers.own_address: router for router in self.routers
        }
        for router in self.routers:
            router.monitor = CapacityMonitor(
                router.fleet, HEADER_NAMES, self.clock
            )
            router.takes_capacity = capacity
            if capacity:
                self._enable(router)

    def slow_down_at_times(self):
        """Let each server be slow for some time, then others."""
        for server_id in self.factors_by_id:
            is_slow = self.rng.random() < SLOW_SHARE
            self._switch(server_id, is_slow)

    def _enable(self, router):
        router.fleet.speeds = router.monitor.speeds
        router.selector.filters.append(
            MemoryFilter(router.monitor, router.fleet)
        )

    def _switch(self, server_id, is_slow):
        self.factors_by_id[server_id] = SLOW_FACTOR if is_slow else 1.0
        usual_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        mean_s = SLOW_S if is_slow else usual_s
        delay_s = self.rng.expovariate(1 / mean_s)
        self._at(delay_s, self._switch, server_id, not is_slow)

    def _update(self, router, step):
        super()._update(router, step)
        reports, addresses = router.monitor.exchange.take_due()
        if not router.takes_capacity:
            return
        data = encode_datagram(encode_records(reports, self.clock()))
        sender = router.fleet.peers.own_address
        for address in addresses:
            self.speed_bytes += len(data)
            if self.rng.random() >= self.loss:
                other = self.routers_by_address[address]
                self._at(
                    NETWORK_DELAY_S, self._hear_speed, other, data, sender
                )

    def _hear_speed(self, router, data, sender):
        message = decode_datagram(data)
        for report in decode_records(message, self.clock()):
            router.monitor.exchange.apply(report, sender)

    def _request(self, kind):
        request = super()._request(kind)
        request.service = self.service
        request.route = dataclasses.replace(ROUTE, name=f"takes-{kind[-1]}")
        headers = {
            HEADER_NAMES.tokens: f"{sum(kind[1])},{MAX_OUTPUT}",
            HEADER_NAMES.length_hint: str(HINT),
        }
        request.http_request = types.SimpleNamespace(headers=headers)
        return request

    def _serve(self, router, request, progress, work, held_s):
        state = work.state
        server_id = state.record.id
        factor = self.factors_by_id[server_id]
        self.sent_slow += factor > 1.0
        slow = sum(each > 1.0 for each in self.factors_by_id.values())
        self.expected_slow += slow / len(self.factors_by_id)
        self.sent_by_id[server_id] += 1
        held_s *= factor * self.rng.uniform(0.6, 1.4)
        head_s = min(0.15 * factor, held_s / 2)
        hold = router.monitor.hold(request, progress, state)
        self._at(head_s, self._hear_load, router, state)
        self._at(held_s, self._release, router, request, hold, held_s)
        self._at(held_s, self._end, server_id, work)
        length = HINT * self.rng.lognormvariate(0.0, LENGTH_DEVIATION)
        own_tokens = progress.prompt[-1][1] if progress.prompt else 0
        tokens = own_tokens + min(MAX_OUTPUT, int(length))
        self._take(server_id, progress.prompt[:-1], tokens)
        self._at(held_s, self._free, server_id, progress.prompt[:-1], tokens)

    def _hear_load(self, router, state):
        server_id = state.record.id
        percent = int(100 * self.factors_by_id[server_id])
        percent = self.lies_by_id.get(server_id, percent)
        text = f"{self.held[server_id]},0,64"
        if self.figures:
            text += f",{percent}"
        requests = router.monitor.record_header(state.record, text)
        if requests is not None:
            router.fleet.reports.record(server_id, requests)

    def _release(self, router, request, hold, held_s):
        router.monitor.release(request, hold)
        key = server_key(hold.server_id)
        router.monitor.speeds.record_time(key, request.route.name, held_s)

    def _take(self, server_id, parts, tokens):
        for part, size in parts:
            if not self.part_counts[server_id, part]:
                self.held_tokens[server_id] += size
            self.part_counts[server_id, part] += 1
        self.held_tokens[server_id] += tokens
        self.max_tokens = max(self.max_tokens, self.held_tokens[server_id])

    def _free(self, server_id, parts, tokens):
        for part, size in parts:
            self.part_counts[server_id, part] -= 1
            if not self.part_counts[server_id, part]:
                self.held_tokens[server_id] -= size
        self.held_tokens[server_id] -= tokens
