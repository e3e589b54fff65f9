"""Tests of learning cached parts after a start."""

import json

from boragetrail.direct.tests.conftest import configuration, service
from standins.httpserver import whole_answer


def list_of(*parts):
    """Return a behaviour that lists cached parts."""

    async def behave(request):
        held = [["", part, 100, "m"] for part in parts]
        body = json.dumps({"epoch": 1, "next": 1, "held": held})
        return whole_answer(request, body.encode())

    return behave


class TestPartLearner:
    """Routers that restart."""

    async def prepare(self, site):
        """Make the service one of model engines that keep parts."""
        models = configuration(
            2, services=[service("apps", backend={"slots": 8})]
        )
        site.store.put("op", "config", models)
        for server in site.servers:
            server.default = list_of("deck", f"only-{server.id}")

    async def test_first_start_asks_no_server(self, site):
        await self.prepare(site)
        daemon = site.make_router()
        daemon.settings.first_start = True
        await daemon.open()
        await site.until(daemon.is_ready)
        await daemon.until_learned()
        assert not any(server.requests for server in site.servers)

    async def test_restart_of_all_asks_the_servers(self, site):
        await self.prepare(site)
        daemon = site.make_router()
        await daemon.open()
        await daemon.until_learned()
        assert daemon.fleet.parts.holders("deck") == {"i-0", "i-1"}
        assert daemon.fleet.parts.holders("only-i-1") == {"i-1"}
        assert [len(server.requests) for server in site.servers] == [1, 1]

    async def test_restart_of_one_asks_the_others(self, site):
        await self.prepare(site)
        first = await site.add_router()
        await first.until_learned()
        asked = sum(len(server.requests) for server in site.servers)
        first.fleet.parts.note("deck-2", "i-0")
        second = site.make_router()
        await second.open()
        await second.until_learned()
        assert second.fleet.parts.holders("deck-2") == {"i-0"}
        now = sum(len(server.requests) for server in site.servers)
        assert now == asked
