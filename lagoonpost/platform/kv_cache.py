"""Client for the runner calls that copy a run's KV cache to another runner."""

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.tables.kv_copy import (
    Busy,
    Copied,
    CopyOutcome,
    KvCopy,
    NoRoom,
    NoRun,
    PartlyCopied,
    Unanswered,
    Unreached,
)

COPY_PATH = "/v1/kv-move"
FREE_PATH = "/v1/kv-handle/"
COPY_TIMEOUT_SECONDS = 1.0
"""Timeout: copying a run of 12,000 tokens takes some ten milliseconds, and the
copies of all runs of a runner wait for each other."""


_REFUSALS: dict[int, CopyOutcome] = {404: NoRun(), 409: Busy(), 503: NoRoom()}
"""Outcomes by status of the answer."""


class _Answer(msgspec.Struct):
    handle: str = ""


class KvCacheClient:
    """Copies the KV cache of runs between runners.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: Client) -> None:
        self._client = client

    async def copy(
        self,
        source: Address,
        request_id: str,
        target: Address,
        stop: bool,
        timeout: float = COPY_TIMEOUT_SECONDS,
    ) -> CopyOutcome:
        """Copy a run's KV cache, or its growth since the previous copy.

        Args:
            source: Runner that executes the run.
            request_id: Id of the caller's attempt.
            target: Runner that receives the copy.
            stop: Whether to stop the run first, so that the copy is complete.
            timeout: Longest wait for the answer, in seconds.
        """
        body: dict[str, object] = {"id": request_id, "to": str(target)}
        if stop:
            body["last"] = True
        try:
            response = await self._client.call(
                source,
                "POST",
                COPY_PATH,
                msgspec.json.encode(body),
                (("content-type", "application/json"),),
                timeout=timeout,
                fresh=True,
            )
        except CallFailedError as error:
            failure = Unanswered if error.sent else Unreached
            return failure(str(error))
        return _read_outcome(response, source, stop)

    async def free(self, saved: KvCopy) -> None:
        """Delete the copies of a run that is not going to be resumed.

        A runner that cannot be reached deletes them itself after a while.
        """
        try:
            await self._client.call(
                saved.source,
                "DELETE",
                f"{FREE_PATH}{saved.handle}",
                timeout=COPY_TIMEOUT_SECONDS,
                fresh=True,
            )
        except CallFailedError:
            return


def _read_outcome(
    response: Response, source: Address, stop: bool
) -> CopyOutcome:
    refusal = _REFUSALS.get(response.status)
    if refusal is None and response.status != 200:
        return Unanswered(f"status {response.status}")
    handle, detail = "", "response has no handle"
    try:
        handle = msgspec.json.decode(response.body, type=_Answer).handle
    except UNREADABLE as error:
        detail = str(error)
    if isinstance(refusal, NoRoom) and stop and handle:
        return PartlyCopied(KvCopy(source, handle))
    if refusal is not None:
        return refusal
    return Copied(KvCopy(source, handle)) if handle else Unanswered(detail)
