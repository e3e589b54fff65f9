"""Tests of the emulated engine."""

import pytest

from boragetrail.emulator.engine import (
    EmulatedEngine,
    EngineProfile,
    EngineRequest,
)
from boragetrail.emulator.virtualclock import VirtualClock


class TestEmulatedEngine:
    """Batching, prefix cache, limits of slots and memory."""

    def setup_method(self):
        self.clock = VirtualClock()
        self.profile = EngineProfile(slots=4, memory_tokens=20_000)
        self.engine = EmulatedEngine(self.clock, self.profile)
        self.events = []

    def request(self, name, prompt, tokens=10, priority=5, source=None):
        return EngineRequest(
            prompt,
            tokens,
            priority,
            source,
            lambda: self.events.append((name, "first", self.clock())),
            lambda: self.events.append((name, "end", self.clock())),
        )

    def time_of(self, name, event):
        return next(t for n, e, t in self.events if (n, e) == (name, event))

    def test_prompt_is_prefilled_before_the_first_token(self):
        self.engine.submit(self.request("a", [("deck", 5660)]))
        self.clock.run(5.0)
        chunks = 5660 / self.profile.chunk_tokens
        step_s = self.profile.step_s + self.profile.step_each_s
        first_s = 0.1 + (chunks + self.profile.event_tokens - 1) * step_s
        assert self.time_of("a", "first") == pytest.approx(first_s, rel=0.05)
        decoding_s = self.time_of("a", "end") - self.time_of("a", "first")
        assert decoding_s == pytest.approx(4 * step_s, rel=0.05)

    def test_cached_parts_are_not_prefilled_again(self):
        self.engine.submit(self.request("a", [("deck", 5000), ("own", 100)]))
        self.clock.run(2.0)
        self.engine.submit(self.request("b", [("deck", 5000), ("other", 100)]))
        self.clock.run(4.0)
        assert self.engine.prefill_tokens == 5200

    def test_part_after_an_uncached_one_is_not_reused(self):
        self.engine.submit(self.request("a", [("deck", 500), ("own", 100)]))
        self.clock.run(2.0)
        assert (
            self.engine.cached_prefix_tokens([("new", 500), ("own", 100)]) == 0
        )

    def test_parts_are_copied_from_another_engine(self):
        other = EmulatedEngine(self.clock, self.profile)
        other.submit(self.request("a", [("deck", 5000), ("own", 100)]))
        self.clock.run(2.0)
        request = self.request("b", [("deck", 5000), ("x", 10)], source=other)
        self.engine.submit(request)
        self.clock.run(4.0)
        assert (self.engine.copied_tokens, self.engine.prefill_tokens) == (
            5000,
            10,
        )

    def test_larger_batch_makes_steps_longer(self):
        for name in "abcd":
            self.engine.submit(self.request(name, [(name, 1)], tokens=500))
        self.clock.run(20.0)
        alone_s = 500 * (self.profile.step_s + self.profile.step_each_s)
        ended_s = max(self.time_of(name, "end") for name in "abcd")
        assert alone_s < ended_s < 2 * alone_s

    def test_request_of_higher_priority_is_admitted_first(self):
        for name in "abcd":
            self.engine.submit(self.request(name, [(name, 10)], tokens=200))
        self.engine.submit(self.request("later", [("l", 10)], priority=7))
        self.engine.submit(self.request("urgent", [("u", 10)], priority=0))
        self.clock.run(20.0)
        assert self.time_of("urgent", "first") < self.time_of("later", "first")

    def test_memory_limit_is_never_exceeded(self):
        for number in range(30):
            request = self.request(
                str(number), [(f"p{number}", 6000)], tokens=50
            )
            self.engine.submit(request)
        for _ in range(400):
            self.clock.run(self.clock() + 0.05)
            used = self.engine.used_tokens + self.engine.cached_tokens
            assert used <= self.profile.memory_tokens
        assert sum(event == "end" for _, event, _ in self.events) == 30

    def test_cancelled_request_releases_its_memory(self):
        request = self.request("a", [("deck", 5000)], tokens=1000)
        self.engine.submit(request)
        self.clock.run(0.5)
        self.engine.cancel(request)
        assert (self.engine.active, self.engine.used_tokens) == (0, 0)
        self.clock.run(20.0)
        assert ("a", "end") not in [event[:2] for event in self.events]
