"""Requests as seen by the queueing and routing code."""

from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass


class RequestRow(NamedTuple):
    """Request that a gateway received.

    Attributes:
        id: Unique id, assigned by the gateway.
        workspace: Workspace that the request is charged to.
        service: Name of the requested service.
        route: Path of the service's route.
        request_class: Class that decides about queueing and latency target.
        prompt_tokens: Estimated number of tokens to prefill.
        output_tokens: Estimated number of tokens to generate.
        prefix: Hashes of the prompt's prefixes in steps of ``PREFIX_BLOCK``
            tokens, shortest first.
        fingerprint: Hash of service and body, which identifies repetitions
            of the same request.
        arrived: Time of arrival in seconds, on the clock of the code that
            created the row.
        deadline: Time by which the first token should be sent, on the same
            clock.
        repeatable: Whether the request is idempotent.
    """

    id: str
    workspace: str
    service: str
    route: str
    request_class: RequestClass
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    fingerprint: str
    arrived: float
    deadline: float
    repeatable: bool
