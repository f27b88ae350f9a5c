"""Faults that tests switch on in the stand-in engine."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong; each request to set them replaces them all.

    Attributes:
        freeze_after: Answers stand still after this many tokens, while
            the engine goes on to answer HTTP.
        cut_after: Each answer's first connection is cut after this many
            tokens; the answer lives on.
        silence_after: Each answer's first connection goes silent after
            this many tokens; new connections work.
        cut_now: Cut all connections of answers once, now.
        silence_now: Silence all connections of answers once, now.
        duplicate: Send every event twice.
        reorder: Swap every two neighbouring events.
        late: Send the first event of a connection once more, much later.
        crash_marker: The process dies as it runs a body that holds this.
        crash_after: Tokens that come before such a death.
        crash_version: The process dies as it runs this version.
        slow: Factor on the time per token and per prefill.
        fail_status: Answer new requests by this status.
        fail_after: Answers end with an error event after this many tokens.
        refuse: Refuse new requests as not run.
        export_cut: Cut KV exports after this part of their bytes.
        cache_gap: Leave out every second cache event.
    """

    freeze_after: int | None = None
    cut_after: int | None = None
    silence_after: int | None = None
    cut_now: bool = False
    silence_now: bool = False
    duplicate: bool = False
    reorder: bool = False
    late: bool = False
    crash_marker: str | None = None
    crash_after: int = 0
    crash_version: str | None = None
    slow: float = 1.0
    fail_status: int | None = None
    fail_after: int | None = None
    refuse: bool = False
    export_cut: float | None = None
    cache_gap: bool = False


class Counts(msgspec.Struct):
    """What the stand-in engine did, for comparisons in tests.

    Attributes:
        requests: Requests run.
        refused: Requests refused as not run.
        tokens_generated: Tokens of answers.
        tokens_prefilled: Prompt and earlier tokens computed.
        tokens_recomputed: The part of those prefilled for answers which
            had been begun elsewhere or before.
        bad_continuations: Requests whose earlier tokens were not the
            beginning of the answer.
        canceled: Answers canceled by request.
        exported_bytes: KV cache sent.
        runs: Times that each request id was run.
        together: Largest number of answers that ran side by side with
            each request id.
    """

    requests: int = 0
    refused: int = 0
    tokens_generated: int = 0
    tokens_prefilled: int = 0
    tokens_recomputed: int = 0
    bad_continuations: int = 0
    canceled: int = 0
    exported_bytes: int = 0
    runs: dict[str, int] = {}
    together: dict[str, int] = {}
