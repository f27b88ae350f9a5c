"""Faults to inject into the stand-in engine, and its counters."""

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; each request to set faults replaces all of them.

    Attributes:
        freeze_after: Stop generating each answer after this many tokens;
            the engine still answers HTTP requests.
        cut_after: Close the first connection of each answer after this
            many tokens; the answer continues.
        silence_after: Send nothing more on the first connection of each
            answer after this many tokens; later connections work.
        cut_now: Close the open connections of all answers, once.
        silence_now: Send nothing more on the open connections, once.
        duplicate: Send every event twice.
        reorder: Swap each pair of consecutive events.
        late: Repeat the answer's first event before later ones.
        crash_marker: Crash while running a request whose messages contain
            this text.
        crash_after: Tokens to generate before such a crash.
        crash_version: Crash while running a request for this version.
        slow: Factor on the time per token and per prefill.
        fail_status: Answer new requests with this status.
        fail_after: End answers with an error event after this many tokens.
        refuse: Refuse new requests as not run.
        export_cut: Cut KV exports after this fraction of their bytes.
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
    """Counters of the stand-in engine's work, for assertions in tests.

    Attributes:
        requests: Requests run.
        refused: Requests refused as not run.
        tokens_generated: Tokens generated for answers.
        tokens_prefilled: Prompt and answer tokens prefilled.
        tokens_recomputed: Tokens of ``tokens_prefilled`` that belong to
            answers resumed from another run.
        bad_continuations: Requests whose ``continue_tokens`` are not a
            prefix of the answer.
        canceled: Answers canceled by request.
        exported_bytes: Bytes of KV cache sent.
        runs: Number of runs of each request id.
        together: Largest number of answers that ran concurrently with
            each request id, itself included.
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
