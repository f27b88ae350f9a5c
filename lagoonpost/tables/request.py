"""One caller's request as the decisions see it."""

from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass


class RequestRow(NamedTuple):
    """An arrived request.

    Attributes:
        id: Unique id, given by the gateway that took it.
        workspace: Who pays.
        service: Service asked for.
        route: Path of the route of the service.
        request_class: Queue and target it belongs to.
        prompt_tokens: Estimated tokens to prefill.
        output_tokens: Estimated tokens to generate.
        prefix: Hashes of the prompt's growing prefixes, shortest first,
            one per ``PREFIX_BLOCK`` tokens.
        fingerprint: Hash of service and body; equal for a repeated request.
        arrived: Time of arrival in seconds of the caller's clock.
        deadline: Time by which the first token has to be out.
        repeatable: Whether running it twice does no harm.
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
