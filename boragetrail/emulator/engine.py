"""A model engine with batches, a cache of prompt parts and slots."""

import collections
import dataclasses
import heapq
import itertools

__all__ = ["EmulatedEngine", "EngineShape", "Work"]

# Part of a step or token below which work counts as done.
DONE = 1e-6


@dataclasses.dataclass(slots=True)
class EngineShape:
    """Describe an engine; times in seconds.

    :param slots: requests that run at once
    :param memory_tokens: tokens of running requests and cached parts
    :param step_s: time of a step of one request
    :param step_each_s: further time of a step for each request in the batch
    :param read_per_s: prompt tokens read in a second
    :param chunk_tokens: prompt tokens that are read between two steps
    :param copy_per_s: tokens copied from another engine in a second
    :param event_tokens: tokens that one event of a stream holds
    """

    slots: int = 64
    memory_tokens: int = 366_000
    step_s: float = 0.0038
    step_each_s: float = 0.00009
    read_per_s: float = 56_600.0
    chunk_tokens: int = 512
    copy_per_s: float = 400_000.0
    event_tokens: int = 6


class Work:
    """One request at an engine.

    :param prompt: parts of the prompt as (id, tokens)
    :param output_tokens: tokens of the answer
    :param priority: rank; 0 is admitted first
    :param copy_from: :class:`EmulatedEngine` to copy cached parts from, or
        ``None``
    :param on_first: called when the first event is made
    :param on_end: called when the answer is whole
    """

    __slots__ = (
        "prompt",
        "output_tokens",
        "priority",
        "copy_from",
        "on_first",
        "on_end",
        "to_read",
        "left",
        "tokens",
    )

    def __init__(
        self, prompt, output_tokens, priority, copy_from, on_first, on_end
    ):
        self.prompt = prompt
        self.output_tokens = output_tokens
        self.priority = priority
        self.copy_from = copy_from
        self.on_first = on_first
        self.on_end = on_end
        self.to_read = 0.0
        self.left = float(output_tokens)
        self.tokens = sum(tokens for _, tokens in prompt) + output_tokens


class EmulatedEngine:
    """Work on requests in batches.

    All running requests make a token each step. The prompt that came first
    is read in chunks between the steps, which makes them longer. Between two
    changes of the batch nothing is computed. Preemption, reports and late
    events are not modelled.

    :param time: :class:`~boragetrail.emulator.VirtualTime`
    :param shape: :class:`EngineShape`
    :ivar tokens_read: prompt tokens read so far
    :ivar tokens_copied: tokens copied from other engines so far
    """

    def __init__(self, time, shape):
        self.time = time
        self.shape = shape
        self.cache = collections.OrderedDict()
        self.cached_tokens = 0
        self.used_tokens = 0
        self.waiting = []
        self.numbers = itertools.count()
        self.reading = collections.deque()
        self.running = set()
        self.copying = set()
        self.since_s = 0.0
        self.plan = 0
        self.tokens_read = 0
        self.tokens_copied = 0

    @property
    def active(self):
        """Return the number of requests that run or wait."""
        held = len(self.waiting) + len(self.reading)
        return held + len(self.running) + len(self.copying)

    def submit(self, work):
        """Take a request."""
        entry = (work.priority, next(self.numbers), work)
        heapq.heappush(self.waiting, entry)
        self._advance()
        self._replan()

    def cancel(self, work):
        """End a request whose caller is gone."""
        self._advance()
        held = work in self.running or work in self.reading
        if held or work in self.copying:
            self.running.discard(work)
            self.copying.discard(work)
            if work in self.reading:
                self.reading.remove(work)
            self.used_tokens -= work.tokens
        self.waiting = [each for each in self.waiting if each[2] is not work]
        heapq.heapify(self.waiting)
        self._replan()

    def crash(self):
        """Lose all requests and the cache; returns the lost requests."""
        lost = [entry[2] for entry in self.waiting]
        lost += [*self.reading, *self.running, *self.copying]
        self.waiting = []
        self.reading.clear()
        self.running.clear()
        self.copying.clear()
        self.cache.clear()
        self.cached_tokens = self.used_tokens = 0
        self.plan += 1
        return lost

    def kept(self, prompt):
        """Return the leading tokens of a prompt that are cached."""
        total = 0
        for part, tokens in prompt:
            if part not in self.cache:
                break
            total += tokens
        return total

    def _step_s(self):
        shape = self.shape
        batch = len(self.running) + bool(self.reading)
        step_s = shape.step_s + shape.step_each_s * batch
        if self.reading:
            chunk = min(shape.chunk_tokens, self.reading[0].to_read)
            step_s += chunk / shape.read_per_s
        return step_s

    def _chunk(self):
        return max(1.0, min(self.shape.chunk_tokens, self.reading[0].to_read))

    def _advance(self):
        """Work off the time since the last change."""
        now = self.time()
        if now > self.since_s and (self.running or self.reading):
            steps = (now - self.since_s) / self._step_s()
            for work in self.running:
                work.left -= steps
            if self.reading:
                self.reading[0].to_read -= steps * self._chunk()
        self.since_s = now

    def _replan(self):
        """Start what may start and plan the next change."""
        self._admit()
        self.plan += 1
        if not self.running and not self.reading:
            return
        step_s = self._step_s()
        waits = [work.left * step_s for work in self.running]
        if self.reading:
            steps = self.reading[0].to_read / self._chunk()
            waits.append(max(1.0, steps) * step_s)
        plan = self.plan
        delay_s = max(0.0, min(waits))
        self.time.after(delay_s, lambda: self._changed(plan))

    def _changed(self, plan):
        if plan != self.plan:
            return
        self._advance()
        ended = [work for work in self.running if work.left <= DONE]
        for work in ended:
            self.running.discard(work)
            self.used_tokens -= work.tokens
        first = None
        if self.reading and self.reading[0].to_read <= DONE:
            first = self.reading.popleft()
            self._keep(first.prompt)
            first.left -= 1.0
            self.running.add(first)
        self._replan()
        for work in ended:
            work.on_end()
        if first is not None:
            tokens = min(self.shape.event_tokens, first.output_tokens)
            delay_s = (tokens - 1) * self._step_s()
            self.time.after(delay_s, first.on_first)

    def _admit(self):
        while self.waiting:
            running = len(self.running) + len(self.reading)
            running += len(self.copying)
            work = self.waiting[0][2]
            over = self.used_tokens + work.tokens > self.shape.memory_tokens
            if running >= self.shape.slots or (over and running):
                return
            heapq.heappop(self.waiting)
            self.used_tokens += work.tokens
            self._shrink()
            self._fetch(work)

    def _fetch(self, work):
        """Copy what another engine keeps, then queue the rest."""
        own = self.kept(work.prompt)
        source = work.copy_from
        copied = source.kept(work.prompt) - own if source else 0
        if copied <= 0:
            self._read(work, own)
            return
        self.tokens_copied += copied
        self.copying.add(work)

        def done():
            if work in self.copying:
                self.copying.discard(work)
                self._advance()
                self._read(work, own + copied)
                self._replan()

        self.time.after(copied / self.shape.copy_per_s, done)

    def _read(self, work, kept):
        total = sum(tokens for _, tokens in work.prompt)
        work.to_read = float(max(1, total - kept))
        self.tokens_read += total - kept
        for part, _ in work.prompt:
            if part in self.cache:
                self.cache.move_to_end(part)
        self.reading.append(work)

    def _keep(self, prompt):
        for part, tokens in prompt:
            if part not in self.cache:
                self.cached_tokens += tokens
            self.cache[part] = tokens
            self.cache.move_to_end(part)
        self._shrink()

    def _shrink(self):
        room = self.shape.memory_tokens - self.used_tokens
        while self.cache and self.cached_tokens > max(0, room):
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens
