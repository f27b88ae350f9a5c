"""Client for the reclaim notices of the platform's cloud API."""

from typing import NamedTuple

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address
from lagoonpost.store.store import Unavailable
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.unreadable import log_unreadable

CALL_TIMEOUT_SECONDS = 1.0


class ReclaimNotice(NamedTuple):
    """Notice that the cloud is about to reclaim a host.

    Attributes:
        host: Name of the host.
        deadline: Reclaim time in seconds since the Unix epoch.
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
    """Fetch the active reclaim notices.

    Returns:
        The notices, or `Unavailable` if the call fails or the response
        cannot be decoded.
    """
    try:
        response = await client.call(
            address, "GET", "/v1/notices", timeout=CALL_TIMEOUT_SECONDS
        )
    except CallFailedError as error:
        return Unavailable(str(error))
    if response.status != 200:
        return Unavailable(f"status {response.status}")
    try:
        found = msgspec.json.decode(response.body, type=_NoticesObject).notices
    except UNREADABLE as error:
        log_unreadable("cloud", "reclaim notices", error)
        return Unavailable(str(error))
    return tuple(
        ReclaimNotice(notice.host, notice.deadline) for notice in found
    )
