"""Test double of a model engine with continuous batching."""

import asyncio
import collections
import heapq
import itertools
import json
import random
import time

import aiohttp.web

from standins.faults import Faults
from standins.prefixcache import (
    PrefixCache,
    block_hashes,
    prompt_words,
    response_words,
)

__all__ = ["Engine", "EngineProfile", "make_app"]

DEFAULT_RESPONSE_WORDS = 32


class EngineProfile:
    """Hold the capacity and the speeds of an engine; times in seconds.

    :param step_s: duration of a step without requests
    :param step_each_s: time that each request of the batch adds to a step
    :param prefill_word_s: prefill time of one word that is not cached
    :param import_block_s: time to import one block of KV cache
    :param cache_blocks: capacity of the prefix cache in blocks
    :param slots: maximum number of requests in a batch
    :param cold_words: words that a cold engine generates until it is warm
    :param cold_factor: factor by which the steps of a cold engine are slower
    :param cold_limit: largest batch at which a cold engine does not crash
    :param report_lag_s: delay of load reports and cache events
    :param checks_fencing: whether orders with an old fencing token are
        refused
    :param starts_cold: whether the engine is cold when it starts
    """

    def __init__(self, **values):
        self.step_s = 0.010
        self.step_each_s = 0.0008
        self.prefill_word_s = 0.0003
        self.import_block_s = 0.0005
        self.cache_blocks = 4000
        self.slots = 32
        self.cold_words = 150
        self.cold_factor = 4.0
        self.cold_limit = 6
        self.report_lag_s = 0.5
        self.checks_fencing = True
        self.starts_cold = False
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f"engine profile has no field {name!r}")
            setattr(self, name, value)


class Sequence:
    """Hold the state of one request in the engine.

    :param words: words of the prompt
    :param output_words: number of words of the complete response
    :param resumed_words: number of events that the caller already has
    :param chat_id: id of the chat, or empty
    :ivar cached: number of leading prompt words found in the prefix cache
    :ivar generated: number of words of the response so far
    :ivar events: ``generated`` after each step; ``None`` after a crash
    """

    def __init__(self, words, output_words, resumed_words, chat_id):
        self.words = words
        self.output_words = output_words
        self.resumed_words = resumed_words
        self.chat_id = chat_id
        self.cached = 0
        self.generated = resumed_words
        self.prefilled = False
        self.events = asyncio.Queue()
        # A request may resume after the last word, or after the usage event,
        # which is event ``output_words + 1``. No words remain in either case.
        self.is_complete = resumed_words >= output_words
        self.is_closed = self.is_complete


class Engine:
    """Hold the requests, the prefix cache and the counters of an engine."""

    def __init__(self, name, profile):
        self.name = name
        self.profile = profile
        self.cache = PrefixCache(profile.cache_blocks)
        self.faults = Faults()
        self.waiting = []
        self.batch = []
        self.counter = itertools.count()
        self.request_arrived = asyncio.Event()
        self.served = 0
        self.crashes = 0
        self.words_generated = 0
        self.max_running = 0
        self.fencing = 0
        self.model = None
        self.blocks_by_chat = {}
        self.reports = collections.deque(maxlen=400)
        self.boot(profile.starts_cold)

    def boot(self, cold):
        """Start with a new boot id; a cold start loses the cache."""
        self.boot_id = f"{random.getrandbits(64):016x}"
        self.warm_at_words = self.words_generated
        if cold:
            self.warm_at_words += self.profile.cold_words
            self.cache.blocks.clear()
            self.served = 0

    @property
    def is_cold(self):
        """Return whether the engine has generated too few words to be warm."""
        return self.words_generated < self.warm_at_words

    async def run(self):
        """Run steps until cancelled."""
        while True:
            while len(self.batch) < self.profile.slots and self.waiting:
                self.batch.append(heapq.heappop(self.waiting)[-1])
            self.batch = [
                sequence for sequence in self.batch if not sequence.is_closed
            ]
            self.record_report()
            if not self.batch:
                self.request_arrived.clear()
                await self.request_arrived.wait()
                continue
            if self.is_cold and len(self.batch) > self.profile.cold_limit:
                self.crash()
                continue
            await asyncio.sleep(self.step_time_s())
            self.step()

    def step_time_s(self):
        """Prefill new requests; return the duration of the step in seconds."""
        profile = self.profile
        took_s = profile.step_s + profile.step_each_s * len(self.batch)
        for sequence in self.batch:
            if not sequence.prefilled:
                sequence.cached = min(
                    self.cache.match(sequence.words), len(sequence.words) - 1
                )
                uncached_words = len(sequence.words) - sequence.cached
                took_s += uncached_words * profile.prefill_word_s
                sequence.prefilled = True
        return took_s * (profile.cold_factor if self.is_cold else 1.0)

    def step(self):
        """Generate one word for each request of the batch."""
        for sequence in self.batch:
            sequence.generated += 1
            self.words_generated += 1
            sequence.events.put_nowait(sequence.generated)
            if sequence.generated >= sequence.output_words:
                self.finish(sequence)
        self.batch = [
            sequence
            for sequence in self.batch
            if sequence.generated < sequence.output_words
        ]

    def finish(self, sequence):
        """Cache the prompt and the response of a request."""
        text_words = sequence.words + response_words(
            sequence.words, sequence.output_words
        )
        hashes = block_hashes(text_words)
        self.cache.add(hashes)
        if sequence.chat_id:
            self.blocks_by_chat[sequence.chat_id] = hashes
        self.served += 1

    def crash(self):
        """Abort every request and restart cold."""
        self.crashes += 1
        for sequence in self.batch + [entry[-1] for entry in self.waiting]:
            sequence.events.put_nowait(None)
        self.batch, self.waiting = [], []
        self.boot(cold=True)

    def record_report(self):
        """Record a load report; it is visible after ``report_lag_s``."""
        self.max_running = max(self.max_running, len(self.batch))
        report = {
            "boot_id": self.boot_id,
            "running": len(self.batch),
            "waiting": len(self.waiting),
            "served": self.served,
        }
        self.reports.append((time.monotonic(), report))

    def lagged_report(self):
        """Return the newest load report that is visible."""
        self.record_report()
        visible_s = time.monotonic() - self.profile.report_lag_s
        visible = [
            report for at_s, report in self.reports if at_s <= visible_s
        ]
        return visible[-1] if visible else self.reports[0][1]

    def routes(self):
        """Return the routes of the engine."""
        return [
            aiohttp.web.post("/v1/chat/completions", self._chat),
            aiohttp.web.get("/load", self._load),
            aiohttp.web.get("/cache/events", self._cache_events),
            aiohttp.web.post("/kv/export", self._export),
            aiohttp.web.post("/kv/import", self._import),
            aiohttp.web.post("/orders/load", self._order),
            aiohttp.web.post("/cold", self._restart_cold),
            aiohttp.web.get("/counts", self._counts),
        ]

    async def _chat(self, request):
        body = await request.json()
        words = prompt_words(body["messages"])
        output_words = int(body.get("max_tokens", DEFAULT_RESPONSE_WORDS))
        resumed_words = int(request.headers.get("X-Resume-Events", "0"))
        chat_id = request.headers.get("X-Chat-Id", body.get("chat_id", ""))
        sequence = Sequence(words, output_words, resumed_words, chat_id)
        priority = int(request.headers.get("X-Priority", "5"))
        entry = (priority, next(self.counter), sequence)
        heapq.heappush(self.waiting, entry)
        self.request_arrived.set()
        try:
            if body.get("stream"):
                return await self._stream(request, sequence)
            return await self._full_response(sequence)
        finally:
            sequence.is_closed = True

    async def _full_response(self, sequence):
        while True:
            generated = await sequence.events.get()
            if generated is None:
                return aiohttp.web.Response(status=500, text="engine crashed")
            if generated >= sequence.output_words:
                break
        words = response_words(sequence.words, sequence.output_words)
        message = {"role": "assistant", "content": " ".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        body = {"choices": [choice], "usage": self._usage(sequence)}
        return aiohttp.web.json_response(body)

    async def _stream(self, request, sequence):
        response = aiohttp.web.StreamResponse()
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        words = response_words(sequence.words, sequence.output_words)
        prepared = False
        while not sequence.is_complete:
            generated = await sequence.events.get()
            if generated is None:
                request.transport.abort()
                return response
            if not prepared:
                await response.prepare(request)
                prepared = True
            await response.write(_event(words[generated - 1] + " "))
            if generated >= sequence.output_words:
                break
        if not prepared:
            await response.prepare(request)
        if sequence.resumed_words <= sequence.output_words:
            usage = {"choices": [], "usage": self._usage(sequence)}
            await response.write(f"data: {json.dumps(usage)}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _usage(self, sequence):
        return {
            "prompt_tokens": len(sequence.words),
            "completion_tokens": sequence.output_words,
            "prompt_tokens_details": {"cached_tokens": sequence.cached},
        }

    async def _load(self, request):
        return aiohttp.web.json_response(self.lagged_report())

    async def _cache_events(self, request):
        since = int(request.query.get("since", "0"))
        events = self.cache.events[since:]
        kept = [event for event in events if hash(event) % 10]
        body = {"events": kept, "next": len(self.cache.events)}
        await asyncio.sleep(self.profile.report_lag_s)
        return aiohttp.web.json_response(body)

    async def _export(self, request):
        chat_id = (await request.json())["chat_id"]
        blocks = self.blocks_by_chat.get(chat_id, [])
        held = [digest for digest in blocks if digest in self.cache.blocks]
        return aiohttp.web.json_response({"blocks": held})

    async def _import(self, request):
        body = await request.json()
        await asyncio.sleep(self.profile.import_block_s * len(body["blocks"]))
        self.cache.add(body["blocks"])
        self.blocks_by_chat[body["chat_id"]] = body["blocks"]
        return aiohttp.web.json_response({"blocks": len(body["blocks"])})

    async def _order(self, request):
        body = await request.json()
        if self.profile.checks_fencing and body["fencing"] < self.fencing:
            return aiohttp.web.json_response({}, status=409)
        self.fencing = max(self.fencing, body["fencing"])
        self.model = [body["model"], body["version"]]
        return aiohttp.web.json_response({"model": self.model})

    async def _restart_cold(self, request):
        self.boot(cold=True)
        return aiohttp.web.json_response({"boot_id": self.boot_id})

    async def _counts(self, request):
        body = {
            "served": self.served,
            "falls": self.crashes,
            "words": self.words_generated,
            "cold": self.is_cold,
            "most_running": self.max_running,
            "model": self.model,
            "fencing": self.fencing,
        }
        return aiohttp.web.json_response(body)


def _event(text):
    delta = {"choices": [{"index": 0, "delta": {"content": text}}]}
    return f"data: {json.dumps(delta)}\n\n".encode()


def make_app(name, profile):
    """Return the web application of an engine."""
    engine = Engine(name, profile)
    app = aiohttp.web.Application(
        middlewares=[engine.faults.middleware], client_max_size=1 << 28
    )
    app.add_routes(engine.routes())
    app.add_routes(engine.faults.routes())

    async def start(app):
        app["engine"] = asyncio.create_task(engine.run())

    app.on_startup.append(start)
    return app
