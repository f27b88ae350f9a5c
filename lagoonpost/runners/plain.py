"""HTTP client of plain (non-model) services."""

from collections.abc import Callable

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.http.problem import read_execution
from lagoonpost.runners.whole_answer import call_whole
from lagoonpost.systems.booking import Answered, Lost, NotRun
from lagoonpost.tables.ledger import RecordedAnswer

# Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
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
    """Return ``headers`` without the hop-by-hop headers."""
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
    """Make a non-idempotent call and classify whether it ran.

    Args:
        client: HTTP client.
        address: Endpoint of the runner.
        method: HTTP method.
        target: Path and query.
        headers: Request headers; hop-by-hop headers are dropped.
        body: Request body.
        timeout: Timeout of the whole call in seconds.
        may_send: Called right before the first byte is sent; the call is
            abandoned if it returns False.

    Returns:
        ``NotRun`` only if nothing was sent or the runner reported it;
        ``Lost`` if it is unknown whether the call ran.
    """
    try:
        # A failure on an idle connection leaves open whether the request
        # arrived. On a new connection, a failure to connect proves that it
        # did not.
        answer = await call_whole(
            client,
            address,
            method,
            target,
            body,
            drop_connection_headers(headers),
            repeatable=False,
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
    """Return whether a response reports that the call did not run."""
    if answer.status not in REFUSALS:
        return False
    return read_execution(answer.headers, answer.body) == "not_run"
