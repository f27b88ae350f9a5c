"""Runners' calls that copy the memory of a run to another runner."""

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.tables.kv_copy import (
    Copied,
    CopyOutcome,
    KvCopy,
    NoRoom,
    NoRun,
    Unanswered,
)

COPY_PATH = "/v1/kv-move"
FREE_PATH = "/v1/kv-handle/"
COPY_TIMEOUT_SECONDS = 1.0
"""Longest wait for a copy: a run of 12,000 tokens takes some ten milliseconds,
and those of a whole runner wait for each other."""


class _Answer(msgspec.Struct):
    handle: str = ""


class KvCacheClient:
    """Copies the memory of runs.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: Client) -> None:
        self._client = client

    async def copy(
        self, source: Address, request_id: str, target: Address, stop: bool
    ) -> CopyOutcome:
        """Copy a run's memory, or what is new since the copy before.

        Args:
            source: Runner that works on it.
            request_id: Id of the caller's attempt.
            target: Runner that gets the copy.
            stop: Whether the run is stopped first, so that the copy is all.
        """
        body: dict[str, object] = {"id": request_id, "to": str(target)}
        if stop:
            body["last"] = True
        try:
            answer = await self._client.call(
                source,
                "POST",
                COPY_PATH,
                msgspec.json.encode(body),
                (("content-type", "application/json"),),
                timeout=COPY_TIMEOUT_SECONDS,
                fresh=True,
            )
        except CallFailedError as error:
            return Unanswered(str(error))
        return _read_outcome(answer, source)

    async def free(self, saved: KvCopy) -> None:
        """Drop the copies of a run that nobody goes on from.

        A runner that can't be reached drops them by itself after a while.
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


def _read_outcome(answer: Response, source: Address) -> CopyOutcome:
    if answer.status == 404:
        return NoRun()
    if answer.status == 503:
        return NoRoom()
    if answer.status != 200:
        return Unanswered(f"status {answer.status}")
    try:
        decoded = msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError as error:
        return Unanswered(str(error))
    if not decoded.handle:
        return Unanswered("no handle")
    return Copied(KvCopy(source, decoded.handle))
