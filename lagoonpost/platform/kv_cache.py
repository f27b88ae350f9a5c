"""Client for the runner calls that copy a run's KV cache to another runner."""

from contextlib import suppress

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.tables import kv_copy
from lagoonpost.tables.decoding import read_json
from lagoonpost.tables.kv_copy import CopyOutcome, KvCopy

COPY_PATH = "/v1/kv-move"
FREE_PATH = "/v1/kv-handle/"
COPY_TIMEOUT_SECONDS = 1.0
"""Timeout: copying a run of 12,000 tokens takes some ten milliseconds, and the
copies of all runs of a runner wait for each other."""
_REFUSALS: dict[int, CopyOutcome] = {
    404: kv_copy.NoRun(),
    409: kv_copy.Busy(),
    503: kv_copy.NoRoom(),
}


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
        call = {"id": request_id, "to": str(target)}
        body = call | {"last": True} if stop else call
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
            if error.sent:
                return kv_copy.Unanswered(str(error))
            return kv_copy.Unreached(str(error))
        return _read_outcome(response, source, stop)

    async def free(self, saved: KvCopy) -> None:
        """Delete the copies of a run that is not going to be resumed.

        A runner that cannot be reached deletes them itself after a while.
        """
        path = f"{FREE_PATH}{saved.handle}"
        with suppress(CallFailedError):
            await self._client.call(
                saved.source,
                "DELETE",
                path,
                timeout=COPY_TIMEOUT_SECONDS,
                fresh=True,
            )


def _read_outcome(
    response: Response, source: Address, stop: bool
) -> CopyOutcome:
    answer = read_json(response.body, _Answer)
    saved = KvCopy(source, answer.handle) if answer and answer.handle else None
    if saved and response.status == 200:
        return kv_copy.Copied(saved)
    if saved and response.status == 503 and stop:
        return kv_copy.PartlyCopied(saved)
    lost = kv_copy.Unanswered(f"status {response.status} without a handle")
    return _REFUSALS.get(response.status, lost)
