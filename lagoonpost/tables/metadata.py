"""Metadata that a caller sends along with a request."""

from typing import NamedTuple


class TokenCount(NamedTuple):
    """Size of a request in tokens.

    Attributes:
        prompt: Tokens of the prompt.
        output: Maximum number of tokens to generate.
    """

    prompt: int
    output: int


class PromptPart(NamedTuple):
    """Section of a prompt that several requests may have in common.

    Attributes:
        id: Id of the content; equal content has the same id.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """Request headers that influence admission and routing.

    Attributes:
        id: Id of the caller's attempt.
        host: Host header, in lower case.
        key: API key, or empty.
        left: Seconds until the caller's deadline; None if not stated.
        tokens: Size of the request; None if not stated.
        parts: Sections of the prompt, in order.
        last_event: Id of the last event that the caller received of a stream
            to be resumed, or empty.
    """

    id: str
    host: str
    key: str
    left: float | None
    tokens: TokenCount | None
    parts: tuple[PromptPart, ...]
    last_event: str
