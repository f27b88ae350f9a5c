"""The platform's calls that only the holder of a duty may make."""

from collections.abc import Callable
from typing import Literal, NamedTuple

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address

CLOUD_TIMEOUT_SECONDS = 2.0
"""Longest wait; a call without an answer is repeated as it was."""

CloudOutcome = Literal["done", "fenced", "refused", "unknown"]
_OUTCOMES: dict[int, CloudOutcome] = {200: "done", 409: "fenced"}


class Duty(NamedTuple):
    """Under which name and fencing number a call is made.

    Attributes:
        holder: Name of the host.
        fence: Fencing number.
        may_send: Asked right before the first byte leaves.
    """

    holder: str
    fence: int
    may_send: Callable[[], bool]


class CloudClient:
    """Usage reports and orders of runners.

    Args:
        client: HTTP client.
        address: Where the cloud listens.
    """

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self._address = address

    async def report_usage(
        self, duty: Duty, window: int, counts: dict[str, int]
    ) -> CloudOutcome:
        """Report what each workspace used in one window.

        Returns:
            "fenced" if a higher fencing number was seen before.
        """
        body = {"window_id": window, "counts": counts}
        return await self._call("/usage", duty, body)

    async def order_runners(
        self, duty: Duty, service: str, domain: str, count: int, spot: bool
    ) -> CloudOutcome:
        """Order a number of runners of a service in a failure domain.

        Returns:
            "fenced" if there are none to be had, or a higher fencing
            number was seen: both have the same answer.
        """
        body = {"service": service, "zone": domain, "desired_count": count}
        if spot:
            body["spot"] = True
        return await self._call("/scale", duty, body)

    async def _call(self, path: str, duty: Duty, body: object) -> CloudOutcome:
        headers = (
            ("content-type", "application/json"),
            ("duty-holder", duty.holder),
            ("fence-token", str(duty.fence)),
        )
        try:
            answer = await self._client.call(
                self._address,
                "POST",
                path,
                msgspec.json.encode(body),
                headers,
                timeout=CLOUD_TIMEOUT_SECONDS,
                fresh=True,
                may_send=duty.may_send,
            )
        except CallFailedError as error:
            return "unknown" if error.sent else "refused"
        return _OUTCOMES.get(answer.status, "refused")
