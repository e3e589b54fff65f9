"""Workload of chats that return after pauses, and its measures."""

import asyncio
import collections
import random
import time

from hdrh.histogram import HdrHistogram

from tools.client import Caller

__all__ = ["Workload", "percentiles_ms"]

BLOCK_WORDS = 16
LARGEST_US = 60_000_000
# Ratio of the chats that belong to the large customers.
LARGE_CUSTOMER_RATIO = 0.6
LARGE_CUSTOMERS = 3


class Workload:
    """Hold the state and the measures of chats that run against a fleet.

    :param fleet: :class:`tools.fleet.Fleet`
    :param seed: seed of the workload
    :param chats: number of concurrent chats
    :param pause_s: mean pause in seconds before a chat returns
    :param long_pause_s: mean in seconds of the long pauses, one in ten
    """

    def __init__(self, fleet, seed, chats, pause_s=1.0, long_pause_s=4.0):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.chats = chats
        self.pause_s = pause_s
        self.long_pause_s = long_pause_s
        self.is_running = True
        self.first_token_us = HdrHistogram(1, LARGEST_US, 3)
        self.token_intervals_us = HdrHistogram(1, LARGEST_US, 3)
        self.counts = collections.Counter()
        self.cached = 0
        self.cacheable_words = 0
        self.timeline = []

    async def run(self, seconds):
        """Run for some seconds; return the measures."""
        workers = [
            asyncio.create_task(self._worker(number))
            for number in range(self.chats)
        ]
        await asyncio.sleep(seconds)
        self.is_running = False
        await asyncio.gather(*workers)
        return self.measures()

    def measures(self):
        """Return the measures so far."""
        failures = {
            name: count
            for name, count in self.counts.items()
            if name not in ("turns", "whole", "returns")
        }
        return {
            "turns": self.counts["turns"],
            "whole": self.counts["whole"],
            "not whole": failures,
            "reuse": round(self.cached / max(1, self.cacheable_words), 4),
            "first word ms": percentiles_ms(self.first_token_us),
            "between words ms": percentiles_ms(self.token_intervals_us),
        }

    async def _worker(self, number):
        generator = random.Random(self.random.random())
        await asyncio.sleep(generator.uniform(0, self.pause_s))
        while self.is_running:
            await self._chat(generator, number)

    async def _chat(self, generator, number):
        customer = self._customer(generator)
        guide = " ".join(f"{customer}-guide-{n}" for n in range(80))
        opening = " ".join(f"c{generator.random()}" for _ in range(60))
        messages = [{"role": "user", "content": f"{guide} {opening}"}]
        chat_id, hint, context_words = "", "", 0
        for _ in range(generator.randint(3, 8)):
            if not self.is_running:
                return
            caller = self._caller(generator, customer)
            result = await caller.chat(messages, chat_id, hint, words=20)
            self._record(result, context_words)
            if result.is_complete:
                chat_id = result.headers["X-Chat-Id"]
                hint = result.headers["X-Chat-Hint"]
                context_words = result.prompt_words + 20
                response = {"role": "assistant", "content": result.text}
                messages += [response, {"role": "user", "content": "go on"}]
            await asyncio.sleep(self._pause_s(generator))

    def _record(self, result, context_words):
        self.counts["turns"] += 1
        self.timeline.append(
            (time.monotonic(), result.first_token_s, result.is_complete)
        )
        if not result.is_complete:
            problem = result.problem or {"code": "cut cleanly"}
            self.counts[problem["code"]] += 1
            return
        self.counts["whole"] += 1
        self.first_token_us.record_value(int(1e6 * result.first_token_s))
        for interval_s in result.token_intervals_s:
            self.token_intervals_us.record_value(max(1, int(1e6 * interval_s)))
        if context_words:
            self.counts["returns"] += 1
            cacheable_words = context_words // BLOCK_WORDS * BLOCK_WORDS
            self.cacheable_words += cacheable_words
            self.cached += min(result.cached_words, cacheable_words)

    def _customer(self, generator):
        customers = self.fleet.deployment.customers
        if generator.random() < LARGE_CUSTOMER_RATIO:
            return generator.choice(customers[:LARGE_CUSTOMERS])
        return generator.choice(customers[LARGE_CUSTOMERS:])

    def _caller(self, generator, customer):
        routers = len(self.fleet.deployment.routers)
        url = self.fleet.router(generator.randrange(routers)).url("callers")
        return Caller(self.fleet.session, url, self.fleet.key_of(customer))

    def _pause_s(self, generator):
        is_long = generator.random() < 0.1
        mean_s = self.long_pause_s if is_long else self.pause_s
        return generator.expovariate(1 / mean_s)


def percentiles_ms(histogram):
    """Return p50, p95 and p99 of a histogram of microseconds."""
    return {
        f"p{p}": round(histogram.get_value_at_percentile(p) / 1000, 1)
        for p in (50, 95, 99)
    }
