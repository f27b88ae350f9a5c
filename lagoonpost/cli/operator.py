"""Calls to gateways with an operator's key."""

import json

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response

CALL_TIMEOUT_SECONDS = 10.0
"""Longer than a gateway tries to settle one ticket."""


class OperatorClient:
    """Calls the gateways with the operator's key."""

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
        """Call one gateway."""
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
        """Call gateways in turn until one answers other than 503.

        This is safe for tickets too: the same ticket gets the same answer
        at each gateway.
        """
        # The first gateway may have written before it failed, or one that
        # an earlier command called. That a later one did not run the ticket
        # must not turn "unknown" to "not run".
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
