"""Tests of the emulated engine."""

import pytest

from boragetrail.emulator.engine import EmulatedEngine, EngineShape, Work
from boragetrail.emulator.virtualclock import VirtualClock


class TestEmulatedEngine:
    """Batches, cache, slots and memory."""

    def setup_method(self):
        self.time = VirtualClock()
        self.shape = EngineShape(slots=4, memory_tokens=20_000)
        self.engine = EmulatedEngine(self.time, self.shape)
        self.seen = []

    def work(self, name, prompt, tokens=10, priority=5, source=None):
        return Work(
            prompt,
            tokens,
            priority,
            source,
            lambda: self.seen.append((name, "first", self.time())),
            lambda: self.seen.append((name, "end", self.time())),
        )

    def time_of(self, name, what):
        return next(t for n, w, t in self.seen if (n, w) == (name, what))

    def test_prompt_is_read_before_the_first_token(self):
        self.engine.submit(self.work("a", [("deck", 5660)]))
        self.time.run(5.0)
        chunks = 5660 / self.shape.chunk_tokens
        step_s = self.shape.step_s + self.shape.step_each_s
        first_s = 0.1 + (chunks + self.shape.event_tokens - 1) * step_s
        assert self.time_of("a", "first") == pytest.approx(first_s, rel=0.05)
        decoding = self.time_of("a", "end") - self.time_of("a", "first")
        assert decoding == pytest.approx(4 * step_s, rel=0.05)

    def test_cached_parts_are_not_read_again(self):
        self.engine.submit(self.work("a", [("deck", 5000), ("own", 100)]))
        self.time.run(2.0)
        self.engine.submit(self.work("b", [("deck", 5000), ("other", 100)]))
        self.time.run(4.0)
        assert self.engine.tokens_read == 5200

    def test_part_after_a_missing_one_is_read_again(self):
        self.engine.submit(self.work("a", [("deck", 500), ("own", 100)]))
        self.time.run(2.0)
        assert self.engine.kept([("new", 500), ("own", 100)]) == 0

    def test_parts_are_copied_from_another_engine(self):
        other = EmulatedEngine(self.time, self.shape)
        other.submit(self.work("a", [("deck", 5000), ("own", 100)]))
        self.time.run(2.0)
        work = self.work("b", [("deck", 5000), ("x", 10)], source=other)
        self.engine.submit(work)
        self.time.run(4.0)
        assert (self.engine.tokens_copied, self.engine.tokens_read) == (
            5000,
            10,
        )

    def test_batch_makes_steps_longer(self):
        for name in "abcd":
            self.engine.submit(self.work(name, [(name, 1)], tokens=500))
        self.time.run(20.0)
        alone_s = 500 * (self.shape.step_s + self.shape.step_each_s)
        ended_s = max(self.time_of(name, "end") for name in "abcd")
        assert alone_s < ended_s < 2 * alone_s

    def test_more_urgent_request_is_admitted_first(self):
        for name in "abcd":
            self.engine.submit(self.work(name, [(name, 10)], tokens=200))
        self.engine.submit(self.work("later", [("l", 10)], priority=7))
        self.engine.submit(self.work("urgent", [("u", 10)], priority=0))
        self.time.run(20.0)
        assert self.time_of("urgent", "first") < self.time_of("later", "first")

    def test_memory_is_never_over_its_size(self):
        for number in range(30):
            work = self.work(str(number), [(f"p{number}", 6000)], tokens=50)
            self.engine.submit(work)
        for _ in range(400):
            self.time.run(self.time() + 0.05)
            used = self.engine.used_tokens + self.engine.cached_tokens
            assert used <= self.shape.memory_tokens
        assert sum(what == "end" for _, what, _ in self.seen) == 30

    def test_cancelled_request_leaves_nothing(self):
        work = self.work("a", [("deck", 5000)], tokens=1000)
        self.engine.submit(work)
        self.time.run(0.5)
        self.engine.cancel(work)
        assert (self.engine.active, self.engine.used_tokens) == (0, 0)
        self.time.run(20.0)
        assert ("a", "end") not in [each[:2] for each in self.seen]
