"""Tests of the gate that shuts while steps are overdue."""

import heapq

from boragetrail.policy import StallGate

WARM_S = 0.013
COLD_S = 0.055
SLOW_MACHINE_S = 0.005
COLD_BATCH = 6
APART_S = 0.004


class Engine:
    """Step a batch; each request of a burst starts if the gate is open."""

    def __init__(self, running, step_s):
        self.now = 0.0
        self.gate = StallGate(lambda: self.now)
        self.running = running
        self.step_s = step_s
        self.baseline_s = step_s
        for _ in range(running):
            self.gate.stream_opened()

    def step(self):
        """Let each stream of the batch make one event."""
        for _ in range(self.running):
            self.gate.record_event(self.step_s)

    def play(self, seconds, waiting=0):
        """Step for some time while requests of a burst come in."""
        due = [(self.now + self.step_s, "step", 0)]
        due += [(self.now + APART_S * i, "try", 0) for i in range(waiting)]
        heapq.heapify(due)
        end_s = self.now + seconds
        while due and due[0][0] <= end_s:
            self.now, what, starting = heapq.heappop(due)
            if what == "try":
                self._try(due)
                continue
            self.step()
            for _ in range(starting):
                self.gate.stream_opened()
            fresh = self.running - self.gate.streams
            heapq.heappush(due, (self.now + self.step_s, "step", fresh))

    def _try(self, due):
        if self.gate.is_blocking(self.baseline_s):
            heapq.heappush(due, (self.now + APART_S, "try", 0))
            return
        self.gate.request_started()
        self.running += 1


class TestStallGate:
    """A burst onto an engine that turns cold does not reach it."""

    def test_burst_onto_an_engine_that_turned_cold(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.play(0.1)
        engine.step_s = COLD_S
        engine.play(0.4, waiting=12)
        assert engine.running <= COLD_BATCH

    def test_burst_onto_a_cold_engine_of_a_slow_machine(self):
        engine = Engine(running=4, step_s=WARM_S + SLOW_MACHINE_S)
        engine.play(0.1)
        engine.step_s = COLD_S + SLOW_MACHINE_S
        engine.play(0.4, waiting=12)
        assert engine.running <= COLD_BATCH

    def test_burst_onto_a_warm_engine_starts_at_once(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.play(0.2, waiting=12)
        assert engine.running == 16

    def test_one_slow_step_shuts_until_the_next_in_time(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.gate.record_event(COLD_S)
        assert engine.gate.is_blocking(WARM_S)
        engine.gate.record_event(WARM_S)
        assert not engine.gate.is_blocking(WARM_S)

    def test_engine_without_streams_starts_a_whole_burst(self):
        engine = Engine(running=0, step_s=WARM_S)
        engine.play(0.1, waiting=12)
        assert engine.running == 12

    def test_silence_is_left_to_other_limits(self):
        engine = Engine(running=4, step_s=WARM_S)
        engine.gate.record_event(COLD_S)
        engine.now += StallGate.LONGEST_S
        assert not engine.gate.is_blocking(WARM_S)
