"""What a caller says of a request that is to be forwarded."""

from typing import NamedTuple


class TokenCount(NamedTuple):
    """Tokens of the prompt, and most tokens of the answer."""

    prompt: int
    output: int


class PromptPart(NamedTuple):
    """One part of a prompt; equal parts of several requests share an id."""

    id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """Everything a caller says that decisions look at.

    Attributes:
        id: Id of this attempt of the caller.
        host: Host that it calls, in lower case.
        key: Key that it shows, or empty.
        left: Seconds for which it waits; None if it does not say.
        tokens: Size of the request; None if it does not say.
        parts: Parts of the prompt, in order.
        last_event: Id of the last event that it has of a stream, or empty.
    """

    id: str
    host: str
    key: str
    left: float | None
    tokens: TokenCount | None
    parts: tuple[PromptPart, ...]
    last_event: str
