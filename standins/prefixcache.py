"""Prompts of a test engine: their words, blocks and cache."""

import collections
import hashlib
import random

__all__ = ["PrefixCache", "block_hashes", "prompt_words", "response_words"]

BLOCK_WORDS = 16


class PrefixCache:
    """Hold prefix blocks by chained hash and evict the least recently used."""

    def __init__(self, limit):
        self.limit = limit
        self.blocks = collections.OrderedDict()
        self.events = []

    def match(self, words):
        """Return the number of leading words that are cached."""
        count = 0
        for digest in block_hashes(words):
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            count += BLOCK_WORDS
        return count

    def add(self, digests):
        """Add blocks and evict the least recently used ones."""
        for digest in digests:
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
            self.events.append(("stored", digest))
        while len(self.blocks) > self.limit:
            dropped, _ = self.blocks.popitem(last=False)
            self.events.append(("removed", dropped))


def block_hashes(words):
    """Return the chained hashes of the complete blocks of a text."""
    digest = b""
    hashes = []
    for begin in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[begin : begin + BLOCK_WORDS])
        digest = hashlib.blake2b(digest + block.encode(), digest_size=8)
        digest = digest.digest()
        hashes.append(digest.hex())
    return hashes


def prompt_words(messages):
    """Return the words of all messages of a chat."""
    return " ".join(str(m["content"]) for m in messages).split()


def response_words(words, output_words):
    """Return the response to a prompt, which is the same at every engine."""
    seed = hashlib.blake2b(" ".join(words).encode(), digest_size=8).digest()
    generator = random.Random(seed)
    return [f"w{generator.randrange(1000)}" for _ in range(output_words)]
