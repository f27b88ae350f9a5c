"""What is known of one streamed answer."""

import msgspec


class TokenUsage(msgspec.Struct):
    """Token counts of an answer, as its engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prefilled_tokens: int = 0
