"""Reclaim notices of the platform's cloud API."""

from typing import NamedTuple

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address
from lagoonpost.store.store import Unavailable

CALL_TIMEOUT_SECONDS = 1.0


class ReclaimNotice(NamedTuple):
    """A host will be reclaimed.

    Attributes:
        host: Name of the host.
        deadline: Time of the reclaim in seconds since the epoch.
    """

    host: str
    deadline: float


class _NoticeObject(msgspec.Struct):
    host: str
    deadline: float


class _NoticesObject(msgspec.Struct):
    notices: list[_NoticeObject]


async def fetch_notices(
    client: Client, address: Address
) -> tuple[ReclaimNotice, ...] | Unavailable:
    """Return the reclaim notices in force."""
    try:
        answer = await client.call(
            address, "GET", "/v1/notices", timeout=CALL_TIMEOUT_SECONDS
        )
    except CallFailedError as error:
        return Unavailable(str(error))
    if answer.status != 200:
        return Unavailable(f"status {answer.status}")
    try:
        found = msgspec.json.decode(answer.body, type=_NoticesObject).notices
    except msgspec.DecodeError as error:
        return Unavailable(str(error))
    return tuple(
        ReclaimNotice(notice.host, notice.deadline) for notice in found
    )
