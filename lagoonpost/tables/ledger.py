"""Rows of the booking ledger."""

from typing import Literal, NamedTuple

Headers = tuple[tuple[str, str], ...]

EntryState = Literal["claimed", "void", "recorded", "lost"]


class RecordedAnswer(NamedTuple):
    """A runner's answer as it is kept for callers that ask again.

    Attributes:
        status: HTTP status.
        headers: Headers, without those of the connection.
        body: Body, byte for byte.
        whole: False if the body was too large to be kept.
    """

    status: int
    headers: Headers
    body: bytes
    complete: bool = True


class LedgerEntry(NamedTuple):
    """What the ledger knows of one idempotency key.

    Rows are stored as arrays in this order, so a new field goes to the end
    and has a default.

    Attributes:
        state: ``claimed`` by a writer that may dispatch it, ``void`` (that
            writer surely did not dispatch), ``recorded`` with the answer,
            or ``lost`` (dispatched, its answer never came).
        nonce: Identifies the claim and so its only writer.
        digest: Digest of the request that claimed the key.
        gateway: Gateway that wrote it, for operators.
        claimed: Wall clock time of the claim, in seconds.
        until: Wall clock time by which a live writer has an answer.
        expires: Wall clock time after which the row may be deleted.
        answer: The runner's answer, once recorded.
    """

    state: EntryState
    nonce: str
    digest: str
    gateway: str
    claimed_at: float
    claim_deadline: float
    expires_at: float
    answer: RecordedAnswer | None = None
