"""HTTP client for the operator endpoints of gateways."""

import json

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response

CALL_TIMEOUT_SECONDS = 10.0
"""Longer than the time within which a gateway decides one ticket."""


class OperatorClient:
    """Calls gateways with an operator's key.

    Args:
        entries: Addresses of the gateways.
        key: Bearer key of the operator.
    """

    def __init__(self, entries: tuple[Address, ...], key: str) -> None:
        self.entries = entries
        self._headers = (
            ("authorization", f"Bearer {key}"),
            ("content-type", "application/json"),
        )
        self._client = Client()

    async def call(
        self, entry: Address, method: str, path: str, body: object = None
    ) -> Response:
        """Call one gateway.

        Raises:
            CallFailedError: If no complete response arrives in time.
        """
        data = b"" if body is None else json.dumps(body).encode()
        return await self._client.call(
            entry,
            method,
            path,
            data,
            self._headers,
            timeout=CALL_TIMEOUT_SECONDS,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def call_any(
        self, method: str, path: str, body: object = None
    ) -> Response:
        """Call gateways in turn until one returns a status other than 503.

        This is safe for tickets too, because every gateway responds to the
        same ticket in the same way.

        Returns:
            The response of that gateway; otherwise a 503 response that
            lists all failures.
        """
        # A gateway called before, by this or an earlier command, may have
        # stored the ticket before it failed. A later gateway that did not
        # execute it must not turn "unknown" into "not_run".
        details = []
        executions = set() if method == "GET" else {"unknown"}
        for entry in self.entries:
            try:
                response = await self.call(entry, method, path, body)
            except CallFailedError as error:
                details.append(f"{entry}: {error}")
                executions.add("unknown" if error.sent else "not_run")
                continue
            if response.status != 503:
                return response
            problem = json.loads(response.body)
            details.append(f"{entry}: {problem['detail']}")
            executions.add(problem["execution"])
        execution = "unknown" if "unknown" in executions else "not_run"
        failure = {"detail": "; ".join(details), "execution": execution}
        return Response(503, (), json.dumps(failure).encode())
