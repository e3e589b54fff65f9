"""Tokens that this router's requests hold in the memory of engines."""

import collections

__all__ = ["HeldTokens", "TokenHold"]


class TokenHold:
    """Hold the tokens of one attempt at an engine until it ends.

    :param server_id: id of the engine
    :param prompt: parts of the prompt as (id, tokens); the last is the
        request's own
    :param size: :class:`~boragetrail.policy.enginememory.RequestSize`
    :param began_s: monotonic time at which the attempt began
    """

    __slots__ = ("server_id", "parts", "own_tokens", "began_s")

    def __init__(self, server_id, prompt, size, began_s):
        self.server_id = server_id
        self.parts = list(dict(prompt).items())
        parts_tokens = sum(tokens for _, tokens in self.parts)
        self.own_tokens = max(0, size.expected() - parts_tokens)
        self.began_s = began_s


class HeldTokens:
    """Sum of the tokens that requests hold at each engine.

    A part of the prompt that several requests share counts once.

    :ivar tokens_by_id: tokens by id of the engine
    :ivar requests_by_id: number of the requests that hold them
    """

    __slots__ = ("tokens_by_id", "requests_by_id", "requests_by_part")

    def __init__(self):
        self.tokens_by_id = collections.Counter()
        self.requests_by_id = collections.Counter()
        self.requests_by_part = collections.Counter()

    def add(self, hold):
        """Add a :class:`TokenHold`."""
        self.requests_by_id[hold.server_id] += 1
        self.tokens_by_id[hold.server_id] += hold.own_tokens
        for part, tokens in hold.parts:
            # Two prompts may give one part different numbers of tokens.
            key = (hold.server_id, part, tokens)
            if not self.requests_by_part[key]:
                self.tokens_by_id[hold.server_id] += tokens
            self.requests_by_part[key] += 1

    def remove(self, hold):
        """Remove a :class:`TokenHold` that was added."""
        self.tokens_by_id[hold.server_id] -= hold.own_tokens
        for part, tokens in hold.parts:
            key = (hold.server_id, part, tokens)
            self.requests_by_part[key] -= 1
            if not self.requests_by_part[key]:
                del self.requests_by_part[key]
                self.tokens_by_id[hold.server_id] -= tokens
        if not self.tokens_by_id[hold.server_id]:
            del self.tokens_by_id[hold.server_id]
        self.requests_by_id[hold.server_id] -= 1
        if not self.requests_by_id[hold.server_id]:
            del self.requests_by_id[hold.server_id]

    def tokens(self, server_id):
        """Return the tokens that requests hold at an engine."""
        return self.tokens_by_id[server_id]

    def requests(self, server_id):
        """Return the number of requests that hold tokens at an engine."""
        return self.requests_by_id[server_id]

    def added_tokens(self, server_id, prompt, size):
        """Return the tokens that a request would add at an engine.

        :param server_id: id of the engine
        :param prompt: parts of the prompt as (id, tokens)
        :param size: :class:`~boragetrail.policy.enginememory.RequestSize`
        """
        if not self.requests_by_id[server_id]:
            return max(0, size.expected())
        shared = sum(
            tokens
            for part, tokens in dict(prompt).items()
            if (server_id, part, tokens) in self.requests_by_part
        )
        return max(0, size.expected() - shared)
