"""Token counts of a streamed response."""

import msgspec


class TokenUsage(msgspec.Struct):
    """Token counts of one response, as reported by its engine.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens generated.
        prefilled_tokens: Prompt tokens that the engine computed rather than
            took from its prefix cache.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prefilled_tokens: int = 0
