"""Client for the cloud calls that only the holder of a duty may make."""

from collections.abc import Callable
from typing import Literal, NamedTuple

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address

CLOUD_TIMEOUT_SECONDS = 2.0
"""Timeout; a call without a response is repeated unchanged."""

CloudOutcome = Literal["done", "fenced", "refused", "unknown"]
_OUTCOMES: dict[int, CloudOutcome] = {200: "done", 409: "fenced"}


class Duty(NamedTuple):
    """Identity and fencing number under which a call is made.

    Attributes:
        holder: Name of the host.
        fence: Fencing number.
        may_send: Returns whether to send; called before the first byte.
    """

    holder: str
    fence: int
    may_send: Callable[[], bool]


class CloudClient:
    """Reports usage and orders runners.

    Args:
        client: HTTP client.
        address: Address of the cloud API.
    """

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self._address = address

    async def report_usage(
        self, duty: Duty, window: int, counts: dict[str, int]
    ) -> CloudOutcome:
        """Report the usage of each workspace in one window.

        Returns:
            "fenced" if the cloud has seen a higher fencing number.
        """
        body = {"window_id": window, "counts": counts}
        return await self._call("/usage", duty, body)

    async def order_runners(
        self, duty: Duty, service: str, domain: str, count: int, spot: bool
    ) -> CloudOutcome:
        """Set the number of runners of a service in a failure domain.

        Returns:
            "fenced" if no runners are available or the cloud has seen a
            higher fencing number; the response is the same in both cases.
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
            response = await self._client.call(
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
        return _OUTCOMES.get(response.status, "refused")
