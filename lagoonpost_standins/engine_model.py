"""Deterministic answers and a bounded prefix cache for the stand-in engine."""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec
import xxhash

BLOCK_TOKENS = 16
MIN_DEFAULT_TOKENS = 32
MAX_EVENTS = 4096
_WORDS = (
    "clay",
    "glaze",
    "kiln",
    "wheel",
    "firing",
    "pitch",
    "market",
    "stall",
    "lesson",
    "draft",
    "summer",
    "Saturday",
    "price",
    "seller",
    "buyer",
    "teacher",
)


def make_token(seed: int, index: int) -> str:
    """Return token ``index`` (from 1) of the answer with ``seed``.

    The token contains its index, so that a comparison shows tokens that
    are lost, repeated or from another answer.
    """
    digest = xxhash.xxh32_intdigest(index.to_bytes(8, "big"), seed)
    return f"{_WORDS[digest % len(_WORDS)]}{index} "


def hash_messages(messages: Sequence[object]) -> int:
    """Return the seed from which the answer to ``messages`` is generated."""
    return xxhash.xxh32_intdigest(msgspec.json.encode(messages))


def make_text(messages: Sequence[object], tokens: int) -> str:
    """Return the expected answer to ``messages`` of ``tokens`` tokens."""
    seed = hash_messages(messages)
    return "".join(make_token(seed, n + 1) for n in range(tokens))


def find_default_length(seed: int) -> int:
    """Return the tokens of an answer if the caller sets no limit."""
    return MIN_DEFAULT_TOKENS + seed % MIN_DEFAULT_TOKENS


def split_prompt(messages: Sequence[object]) -> list[str]:
    """Return the prompt's tokens: a role marker and words per message."""
    tokens: list[str] = []
    for message in messages:
        if isinstance(message, dict):
            tokens.append(f"<{message.get('role', '')}>")
            tokens.extend(str(message.get("content", "")).split())
    return tokens


def hash_blocks(tokens: Sequence[str]) -> list[int]:
    """Return one hash per full block, which covers all preceding tokens."""
    hashes: list[int] = []
    previous = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = "\x00".join(tokens[start : start + BLOCK_TOKENS])
        previous = xxhash.xxh64_intdigest(block.encode(), previous)
        hashes.append(previous)
    return hashes


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks stored in and evicted from the cache in one operation."""

    seq: int
    stored: list[int]
    dropped: list[int]


class PrefixCache:
    """An LRU cache of prefix blocks.

    Attributes:
        events: Latest changes, at most `MAX_EVENTS`.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.events: list[CacheEvent] = []
        self._seq = 0

    @property
    def used(self) -> float:
        """Share of the capacity in use, 0 to 1."""
        return len(self._blocks) / self._capacity

    def count_cached(self, hashes: Sequence[int]) -> int:
        """Return the number of leading tokens that need no prefill."""
        blocks = 0
        for value in hashes:
            if value not in self._blocks:
                break
            self._blocks.move_to_end(value)
            blocks += 1
        return blocks * BLOCK_TOKENS

    def store(self, hashes: Sequence[int]) -> None:
        """Store blocks and evict the least recently used ones."""
        stored = [value for value in hashes if value not in self._blocks]
        for value in hashes:
            self._blocks[value] = None
            self._blocks.move_to_end(value)
        dropped: list[int] = []
        while len(self._blocks) > self._capacity:
            dropped.append(self._blocks.popitem(last=False)[0])
        if stored or dropped:
            self._seq += 1
            self.events.append(CacheEvent(self._seq, stored, dropped))
            del self.events[:-MAX_EVENTS]
