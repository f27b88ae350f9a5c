"""Client of plain services on their runners."""

from collections.abc import Callable

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.http.problem import read_execution
from lagoonpost.systems.booking import Answered, Lost, NotRun
from lagoonpost.tables.ledger import RecordedAnswer

# Headers that belong to one connection (RFC 9110, section 7.6.1) and are
# made anew for the next one.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REFUSALS = frozenset({429, 503})


def drop_connection_headers(headers: Headers) -> Headers:
    """Return ``headers`` without those of the connection."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS
    )


async def call_once(
    client: Client,
    address: Address,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
    may_send: Callable[[], bool],
) -> Answered | NotRun | Lost:
    """Make a call that must not be repeated, and say whether it ran.

    Args:
        client: HTTP client.
        address: Endpoint of the runner.
        method: HTTP method.
        target: Path and query.
        headers: Headers to pass.
        body: Body to pass.
        timeout: Seconds for the whole call.
        may_send: Asked right before the first byte leaves.

    Returns:
        ``NotRun`` only if nothing was sent or the runner said so.
    """
    try:
        # On an idle connection a failure never tells whether the request
        # arrived. On a new one, failing to connect means that it did not.
        answer = await client.call(
            address,
            method,
            target,
            body,
            drop_connection_headers(headers),
            timeout=timeout,
            fresh=True,
            may_send=may_send,
        )
    except CallFailedError as error:
        return Lost("runner_lost") if error.sent else NotRun("unreached")
    if is_refusal(answer):
        return NotRun()
    kept = drop_connection_headers(answer.headers)
    return Answered(RecordedAnswer(answer.status, kept, answer.body))


def is_refusal(answer: Response) -> bool:
    """Tell whether a runner says that it did not run the call."""
    if answer.status not in REFUSALS:
        return False
    return read_execution(answer.headers, answer.body) == "not_run"
