"""Tests of the decisions on engines' memory."""

from boragetrail.direct.capacity.heldtokens import HeldTokens, TokenHold
from boragetrail.policy.enginememory import RequestSize, TokenMean


class TestTokenMean:
    """Guard against means that underrate a burst of long prompts."""

    def test_one_short_prompt_within_a_burst(self):
        mean = TokenMean()
        for tokens in [9000] * 20 + [300]:
            mean.add(tokens)
        assert mean.value > 8000


class TestHeldTokens:
    """Guard against tokens that count twice or are never released."""

    SIZE = RequestSize(1000, 100, 400)

    def test_shared_parts_count_once(self):
        held = HeldTokens()
        prompts = [[("deck", 700), (f"own-{n}", 300)] for n in range(3)]
        holds = [TokenHold("e1", each, self.SIZE, 0.0) for each in prompts]
        for hold in holds:
            held.add(hold)
        assert held.tokens("e1") == 700 + 3 * (300 + 100)
        assert held.added_tokens("e1", prompts[0][:1], self.SIZE) == 400
        assert held.added_tokens("e2", prompts[0][:1], self.SIZE) == 1100
        held.remove(holds[0])
        assert held.tokens("e1") == 700 + 2 * (300 + 100)
        for hold in holds[1:]:
            held.remove(hold)
        assert not held.tokens_by_id and not held.requests_by_part

    def test_part_that_a_prompt_repeats(self):
        held = HeldTokens()
        prompt = [("deck", 700), ("deck", 700), ("own", 300)]
        hold = TokenHold("e1", prompt, self.SIZE, 0.0)
        held.add(hold)
        assert held.tokens("e1") == 1100
        held.remove(hold)
        assert not held.tokens_by_id
