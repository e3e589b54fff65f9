"""Tests of placement at engines that cache parts of a prompt."""

import random

from boragetrail.policy.prefix import (
    EngineView,
    PrefixCacheIndex,
    PrefixPlacement,
)
from standins.clock import ManualClock


def engines(count, **running):
    """Return engines ``e0``, ``e1``, ... without pending tokens.

    :param running: number of running requests by engine id, else 0
    """
    return [
        EngineView(f"e{n}", running.get(f"e{n}", 0), 0, 0)
        for n in range(count)
    ]


def prompt(deck, own="own", system="system"):
    """Return a prompt of three parts, as a list of (part, tokens)."""
    return [(system, 2500), (deck, 6000), (own, 500)]


class Fleet:
    """Routers that place requests without exchanging their placements."""

    def __init__(self, routers, count):
        self.clock = ManualClock()
        self.placements = [
            PrefixPlacement(
                PrefixCacheIndex(self.clock), random.Random(number)
            )
            for number in range(routers)
        ]
        self.engines = engines(count)

    def place(self, router, parts):
        """Place a request through one router; return the engine's id."""
        placement = self.placements[router]
        best = placement.order(parts, self.engines)[0].id
        placement.record_placement(parts, best)
        return best


class TestEmptyCaches:
    """No router knows of a placement of the prompt's deck part."""

    def test_routers_agree_without_exchange(self):
        fleet = Fleet(4, 5)
        for deck in range(20):
            chosen = {
                fleet.place(router, prompt(f"deck-{deck}", f"own-{router}"))
                for router in range(4)
            }
            assert len(chosen) == 1

    def test_routers_agree_although_a_common_part_is_known(self):
        # Each router knows a different holder of the first part and must not
        # choose an engine by that part.
        fleet = Fleet(28, 26)
        for router, placement in enumerate(fleet.placements):
            placement.prefix_index.add_holder("system", f"e{router % 26}")
        chosen = {
            fleet.place(router, prompt("deck", f"own-{router}"))
            for router in range(28)
        }
        assert len(chosen) == 1

    def test_pending_prompts_are_balanced(self):
        placement = PrefixPlacement(
            PrefixCacheIndex(ManualClock()), random.Random(1)
        )
        fleet = engines(5)
        for deck in range(50):
            parts = prompt(f"deck-{deck}")
            best = placement.order(parts, fleet)[0]
            best.pending_tokens += placement.prefill_tokens(
                parts, best.id, None
            )
            best.running += 1
            placement.record_placement(parts, best.id)
        pending = [engine.pending_tokens for engine in fleet]
        assert max(pending) < 1.4 * sum(pending) / len(pending)


class TestHotPrefix:
    """Many requests have the same prefix."""

    def test_second_engine_gets_a_copy_when_the_first_is_busy(self):
        prefix_index = PrefixCacheIndex(ManualClock())
        placement = PrefixPlacement(prefix_index, random.Random(1))
        chat = prompt("hot")
        placement.record_placement(chat, "e0")
        fleet = engines(3)
        assert placement.order(chat, fleet)[0].id == "e0"
        fleet[0].pending_tokens = 20000
        second = placement.order(chat, fleet)[0].id
        assert second != "e0"
        assert placement.copy_source(chat, second, {"e0", "e1", "e2"}) == "e0"

    def test_no_engine_goes_over_the_bound(self):
        placement = PrefixPlacement(
            PrefixCacheIndex(ManualClock()), random.Random(1)
        )
        fleet = engines(5)
        chat = prompt("hot")
        placement.record_placement(chat, "e0")
        for _ in range(200):
            best = placement.order(chat, fleet)[0]
            best.running += 1
            mean = sum(each.running for each in fleet) / len(fleet)
            assert best.running <= 2 * mean + 3


class TestSharedView:
    """All routers have the same view, in which one engine appears idle."""

    def test_idle_engine_is_not_chosen_by_all(self):
        routers, count = 28, 26
        fleet = Fleet(routers, count)
        fleet.engines = engines(count, **{f"e{n}": 6 for n in range(1, count)})
        for engine in fleet.engines[1:]:
            engine.pending_tokens = 12000
        chosen = [
            fleet.place(router, prompt(f"deck-{router}", system=f"s-{router}"))
            for router in range(routers)
        ]
        assert chosen.count("e0") <= 8


class TestEnginesThatJoinAndLeave:
    """Engines join and leave: releases, scaling, evacuated zones."""

    def test_new_engine_takes_no_chats_away(self):
        fleet = Fleet(1, 4)
        decks = [prompt(f"deck-{n}") for n in range(20)]
        before = [fleet.place(0, deck) for deck in decks]
        fleet.engines = engines(5)
        assert [fleet.place(0, deck) for deck in decks] == before

    def test_chats_of_a_leaving_engine_are_copied(self):
        fleet = Fleet(1, 3)
        first = fleet.place(0, prompt("deck"))
        fleet.engines = [e for e in engines(3) if e.id != first]
        second = fleet.place(0, prompt("deck"))
        placement = fleet.placements[0]
        other = ({"e0", "e1", "e2"} - {first, second}).pop()
        assert second != first
        assert placement.copy_source(prompt("deck"), other, {first}) == first
        assert placement.copy_source(prompt("deck"), other, set()) is None

    def test_removed_engine_holds_no_part(self):
        prefix_index = PrefixCacheIndex(ManualClock())
        prefix_index.add_holder("deck", "e0")
        prefix_index.remove_engine("e0")
        assert prefix_index.items() == []

    def test_unused_parts_expire(self):
        clock = ManualClock()
        prefix_index = PrefixCacheIndex(clock)
        prefix_index.add_holder("deck", "e0")
        clock.now_s = prefix_index.RETENTION_S + 1
        assert prefix_index.holders("deck") == set()


class TestReturningChat:
    """An engine caches the part that belongs to one chat alone."""

    def test_chat_returns_to_the_engine_that_caches_it(self):
        placement = PrefixPlacement(
            PrefixCacheIndex(ManualClock()), random.Random(1)
        )
        fleet = engines(4)
        first = placement.order(prompt("deck", "chat-1"), fleet)[0].id
        placement.record_placement(prompt("deck", "chat-1"), first)
        other = next(e.id for e in fleet if e.id != first)
        placement.record_placement(prompt("deck", "chat-2"), other)
        best = placement.order(prompt("deck", "chat-2"), fleet)[0].id
        assert best == other
        assert (
            placement.prefill_tokens(prompt("deck", "chat-2"), other, None)
            == 0
        )


class TestLimitedEngines:
    """Engines that limit their rate do not count in the load bound."""

    def test_engine_without_a_limit_is_not_overloaded(self):
        index = PrefixCacheIndex(lambda: 0.0)
        index.add_holder("deck", "free")
        placement = PrefixPlacement(index, random.Random(1))
        limited = [
            EngineView(f"e{number}", 1, 0, 0, is_limited=True)
            for number in range(4)
        ]
        free = EngineView("free", 30, 0, 0)
        order = placement.order(prompt("deck"), [free, *limited])
        assert order[0].id == "free"
