"""Soak test of a deployment with pairs of faults drawn at random."""

import asyncio
import hashlib
import json
import pathlib
import random
import sys
import time

import typer

from standins.prefixcache import response_words
from tools.client import Caller
from tools.deployments import kowhai
from tools.faults import FAULTS
from tools.fleet import Fleet

__all__ = ["History", "Soak"]

CHAT_WORKERS = 10
ORDER_WORKERS = 6
FAULT_S = 3.0
RECOVERY_S = 2.5
OUT = pathlib.Path("out")


class History:
    """Hold the responses of all requests and the violations found in them.

    :ivar faults: [name, start, end] of each fault, in monotonic seconds
    """

    def __init__(self):
        self.responses_by_order = {}
        self.chats = []
        self.faults = []
        self.counts = {}
        self.violations = []

    def count(self, name):
        """Count one occurrence."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_violation(self, text):
        """Record and print a violation."""
        self.violations.append(text)
        print(f"VIOLATION {text[:600]}", flush=True)

    def check_chat(self, result, words, began_s, ended_s):
        """Check the result of one chat turn."""
        self.count("chats")
        expected = " ".join(response_words(words, 24))
        if result.is_complete:
            self.count("chats whole")
            if result.text.strip() != expected:
                request = result.headers.get("X-Request-Id")
                self.record_violation(f"chat {request}: {result.text!r}")
            return
        if result.problem is None:
            self.record_violation(
                f"truncated chat without an error: {result.text!r}"
            )
            return
        code = result.problem["code"]
        self.count(f"chat {code}")
        if code == "cut" and self._has_only_planned_faults(began_s, ended_s):
            self.record_violation(
                f"chat aborted by a planned stop: {result.problem}"
            )

    def check_orders(self, executions):
        """Check all orders against the applications' own counters."""
        for order, responses in self.responses_by_order.items():
            runs = executions.get(order, 0)
            bodies = {body for status, body in responses if status == 200}
            statuses = [
                executed_status(status, body) for status, body in responses
            ]
            if runs > 1:
                self.record_violation(
                    f"order {order} executed {runs} times: {responses}"
                )
            if len(bodies) > 1:
                self.record_violation(
                    f"order {order} has different responses: {bodies}"
                )
            if bodies and runs != 1:
                self.record_violation(
                    f"order {order} succeeded, executed {runs} times"
                )
            if runs and all(ran == "no" for ran in statuses):
                self.record_violation(
                    f"order {order} executed, told not run: {responses}"
                )

    def _has_only_planned_faults(self, began_s, ended_s):
        nearby = [
            name
            for name, at_s, until_s in self.faults
            if at_s - 3.0 < ended_s and began_s < until_s + 8.0
        ]
        return bool(nearby) and all(
            name.startswith("planned") for name in nearby
        )


def executed_status(status, body):
    """Return whether an order was executed: no, unknown or yes."""
    if status == 200:
        return "yes"
    try:
        return json.loads(body)["ran"]
    except (ValueError, KeyError, TypeError):
        return "unknown"


class Soak:
    """Hold the fleet and the history of one run.

    :param seed: seed of the faults and of the traffic
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        deployment = kowhai(cold_words=60)
        self.fleet = Fleet(deployment, proxied=True)
        self.history = History()
        self.routers = list(range(len(deployment.routers)))
        self.is_running = True

    async def run(self, seconds):
        """Run requests and faults, check the results, return the history."""
        await self.fleet.start()
        try:
            workers = [self._run_chats(n) for n in range(CHAT_WORKERS)]
            workers += [self._run_orders(n) for n in range(ORDER_WORKERS)]
            tasks = [asyncio.create_task(worker) for worker in workers]
            await self._inject_faults(time.monotonic() + seconds)
            self.is_running = False
            await asyncio.gather(*tasks)
            self.history.check_orders(await self._executions())
        finally:
            await self.fleet.stop()
        return self.history

    def caller(self, customer):
        """Return a caller at a router in the balancer's rotation."""
        url = self.fleet.router(self.random.choice(self.routers))
        key = self.fleet.key_of(customer)
        return Caller(self.fleet.session, url.url("callers"), key)

    async def _inject_faults(self, until_s):
        while time.monotonic() < until_s:
            pair = self.random.sample(FAULTS, 2)
            names = [fault.__name__ for fault in pair]
            began_s = time.monotonic()
            records = [[name, began_s, began_s + 60.0] for name in names]
            self.history.faults.extend(records)
            undos = [await fault(self) for fault in pair]
            await asyncio.sleep(FAULT_S)
            for undo in undos:
                if undo is not None:
                    await undo()
            for record in records:
                record[2] = time.monotonic()
            for name in names:
                self.history.count(f"fault {name}")
            await asyncio.sleep(RECOVERY_S)

    async def _run_chats(self, number):
        turn = 0
        while self.is_running:
            customer = f"customer-{number % 10}"
            text = f"chat {number} {turn} " + "guide " * 60
            messages = [{"role": "user", "content": text}]
            began_s = time.monotonic()
            result = await self.caller(customer).chat(messages)
            ended_s = time.monotonic()
            self.history.check_chat(result, text.split(), began_s, ended_s)
            turn += 1
            await asyncio.sleep(0.05)

    async def _run_orders(self, number):
        turn = 0
        kinds = ("key", "ticket", "once", "race")
        while self.is_running:
            order = f"order-{number}-{turn}"
            kind = self.random.choice(kinds)
            responses = await self._place(order, kind, f"customer-{number}")
            self.history.responses_by_order[order] = responses
            self.history.count(f"orders {kind}")
            for status, body in responses:
                self.history.count(
                    f"order ran={executed_status(status, body)}"
                )
            turn += 1
            await asyncio.sleep(0.05)

    async def _place(self, order, kind, customer):
        path = f"/services/exports/exports?order={order}&delay_ms=120"
        body = hashlib.sha256(order.encode()).digest()
        if kind == "once":
            return [await self._post(customer, path, body, "")]
        key = order
        if kind == "ticket":
            key = await self._ticket(customer)
            if not key:
                return []
        if kind == "race":
            posts = [self._post(customer, path, body, key) for _ in range(3)]
            return list(await asyncio.gather(*posts))
        responses = []
        for _ in range(3):
            responses.append(await self._post(customer, path, body, key))
            if responses[-1][0] == 200 and self.random.random() < 0.5:
                break
            await asyncio.sleep(self.random.uniform(0, 0.5))
        return responses

    async def _post(self, customer, path, body, key):
        status, data, _ = await self.caller(customer).request(
            "POST", path, body, key
        )
        return status, data

    async def _ticket(self, customer):
        status, data, _ = await self.caller(customer).request(
            "POST", "/tickets/exports"
        )
        return json.loads(data)["ticket"] if status == 200 else ""

    async def _executions(self):
        totals = {}
        for server in self.fleet.deployment.servers:
            if server.kind == "application":
                node = self.fleet.nodes_by_name[f"{server.name}-backend"]
                url = f"{node.url('main')}/executions"
                for order, runs in (await self.fleet.get_json(url)).items():
                    totals[order] = totals.get(order, 0) + runs
        return totals


def main(seconds: float = 300.0, seed: int = 1):
    """Run the soak and print its totals."""
    soak = Soak(seed)
    history = asyncio.run(soak.run(seconds))
    totals = {
        "seconds": seconds,
        "seed": seed,
        "counts": dict(sorted(history.counts.items())),
        "violations": [text[:300] for text in history.violations],
    }
    OUT.mkdir(exist_ok=True)
    text = json.dumps(totals, indent=2)
    (OUT / "soak.json").write_text(text)
    print(text)
    print(f"logs: {soak.fleet.folder}")
    sys.exit(1 if history.violations else 0)


if __name__ == "__main__":
    typer.run(main)
