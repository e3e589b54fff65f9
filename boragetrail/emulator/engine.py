"""Emulated model engine with batching, slots and a prefix cache."""

import collections
import dataclasses
import heapq
import itertools

__all__ = ["EmulatedEngine", "EngineProfile", "EngineRequest"]

# Prefill or decoding with at most this number of tokens left counts as
# finished, since the numbers of tokens left are rounded.
ROUNDING_TOLERANCE_TOKENS = 1e-6


@dataclasses.dataclass(slots=True)
class EngineProfile:
    """Capacity and speeds of an engine; times in seconds.

    The attributes are keys of experiment files.

    :param slots: maximum number of requests in the batch
    :param memory_tokens: maximum number of tokens of admitted requests and
        cached prompt parts
    :param step_s: constant part of a step's duration
    :param step_each_s: increase of a step's duration for each request in the
        batch
    :param read_per_s: prompt tokens prefilled per second
    :param chunk_tokens: maximum number of prompt tokens prefilled in a step
    :param copy_per_s: tokens copied from another engine per second
    :param event_tokens: tokens in one event of a stream
    """

    slots: int = 64
    memory_tokens: int = 366_000
    step_s: float = 0.0038
    step_each_s: float = 0.00009
    read_per_s: float = 56_600.0
    chunk_tokens: int = 512
    copy_per_s: float = 400_000.0
    event_tokens: int = 6


class EngineRequest:
    """Request at an engine and its progress.

    :param prompt: list of the prompt's parts as (id, number of tokens)
    :param output_tokens: number of tokens of the response
    :param priority: priority; 0 is admitted first
    :param copy_from: :class:`EmulatedEngine` to copy cached parts from, or
        ``None``
    :param on_first_event: called when the first event is complete
    :param on_complete: called when the response is complete
    :ivar prefill_left: prompt tokens that are still to be prefilled
    :ivar output_left: output tokens that are still to be decoded
    :ivar total_tokens: number of tokens of the prompt and the response
    """

    __slots__ = (
        "prompt",
        "output_tokens",
        "priority",
        "copy_from",
        "on_first_event",
        "on_complete",
        "prefill_left",
        "output_left",
        "total_tokens",
    )

    def __init__(
        self,
        prompt,
        output_tokens,
        priority,
        copy_from,
        on_first_event,
        on_complete,
    ):
        self.prompt = prompt
        self.output_tokens = output_tokens
        self.priority = priority
        self.copy_from = copy_from
        self.on_first_event = on_first_event
        self.on_complete = on_complete
        self.prefill_left = 0.0
        self.output_left = float(output_tokens)
        self.total_tokens = sum(tokens for _, tokens in prompt) + output_tokens


class EmulatedEngine:
    """Engine that processes requests in batches.

    Each step decodes one token of every decoding request and prefills a chunk
    of one prompt; prompts are prefilled in order of admission. A chunk makes
    its step longer. Progress is computed only when the batch changes. The
    model leaves out preemption, load reports and delays of stream events.

    :param clock: :class:`~boragetrail.emulator.VirtualClock`
    :param profile: :class:`EngineProfile`
    :ivar cache: number of tokens of each cached prompt part by id, least
        recently used first
    :ivar cached_tokens: number of tokens in the cache
    :ivar used_tokens: number of tokens reserved by admitted requests
    :ivar waiting: heap of (priority, arrival number, request)
    :ivar last_advance_s: time up to which progress is computed
    :ivar wakeup_id: number of the newest wakeup; older ones are ignored
    :ivar prefill_tokens: number of prompt tokens prefilled since the start
    :ivar copied_tokens: number of tokens copied from other engines since the
        start
    """

    def __init__(self, clock, profile):
        self.clock = clock
        self.profile = profile
        self.cache = collections.OrderedDict()
        self.cached_tokens = 0
        self.used_tokens = 0
        self.waiting = []
        self.arrival_numbers = itertools.count()
        self.prefilling = collections.deque()
        self.decoding = set()
        self.copying = set()
        self.last_advance_s = 0.0
        self.wakeup_id = 0
        self.prefill_tokens = 0
        self.copied_tokens = 0

    @property
    def active(self):
        """Return the number of requests that are queued or admitted."""
        queued = len(self.waiting) + len(self.prefilling)
        return queued + len(self.decoding) + len(self.copying)

    def submit(self, request):
        """Queue a request."""
        entry = (request.priority, next(self.arrival_numbers), request)
        heapq.heappush(self.waiting, entry)
        self._advance()
        self._reschedule()

    def cancel(self, request):
        """Remove a queued or admitted request; ignore any other request."""
        self._advance()
        admitted = request in self.decoding or request in self.prefilling
        if admitted or request in self.copying:
            self.decoding.discard(request)
            self.copying.discard(request)
            if request in self.prefilling:
                self.prefilling.remove(request)
            self.used_tokens -= request.total_tokens
        self.waiting = [
            entry for entry in self.waiting if entry[2] is not request
        ]
        heapq.heapify(self.waiting)
        self._reschedule()

    def crash(self):
        """Drop all requests and the cache; return the dropped requests."""
        dropped = [entry[2] for entry in self.waiting]
        dropped += [*self.prefilling, *self.decoding, *self.copying]
        self.waiting = []
        self.prefilling.clear()
        self.decoding.clear()
        self.copying.clear()
        self.cache.clear()
        self.cached_tokens = self.used_tokens = 0
        self.wakeup_id += 1
        return dropped

    def cached_prefix_tokens(self, prompt):
        """Return the number of tokens in a prompt's longest cached prefix."""
        total = 0
        for part, tokens in prompt:
            if part not in self.cache:
                break
            total += tokens
        return total

    def _step_s(self):
        profile = self.profile
        batch = len(self.decoding) + bool(self.prefilling)
        step_s = profile.step_s + profile.step_each_s * batch
        if self.prefilling:
            chunk = min(profile.chunk_tokens, self.prefilling[0].prefill_left)
            step_s += chunk / profile.read_per_s
        return step_s

    def _chunk_size(self):
        return max(
            1.0,
            min(self.profile.chunk_tokens, self.prefilling[0].prefill_left),
        )

    def _advance(self):
        """Update the progress of requests up to the current time."""
        now = self.clock()
        if now > self.last_advance_s and (self.decoding or self.prefilling):
            steps = (now - self.last_advance_s) / self._step_s()
            for request in self.decoding:
                request.output_left -= steps
            if self.prefilling:
                self.prefilling[0].prefill_left -= steps * self._chunk_size()
        self.last_advance_s = now

    def _reschedule(self):
        """Admit requests; schedule a wakeup for the next end of a phase.

        A phase is the prefill of the oldest prompt or a request's decoding.
        """
        self._admit()
        self.wakeup_id += 1
        if not self.decoding and not self.prefilling:
            return
        step_s = self._step_s()
        delays_s = [request.output_left * step_s for request in self.decoding]
        if self.prefilling:
            steps = self.prefilling[0].prefill_left / self._chunk_size()
            delays_s.append(max(1.0, steps) * step_s)
        wakeup_id = self.wakeup_id
        delay_s = max(0.0, min(delays_s))
        self.clock.call_later(delay_s, lambda: self._on_wakeup(wakeup_id))

    def _on_wakeup(self, wakeup_id):
        if wakeup_id != self.wakeup_id:
            return
        self._advance()
        completed = [
            request
            for request in self.decoding
            if request.output_left <= ROUNDING_TOLERANCE_TOKENS
        ]
        for request in completed:
            self.decoding.discard(request)
            self.used_tokens -= request.total_tokens
        prefilled = None
        if (
            self.prefilling
            and self.prefilling[0].prefill_left <= ROUNDING_TOLERANCE_TOKENS
        ):
            prefilled = self.prefilling.popleft()
            self._add_to_cache(prefilled.prompt)
            prefilled.output_left -= 1.0
            self.decoding.add(prefilled)
        self._reschedule()
        for request in completed:
            request.on_complete()
        if prefilled is not None:
            tokens = min(self.profile.event_tokens, prefilled.output_tokens)
            delay_s = (tokens - 1) * self._step_s()
            self.clock.call_later(delay_s, prefilled.on_first_event)

    def _admit(self):
        while self.waiting:
            admitted = len(self.decoding) + len(self.prefilling)
            admitted += len(self.copying)
            request = self.waiting[0][2]
            over_memory = (
                self.used_tokens + request.total_tokens
                > self.profile.memory_tokens
            )
            if admitted >= self.profile.slots or (over_memory and admitted):
                return
            heapq.heappop(self.waiting)
            self.used_tokens += request.total_tokens
            self._evict()
            self._copy_cached(request)

    def _copy_cached(self, request):
        """Copy the cached prefix from another engine, then queue the prefill.

        The prefill is queued at once if ``request.copy_from`` is ``None`` or
        does not cache a longer prefix than this engine.
        """
        local = self.cached_prefix_tokens(request.prompt)
        source = request.copy_from
        copied = (
            source.cached_prefix_tokens(request.prompt) - local
            if source
            else 0
        )
        if copied <= 0:
            self._queue_prefill(request, local)
            return
        self.copied_tokens += copied
        self.copying.add(request)

        def finish_copy():
            if request in self.copying:
                self.copying.discard(request)
                self._advance()
                self._queue_prefill(request, local + copied)
                self._reschedule()

        self.clock.call_later(copied / self.profile.copy_per_s, finish_copy)

    def _queue_prefill(self, request, cached):
        total = sum(tokens for _, tokens in request.prompt)
        request.prefill_left = float(max(1, total - cached))
        self.prefill_tokens += total - cached
        for part, _ in request.prompt:
            if part in self.cache:
                self.cache.move_to_end(part)
        self.prefilling.append(request)

    def _add_to_cache(self, prompt):
        for part, tokens in prompt:
            if part not in self.cache:
                self.cached_tokens += tokens
            self.cache[part] = tokens
            self.cache.move_to_end(part)
        self._evict()

    def _evict(self):
        available = self.profile.memory_tokens - self.used_tokens
        while self.cache and self.cached_tokens > max(0, available):
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens
