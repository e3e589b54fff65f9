"""A stand-in for a model engine that batches continuously."""

import asyncio
import collections
import hashlib
import heapq
import itertools
import json
import random
import time

import aiohttp.web

from standins.faults import Faults

__all__ = ["Engine", "EngineShape", "answer_words", "make_app"]

BLOCK_WORDS = 16
DEFAULT_ANSWER_WORDS = 32


class EngineShape:
    """How an engine behaves; times in seconds.

    :param step_s: time of a step without requests
    :param step_each_s: time that each request of the batch adds
    :param prefill_word_s: time for one word that is not cached
    :param import_block_s: time to import one block of KV cache
    :param cache_blocks: prefix blocks that the cache holds
    :param slots: requests in one batch
    :param cold_words: words after which a cold engine is warm
    :param cold_factor: how much slower a cold engine steps
    :param cold_limit: requests at which a cold engine falls over
    :param report_lag_s: lag of load reports and cache events
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
                raise ValueError(f"engines have no {name!r}")
            setattr(self, name, value)


class Sequence:
    """One request in the engine."""

    def __init__(self, words, wanted, skip, chat_id):
        self.words = words
        self.wanted = wanted
        self.skip = skip
        self.chat_id = chat_id
        self.cached = 0
        self.made = skip
        self.prefilled = False
        self.events = asyncio.Queue()
        # A stream may be resumed behind its last word or behind its usage.
        self.ended = skip >= wanted
        self.gone = self.ended


class PrefixCache:
    """Prefix blocks by their chained hash, the least recent dropped."""

    def __init__(self, limit):
        self.limit = limit
        self.blocks = collections.OrderedDict()
        self.events = []

    def match(self, words):
        """Return how many leading words are cached."""
        count = 0
        for digest in block_hashes(words):
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            count += BLOCK_WORDS
        return count

    def add(self, digests):
        """Add blocks and drop the least recent ones."""
        for digest in digests:
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
            self.events.append(("stored", digest))
        while len(self.blocks) > self.limit:
            dropped, _ = self.blocks.popitem(last=False)
            self.events.append(("removed", dropped))


def block_hashes(words):
    """Return the chained hashes of the whole blocks of a text."""
    digest = b""
    hashes = []
    for begin in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[begin : begin + BLOCK_WORDS])
        digest = hashlib.blake2b(digest + block.encode(), digest_size=8)
        digest = digest.digest()
        hashes.append(digest.hex())
    return hashes


def prompt_words(messages):
    """Return the words of a chat."""
    return " ".join(str(m["content"]) for m in messages).split()


def answer_words(words, wanted):
    """Return the words that every engine answers a prompt with."""
    seed = hashlib.blake2b(" ".join(words).encode(), digest_size=8).digest()
    generator = random.Random(seed)
    return [f"w{generator.randrange(1000)}" for _ in range(wanted)]


class Engine:
    """Batch requests continuously."""

    def __init__(self, name, shape):
        self.name = name
        self.shape = shape
        self.cache = PrefixCache(shape.cache_blocks)
        self.faults = Faults()
        self.waiting = []
        self.batch = []
        self.counter = itertools.count()
        self.arrived = asyncio.Event()
        self.served = 0
        self.falls = 0
        self.words_made = 0
        self.most_running = 0
        self.fencing = 0
        self.model = None
        self.blocks_by_chat = {}
        self.reports = collections.deque(maxlen=400)
        self.boot(shape.starts_cold)

    def boot(self, cold):
        """Begin anew; a cold engine has lost its cache."""
        self.boot_id = f"{random.getrandbits(64):016x}"
        self.warm_after = self.words_made
        if cold:
            self.warm_after += self.shape.cold_words
            self.cache.blocks.clear()
            self.served = 0

    @property
    def is_cold(self):
        """Return whether the engine has not made enough words yet."""
        return self.words_made < self.warm_after

    async def run(self):
        """Step for ever."""
        while True:
            while len(self.batch) < self.shape.slots and self.waiting:
                self.batch.append(heapq.heappop(self.waiting)[-1])
            self.batch = [each for each in self.batch if not each.gone]
            self.report()
            if not self.batch:
                self.arrived.clear()
                await self.arrived.wait()
                continue
            if self.is_cold and len(self.batch) > self.shape.cold_limit:
                self.fall()
                continue
            await asyncio.sleep(self.step_time_s())
            self.step()

    def step_time_s(self):
        """Return the time of the next step."""
        shape = self.shape
        took_s = shape.step_s + shape.step_each_s * len(self.batch)
        for each in self.batch:
            if not each.prefilled:
                each.cached = min(
                    self.cache.match(each.words), len(each.words) - 1
                )
                fresh = len(each.words) - each.cached
                took_s += fresh * shape.prefill_word_s
                each.prefilled = True
        return took_s * (shape.cold_factor if self.is_cold else 1.0)

    def step(self):
        """Make one word for each request."""
        for each in self.batch:
            each.made += 1
            self.words_made += 1
            each.events.put_nowait(each.made)
            if each.made >= each.wanted:
                self.finish(each)
        self.batch = [each for each in self.batch if each.made < each.wanted]

    def finish(self, sequence):
        """Cache the whole text of a request."""
        whole = sequence.words + answer_words(sequence.words, sequence.wanted)
        hashes = block_hashes(whole)
        self.cache.add(hashes)
        if sequence.chat_id:
            self.blocks_by_chat[sequence.chat_id] = hashes
        self.served += 1

    def fall(self):
        """Fail every request and restart cold."""
        self.falls += 1
        for each in self.batch + [entry[-1] for entry in self.waiting]:
            each.events.put_nowait(None)
        self.batch, self.waiting = [], []
        self.boot(cold=True)

    def report(self):
        """Keep a load report, shown later with its lag."""
        self.most_running = max(self.most_running, len(self.batch))
        report = {
            "boot_id": self.boot_id,
            "running": len(self.batch),
            "waiting": len(self.waiting),
            "served": self.served,
        }
        self.reports.append((time.monotonic(), report))

    def lagged_report(self):
        """Return the newest report that is old enough to be seen."""
        self.report()
        seen_s = time.monotonic() - self.shape.report_lag_s
        old = [report for at_s, report in self.reports if at_s <= seen_s]
        return old[-1] if old else self.reports[0][1]

    def routes(self):
        """Return the routes of the engine."""
        return [
            aiohttp.web.post("/v1/chat/completions", self._chat),
            aiohttp.web.get("/load", self._load),
            aiohttp.web.get("/cache/events", self._cache_events),
            aiohttp.web.post("/kv/export", self._export),
            aiohttp.web.post("/kv/import", self._import),
            aiohttp.web.post("/orders/load", self._order),
            aiohttp.web.post("/cold", self._go_cold),
            aiohttp.web.get("/counts", self._counts),
        ]

    async def _chat(self, request):
        body = await request.json()
        words = prompt_words(body["messages"])
        wanted = int(body.get("max_tokens", DEFAULT_ANSWER_WORDS))
        skip = int(request.headers.get("X-Resume-Events", "0"))
        chat_id = request.headers.get("X-Chat-Id", body.get("chat_id", ""))
        sequence = Sequence(words, wanted, skip, chat_id)
        priority = int(request.headers.get("X-Priority", "5"))
        entry = (priority, next(self.counter), sequence)
        heapq.heappush(self.waiting, entry)
        self.arrived.set()
        try:
            if body.get("stream"):
                return await self._stream(request, sequence)
            return await self._whole(sequence)
        finally:
            sequence.gone = True

    async def _whole(self, sequence):
        while True:
            made = await sequence.events.get()
            if made is None:
                return aiohttp.web.Response(status=500, text="fell over")
            if made >= sequence.wanted:
                break
        words = answer_words(sequence.words, sequence.wanted)
        message = {"role": "assistant", "content": " ".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        body = {"choices": [choice], "usage": self._usage(sequence)}
        return aiohttp.web.json_response(body)

    async def _stream(self, request, sequence):
        response = aiohttp.web.StreamResponse()
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        words = answer_words(sequence.words, sequence.wanted)
        prepared = False
        while not sequence.ended:
            made = await sequence.events.get()
            if made is None:
                request.transport.abort()
                return response
            if not prepared:
                await response.prepare(request)
                prepared = True
            await response.write(_event(words[made - 1] + " "))
            if made >= sequence.wanted:
                break
        if not prepared:
            await response.prepare(request)
        if sequence.skip <= sequence.wanted:
            usage = {"choices": [], "usage": self._usage(sequence)}
            await response.write(f"data: {json.dumps(usage)}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _usage(self, sequence):
        return {
            "prompt_tokens": len(sequence.words),
            "completion_tokens": sequence.wanted,
            "prompt_tokens_details": {"cached_tokens": sequence.cached},
        }

    async def _load(self, request):
        return aiohttp.web.json_response(self.lagged_report())

    async def _cache_events(self, request):
        since = int(request.query.get("since", "0"))
        events = self.cache.events[since:]
        kept = [event for event in events if hash(event) % 10]
        body = {"events": kept, "next": len(self.cache.events)}
        await asyncio.sleep(self.shape.report_lag_s)
        return aiohttp.web.json_response(body)

    async def _export(self, request):
        chat_id = (await request.json())["chat_id"]
        blocks = self.blocks_by_chat.get(chat_id, [])
        held = [digest for digest in blocks if digest in self.cache.blocks]
        return aiohttp.web.json_response({"blocks": held})

    async def _import(self, request):
        body = await request.json()
        await asyncio.sleep(self.shape.import_block_s * len(body["blocks"]))
        self.cache.add(body["blocks"])
        self.blocks_by_chat[body["chat_id"]] = body["blocks"]
        return aiohttp.web.json_response({"blocks": len(body["blocks"])})

    async def _order(self, request):
        body = await request.json()
        if self.shape.checks_fencing and body["fencing"] < self.fencing:
            return aiohttp.web.json_response({}, status=409)
        self.fencing = max(self.fencing, body["fencing"])
        self.model = [body["model"], body["version"]]
        return aiohttp.web.json_response({"model": self.model})

    async def _go_cold(self, request):
        self.boot(cold=True)
        return aiohttp.web.json_response({"boot_id": self.boot_id})

    async def _counts(self, request):
        body = {
            "served": self.served,
            "falls": self.falls,
            "words": self.words_made,
            "cold": self.is_cold,
            "most_running": self.most_running,
            "model": self.model,
            "fencing": self.fencing,
        }
        return aiohttp.web.json_response(body)


def _event(text):
    delta = {"choices": [{"index": 0, "delta": {"content": text}}]}
    return f"data: {json.dumps(delta)}\n\n".encode()


def make_app(name, shape):
    """Return the application of an engine."""
    engine = Engine(name, shape)
    app = aiohttp.web.Application(
        middlewares=[engine.faults.middleware], client_max_size=1 << 28
    )
    app.add_routes(engine.routes())
    app.add_routes(engine.faults.routes())

    async def start(app):
        app["engine"] = asyncio.create_task(engine.run())

    app.on_startup.append(start)
    return app
