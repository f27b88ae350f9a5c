"""Stored rows of the idempotency ledger for bookings."""

from typing import Literal, NamedTuple

Headers = tuple[tuple[str, str], ...]

EntryState = Literal["claimed", "void", "recorded", "lost"]
ANY_DIGEST = ""
"""Digest of an entry whose request isn't known."""


class RecordedAnswer(NamedTuple):
    """Response of a runner, stored to answer retries.

    Attributes:
        status: HTTP status.
        headers: Headers, without hop-by-hop headers.
        body: Unmodified body.
        complete: False if the body was too large to store.
    """

    status: int
    headers: Headers
    body: bytes
    complete: bool = True


class LedgerEntry(NamedTuple):
    """Ledger row of one idempotency key.

    Rows are stored as arrays in this order, so a new field must be appended
    and have a default.

    Attributes:
        state: ``claimed``: the claimant may dispatch the request. ``void``:
            the claimant did not dispatch it. ``recorded``: the response is
            stored. ``lost``: the request was dispatched, but no response
            arrived.
        nonce: Id of the claim; only the claimant that created it may update
            the row.
        digest: Digest of the request that claimed the key.
        gateway: Name of the claimant's gateway; only for operators.
        claimed_at: Time of the claim, in seconds since the epoch.
        claim_deadline: Time by which a running claimant has a response, in
            seconds since the epoch.
        expires_at: Time after which the row may be deleted, in seconds since
            the epoch.
        answer: Response of the runner, once recorded.
    """

    state: EntryState
    nonce: str
    digest: str
    gateway: str
    claimed_at: float
    claim_deadline: float
    expires_at: float
    answer: RecordedAnswer | None = None
