"""Parses chat requests and estimates their cost and shared prefixes."""

from typing import Any, NamedTuple

import msgspec
import xxhash

from lagoonpost.tables.decoding import UNREADABLE

# Engines do not publish their tokenizers. Four bytes per token is the usual
# estimate for Latin scripts; admission needs proportions, not exact counts.
BYTES_PER_TOKEN = 4
PREFIX_BLOCK_TOKENS = 64
PREFIX_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN
# The first 16,384 tokens distinguish longer prompts well enough.
MAX_PREFIX_BLOCKS = 256
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 32768


class ChatCall(NamedTuple):
    """A validated chat-completions request.

    Attributes:
        service: Name of the service, from ``model``.
        body: Request as sent, without the extensions of lagoonpost.
        stream: Whether the caller wants server-sent events.
        max_tokens: Maximum number of tokens to generate.
        continue_tokens: Tokens that the caller already received of an
            interrupted stream.
        digest: Digest of ``body``, equal for equal requests.
        prompt: Encoded messages, for prefix hashes and cost estimates.
    """

    service: str
    body: dict[str, Any]
    stream: bool
    max_tokens: int
    continue_tokens: tuple[str, ...]
    digest: str
    prompt: bytes


class InvalidCall(NamedTuple):
    """The reason why a body is not a valid chat-completions request."""

    detail: str


class _ChatRequest(msgspec.Struct):
    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    continue_tokens: list[str] = []


def read_chat_call(body: bytes) -> ChatCall | InvalidCall:
    """Parse and validate the body of a chat-completions request."""
    try:
        shape = msgspec.json.decode(body, type=_ChatRequest)
        whole = msgspec.json.decode(body)
    except UNREADABLE as error:
        return InvalidCall(str(error))
    if not shape.messages:
        return InvalidCall("`messages` is empty")
    max_tokens = shape.max_tokens or DEFAULT_OUTPUT_TOKENS
    if not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        return InvalidCall(f"`max_tokens` is not 1 to {MAX_OUTPUT_TOKENS}")
    for name in ("continue_tokens", "stream"):
        whole.pop(name, None)
    canonical = msgspec.json.encode(whole, order="sorted")
    return ChatCall(
        service=shape.model,
        body=whole,
        stream=shape.stream,
        max_tokens=max_tokens,
        continue_tokens=tuple(shape.continue_tokens),
        digest=xxhash.xxh3_128_hexdigest(canonical),
        prompt=msgspec.json.encode(shape.messages),
    )


def hash_prefixes(service: str, prompt: bytes) -> tuple[int, ...]:
    """Return a hash for each block-aligned prefix of a prompt, shortest first.

    Each hash covers all preceding blocks, so two prompts share a hash only
    if they share the whole prefix.
    """
    state = xxhash.xxh3_64(service.encode())
    hashes = []
    end = (
        min(len(prompt) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
        * PREFIX_BLOCK_BYTES
    )
    for start in range(0, end, PREFIX_BLOCK_BYTES):
        state.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(state.intdigest())
    return tuple(hashes)


def count_prompt_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens in a prompt."""
    return len(prompt) // BYTES_PER_TOKEN + 1
