"""Start the Kowhai deployment, send requests and print the results."""

import asyncio
import sys
import time

import rich.console
import rich.table

from tools.client import Caller
from tools.deployments import kowhai
from tools.fleet import Fleet

__all__ = ["Demo"]

BRAND_WORDS = 240
TRAFFIC_CUSTOMERS = ("customer-2", "customer-3", "customer-4")
ZONE_OUT_S = 4.0
ZONE_IN_S = 3.0
SETTLE_S = 3.0


class Demo:
    """Hold the processes and the results of a demonstration.

    :param fleet: :class:`tools.fleet.Fleet`
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.console = rich.console.Console(soft_wrap=True)
        self.rows = []
        self.results = []
        self.is_running = True
        self.failed = False

    async def run(self):
        """Run all parts; return whether all checks passed."""
        await self.fleet.start()
        self.console.print(f"logs and settings: {self.fleet.folder}")
        await self._chat()
        await self._order()
        await self._zone()
        self._print_results()
        return not self.failed

    def caller(self, router, customer):
        """Return a caller at a router."""
        url = self.fleet.router(router).url("callers")
        key = self.fleet.key_of(customer)
        return Caller(self.fleet.session, url, key)

    async def _chat(self):
        guide = " ".join(f"brand{n}" for n in range(BRAND_WORDS))
        messages = [{"role": "user", "content": guide}]
        self.console.print("chat through router 1: ", end="")
        first = await self.caller(0, "customer-1").chat(
            messages, on_token=self._print_token
        )
        self.console.print()
        messages.append({"role": "assistant", "content": first.text})
        messages.append({"role": "user", "content": "shorter, please"})
        chat_id = first.headers.get("X-Chat-Id", "")
        hint = first.headers.get("X-Chat-Hint", "")
        second = await self.caller(1, "customer-1").chat(
            messages, chat_id, hint
        )
        self._record_check(
            "first turn is whole",
            first.is_complete,
            f"{first.prompt_words} words",
        )
        detail = (
            f"{second.cached_words} of {second.prompt_words} "
            f"prompt words cached"
        )
        self._record_check(
            "return through router 2", second.cached_words > 0, detail
        )

    async def _order(self):
        path = "/services/exports/exports?order=demo"
        responses = []
        for router in (0, 1):
            responses.append(
                await self.caller(router, "customer-1").request(
                    "POST", path, b"screens", idempotency_key="demo-order"
                )
            )
        is_same = responses[0][1] == responses[1][1] and responses[0][0] == 200
        self._record_check(
            "one key twice, same answer", is_same, str(responses[0][0])
        )
        executions = await self._executions("demo")
        self._record_check(
            "executions of the order", executions == 1, str(executions)
        )

    async def _zone(self):
        zone = self.fleet.deployment.zones[0]
        traffic = [
            asyncio.create_task(self._traffic(number, customer))
            for number, customer in enumerate(TRAFFIC_CUSTOMERS * 2)
        ]
        await asyncio.sleep(1.0)
        await self.fleet.set_zone(zone, out=True)
        await asyncio.sleep(SETTLE_S)
        before = await self._generated_words(zone)
        await asyncio.sleep(ZONE_OUT_S)
        during = await self._generated_words(zone) - before
        await self.fleet.set_zone(zone, out=False)
        await asyncio.sleep(ZONE_IN_S)
        self.is_running = False
        await asyncio.gather(*traffic)
        after = await self._generated_words(zone) - before - during
        self._record_check(
            f"words made in {zone} while out", during == 0, str(during)
        )
        self._record_check(
            f"words made in {zone} after", after > 0, str(after)
        )
        failed_count = sum(
            1 for result in self.results if not result.is_complete
        )
        total = len(self.results)
        self._record_check(
            "chats cut or refused",
            failed_count == 0,
            f"{failed_count} of {total}",
        )
        first_token_times_s = sorted(
            r.first_token_s for r in self.results if r.first_token_s
        )
        p95 = first_token_times_s[int(0.95 * len(first_token_times_s))]
        self._record_check(
            "first word, 95 in 100", True, f"{1000 * p95:.0f} ms"
        )

    async def _traffic(self, number, customer):
        turn = 0
        while self.is_running:
            caller = self.caller(turn % 3, customer)
            text = f"{customer} {number} {turn} " + "copy " * 40
            message = {"role": "user", "content": text}
            self.results.append(await caller.chat([message], words=12))
            turn += 1

    async def _generated_words(self, zone):
        total = 0
        for server in self.fleet.deployment.servers:
            if server.kind == "model" and server.zone == zone:
                url = self.fleet.nodes_by_name[f"{server.name}-backend"].url(
                    "main"
                )
                total += (await self.fleet.get_json(f"{url}/counts"))["words"]
        return total

    async def _executions(self, order):
        total = 0
        for server in self.fleet.deployment.servers:
            if server.kind == "application":
                url = self.fleet.nodes_by_name[f"{server.name}-backend"].url(
                    "main"
                )
                counts = await self.fleet.get_json(f"{url}/executions")
                total += counts.get(order, 0)
        return total

    def _print_token(self, text):
        self.console.print(text, end="")

    def _record_check(self, what, passed, detail):
        self.rows.append((what, detail, "ok" if passed else "FAILED"))
        self.failed = self.failed or not passed

    def _print_results(self):
        table = rich.table.Table("what", "seen", "result")
        for row in self.rows:
            table.add_row(*row)
        self.console.print(table)


async def main():
    """Run the demonstration; return the exit code."""
    began_s = time.monotonic()
    fleet = Fleet(kowhai())
    demo = Demo(fleet)
    try:
        passed = await demo.run()
    finally:
        codes = await fleet.stop()
    took_s = time.monotonic() - began_s
    clean = all(code == 0 for code in codes.values())
    print(f"stopped cleanly: {clean}; {took_s:.0f} s in all")
    return 0 if passed and clean else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
