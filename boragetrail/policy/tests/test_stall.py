"""Tests of the gate that blocks requests while steps are overdue."""

import heapq

from boragetrail.policy import StallGate

# Step times of a warm and of a cold engine.
WARM_S = 0.013
COLD_S = 0.055
# Time by which a slow machine makes each step longer.
OVERHEAD_S = 0.005
MAX_COLD_BATCH = 6
ARRIVAL_INTERVAL_S = 0.004


class Engine:
    """Simulated engine whose new requests pass through a stall gate.

    :param running: number of running requests, each with an open stream
    :param step_s: step time in seconds
    """

    def __init__(self, running, step_s):
        self.now = 0.0
        self.gate = StallGate(lambda: self.now)
        self.running = running
        self.step_s = step_s
        self.baseline_s = step_s
        for _ in range(running):
            self.gate.stream_opened()

    def step(self):
        """Record one event of each stream of the batch."""
        for _ in range(self.running):
            self.gate.record_event(self.step_s)

    def run_for(self, seconds, waiting=0):
        """Simulate the engine's steps while requests try to start.

        :param seconds: duration of the simulation
        :param waiting: number of requests that arrive from its beginning on
        """
        events = [(self.now + self.step_s, "step", 0)]
        events += [
            (self.now + ARRIVAL_INTERVAL_S * i, "try", 0)
            for i in range(waiting)
        ]
        heapq.heapify(events)
        end_s = self.now + seconds
        while events and events[0][0] <= end_s:
            self.now, kind, starting = heapq.heappop(events)
            if kind == "try":
                self._start_if_allowed(events)
                continue
            self.step()
            for _ in range(starting):
                self.gate.stream_opened()
            new_streams = self.running - self.gate.open_streams
            heapq.heappush(
                events, (self.now + self.step_s, "step", new_streams)
            )

    def _start_if_allowed(self, events):
        if self.gate.is_blocking(self.baseline_s):
            heapq.heappush(events, (self.now + ARRIVAL_INTERVAL_S, "try", 0))
            return
        self.gate.request_started()
        self.running += 1


class TestStallGate:
    """The gate delays a burst of requests to an engine that turns cold."""

    def test_burst_onto_an_engine_that_turned_cold(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.run_for(0.1)
        engine.step_s = COLD_S
        engine.run_for(0.4, waiting=12)
        assert engine.running <= MAX_COLD_BATCH

    def test_burst_onto_a_cold_engine_of_a_slow_machine(self):
        engine = Engine(running=4, step_s=WARM_S + OVERHEAD_S)
        engine.run_for(0.1)
        engine.step_s = COLD_S + OVERHEAD_S
        engine.run_for(0.4, waiting=12)
        assert engine.running <= MAX_COLD_BATCH

    def test_burst_onto_a_warm_engine_starts_at_once(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.run_for(0.2, waiting=12)
        assert engine.running == 16

    def test_one_slow_step_blocks_until_the_next_on_time(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.gate.record_event(COLD_S)
        assert engine.gate.is_blocking(WARM_S)
        engine.gate.record_event(WARM_S)
        assert not engine.gate.is_blocking(WARM_S)

    def test_engine_without_streams_starts_a_whole_burst(self):
        engine = Engine(running=0, step_s=WARM_S)
        engine.run_for(0.1, waiting=12)
        assert engine.running == 12

    def test_long_silence_does_not_block(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.gate.record_event(COLD_S)
        engine.now += StallGate.MAX_STALL_S
        assert not engine.gate.is_blocking(WARM_S)
